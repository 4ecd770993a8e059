"""Task that exchanges evidence of crashes with the other instances."""

import asyncio
import math
import time
import zlib
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from dandelionplank.delivery.connections import ConnectionPool
from dandelionplank.delivery.crashwatch import CrashWatch, VersionsOf
from dandelionplank.errors import StoreError
from dandelionplank.events import Event
from dandelionplank.fleet.crashlistings import CrashListings, size_of
from dandelionplank.fleet.crashmessages import (
    CrashReport,
    ReportedAnswer,
    ReportedCrash,
    ReportedQuarantine,
)
from dandelionplank.fleet.exchange import PeerExchange
from dandelionplank.logs import log_event
from dandelionplank.metrics import METRICS
from dandelionplank.routing.crashes import (
    QUARANTINE_S,
    CrashEvidence,
    Quarantine,
    QuarantineChange,
)
from dandelionplank.routing.crashlog import (
    AnsweredParts,
    CrashKey,
    CrashLog,
)

MIN_PERIOD_S = 0.5
DECISION_PERIOD_S = 0.25
# Limit on the bytes of the ids of answers in one report.
MAX_ANSWER_BYTES = 4096
MAX_LOGGED_TARGETS = 8
MAX_LOGGED_PARTS = 16
STORE_RETRY_S = 1.0


class QuarantineStore(Protocol):
    """Entries of the quarantined parts in the store."""

    async def put(self, part_id: str, age_s: float, left_s: float) -> None:
        """Write an entry unless there is one."""

    async def remove(self, part_id: str) -> None:
        """Remove an entry that was written here."""


class CrashReporter:
    """Sends the crashes and answers seen here, and applies those of peers."""

    def __init__(
        self,
        exchange: PeerExchange,
        pool: ConnectionPool,
        store: QuarantineStore,
        versions_of: VersionsOf,
    ) -> None:
        """Hold the evidence, and apart from it what was seen here.

        :param pool: connections, by which crashes are distinguished from single
            broken responses
        :param store: keeps quarantines when all instances restart
        :param versions_of: returns the software versions of a service's targets
        """
        self.exchange = exchange
        self.store = store
        self.unstored: asyncio.Queue[str] = asyncio.Queue()
        self.stored: set[str] = set()
        self.evidence = CrashEvidence()
        self.own_answered = AnsweredParts()
        self.own_crashes = CrashLog(self.own_answered)
        self.watch = CrashWatch(pool, self, versions_of)
        self.sent_s = 0.0
        self.listings = CrashListings(self.evidence.crashes)
        # How often each answer was reported.
        self.answer_report_counts: Counter[str] = Counter()

    @property
    def receivers(self) -> dict[type, Callable[[Any], None]]:
        """Return the handler of the reports."""
        return {CrashReport: self.receive}

    @property
    def period_s(self) -> float:
        """Return the time between two reports."""
        return max(MIN_PERIOD_S, self.exchange.period_s)

    async def run(self) -> None:
        """Decide and send reports until cancelled."""
        while True:
            await asyncio.sleep(DECISION_PERIOD_S)
            now_s = time.monotonic()
            self._decide(now_s)
            if now_s - self.sent_s >= self.period_s:
                self._send(now_s)

    async def run_storing(self) -> None:
        """Store the quarantines that this instance has evidence of."""
        while True:
            part_id = await self.unstored.get()
            try:
                await self._store(part_id)
            except StoreError as error:
                log_event(Event.STORE_DOWN, why=error.reason, part=part_id)
                self.unstored.put_nowait(part_id)
                await asyncio.sleep(STORE_RETRY_S)

    def store_again(self) -> None:
        """Store the quarantines that a restored store may lack."""
        for part_id in self.stored:
            self.unstored.put_nowait(part_id)

    def learn(self, part_id: str, age_s: float, left_s: float) -> None:
        """Take over a quarantine from the store.

        :param age_s: time since the first crash that it explains
        :param left_s: time until it ends
        """
        self._adopt(
            ReportedQuarantine(part_id, age_s, min(left_s, QUARANTINE_S)),
            time.monotonic(),
        )

    @property
    def has_quarantines(self) -> bool:
        """Return whether any part is in quarantine."""
        return bool(self.evidence.quarantines)

    def quarantine_left_s(self, part_ids: Iterable[str]) -> float:
        """Return how long a request may not be sent, zero if it may."""
        return self.evidence.left_s(part_ids, time.monotonic())

    def record_crash(self, key: CrashKey, part_ids: Iterable[str]) -> None:
        """Record a crash and report it at once.

        :param part_ids: requests, each as its identity and its parts
        """
        now_s = time.monotonic()
        suspects = tuple(part_ids)
        for log in (self.own_crashes, self.evidence.crashes):
            log.add(key, now_s, suspects)
        self._decide(now_s)
        self._send(now_s)
        self._log_crash(key, frozenset(suspects))

    def record_answer(self, part_ids: Iterable[str], at_s: float) -> None:
        """Record an answer that a target went on with.

        :param at_s: monotonic time at which it began
        """
        answered = tuple(part_ids)
        for parts in (self.own_answered, self.evidence.answered):
            parts.add(answered, at_s)

    def receive(self, report: CrashReport) -> None:
        """Apply another instance's report."""
        if report.sender == self.exchange.name:
            return
        now_s = time.monotonic()
        known = len(self.evidence.crashes.crashes)
        for crash in report.crashes:
            self.evidence.crashes.add(
                (crash.target, crash.started_ms),
                now_s - crash.age_s,
                crash.part_ids,
            )
        for answer in report.answers:
            self.evidence.answered.add((answer.part_id,), now_s - answer.age_s)
        for reported in report.quarantines:
            self._adopt(reported, now_s)
        if len(self.evidence.crashes.crashes) != known:
            self._decide(now_s)

    def report(self, now_s: float) -> CrashReport:
        """Return what this instance knows."""
        return CrashReport(
            self.exchange.name,
            tuple(self._reported_crashes(now_s)),
            tuple(self._reported_answers(now_s)),
            tuple(
                ReportedQuarantine(
                    part_id, now_s - known.since_s, known.until_s - now_s
                )
                for part_id, known in self.evidence.quarantines.items()
            ),
        )

    async def _store(self, part_id: str) -> None:
        """Write the entry of a part in quarantine, or remove it."""
        quarantine = self.evidence.quarantines.get(part_id)
        if quarantine is None:
            self.stored.discard(part_id)
            await self.store.remove(part_id)
            return
        now_s = time.monotonic()
        left_s = quarantine.until_s - now_s
        await self.store.put(part_id, now_s - quarantine.since_s, left_s)
        self.stored.add(part_id)

    def _log_crash(self, key: CrashKey, suspects: frozenset[str]) -> None:
        """Log a crash, and how much of it is known here and reported.

        Those suspects are shown that were not answered for longest.
        """
        name, started_ms = key
        crash = self.own_crashes.crashes.get(key)
        shown = sorted(
            suspects,
            key=lambda each: (self.evidence.answered.last_s(each), each),
        )
        log_event(
            Event.TARGET_CRASHED,
            target=name,
            started_ms=started_ms,
            parts=len(suspects),
            kept=len(crash.part_ids) if crash else 0,
            reported=len(self.listings.report_counts.get(key, ())),
            suspects=shown[:MAX_LOGGED_PARTS],
        )

    def _adopt(self, reported: ReportedQuarantine, now_s: float) -> None:
        """Take over a quarantine of another instance."""
        quarantine = Quarantine(now_s - reported.age_s, now_s + reported.left_s)
        if self.evidence.adopt(reported.part_id, quarantine, now_s):
            _log_change(QuarantineChange(reported.part_id, (), reported.left_s))

    def _reported_crashes(self, now_s: float) -> Iterable[ReportedCrash]:
        """Yield the crashes seen here that no part explains, newest first."""
        crashes = self.own_crashes.without(self.evidence.shared_quarantines)
        for key, requests in self.listings.take(crashes):
            target, started_ms = key
            age_s = now_s - crashes[key].at_s
            yield ReportedCrash(target, started_ms, age_s, requests)

    def _reported_answers(self, now_s: float) -> Iterable[ReportedAnswer]:
        """Yield the last answers seen here to prompts with suspect parts.

        Those that were reported less often come first, so that all of them are
        reported in turn.
        """
        suspects = self._suspects()
        self.answer_report_counts = Counter(
            {
                part_id: self.answer_report_counts[part_id]
                for part_id in suspects
                if part_id in self.answer_report_counts
            }
        )
        bytes_left = MAX_ANSWER_BYTES
        for part_id in suspects:
            at_s = self.own_answered.last_s(part_id)
            if math.isinf(at_s):
                continue
            bytes_left -= size_of((part_id,))
            if bytes_left < 0:
                return
            self.answer_report_counts[part_id] += 1
            yield ReportedAnswer(part_id, now_s - at_s)

    def _suspects(self) -> list[str]:
        """Return the parts in quarantine, then the suspects to be reported.

        Instances begin with different ones of those that are in as many
        crashes.
        """
        crashes = self.evidence.suspects()
        quarantined = self.evidence.quarantines
        return sorted(
            crashes.keys() | quarantined.keys(),
            key=lambda part_id: (
                part_id not in quarantined,
                self.answer_report_counts[part_id],
                -len(crashes.get(part_id, ())),
                zlib.crc32(f'{self.exchange.name}/{part_id}'.encode()),
            ),
        )

    def _decide(self, now_s: float) -> None:
        """Quarantine and release parts, and log the changes."""
        changes = self.evidence.decide(now_s)
        self.own_crashes.expire(now_s, self.evidence.request_quarantines)
        for change in changes:
            _log_change(change)
            if self._has_seen(change.part_id):
                self.unstored.put_nowait(change.part_id)
        METRICS.set_gauge('quarantined_parts', len(self.evidence.quarantines))
        if changes:
            self._send(now_s)

    def _has_seen(self, part_id: str) -> bool:
        """Return whether a part was in a crash that this instance saw."""
        return any(
            part_id in crash.part_ids
            for crash in self.own_crashes.crashes.values()
        )

    def _send(self, now_s: float) -> None:
        """Send a report to all peers if there is anything to say."""
        report = self.report(now_s)
        if not report.is_empty:
            self.sent_s = now_s
            self.exchange.broadcast(report)


def _log_change(change: QuarantineChange) -> None:
    """Log that a part was quarantined or released."""
    log_event(
        Event.PART_QUARANTINED if change.left_s else Event.PART_RELEASED,
        part=change.part_id,
        crashes=len(change.targets),
        targets=change.targets[:MAX_LOGGED_TARGETS],
        left_s=round(change.left_s),
    )
