"""The task that follows the store: configuration, targets and peers."""

import asyncio
import random
import time
from collections.abc import Callable
from typing import Protocol

from dandelionplank.errors import StoreError
from dandelionplank.events import Event
from dandelionplank.fleet.clock import boot_time_s
from dandelionplank.fleet.registry import RETURN_GRACE_S
from dandelionplank.fleet.view import FleetView
from dandelionplank.fleet.vouching import (
    ASK_PERIOD_S,
    VOUCHED_SHARE,
    WATCHER_SHARE,
    Voucher,
)
from dandelionplank.logs import log_event
from dandelionplank.metrics import METRICS
from dandelionplank.routing.routes import RouteTable
from dandelionplank.targets import Target

# Part of the bound on revoked keys that one watch waits: after a watch that
# hangs there is time for several short calls before keyed requests are refused.
WATCH_SHARE = 0.25
# Shortest time between two watches. Targets that start together change the
# store one by one; each change read by itself would cost a call per instance.
WATCH_PERIOD_S = 0.5
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 0.5
EXPIRY_PERIOD_S = 0.1
# Reports that a target may miss before the platform drops its entry.
MISSED_REPORTS = 2


class ChangeSink(Protocol):
    """Takes in what the store says; the platform's adapter calls it."""

    def configured(self, table: RouteTable) -> None:
        """Take in a configuration."""

    def target_listed(self, target: Target) -> None:
        """Take in a target's entry."""

    def target_removed(self, name: str) -> None:
        """Note that a target's entry is gone."""

    def peer_listed(self, name: str, address: str) -> None:
        """Take in another instance's address."""

    def peer_removed(self, name: str) -> None:
        """Note that another instance's entry is gone."""

    def malformed(self, key: str, reason: str) -> None:
        """Note that a document cannot be read."""


class ChangeSource(Protocol):
    """Reads the store's documents; implemented by the platform's adapter."""

    async def resync(self, sink: ChangeSink) -> tuple[frozenset[str], int]:
        """Read everything.

        :return: names of the targets that are listed, and the revision
        :raises StoreError: the store did not answer
        """

    async def follow(
        self,
        sink: ChangeSink,
        revision: int,
        wait_s: float,
    ) -> int | None:
        """Wait for changes after a revision.

        :return: the revision reached, none if everything must be read again
        :raises StoreError: the store did not answer
        """


class StoreFollower:
    """Keeps the view current and knows how old it is."""

    def __init__(
        self,
        view: FleetView,
        source: ChangeSource,
        target_report_s: float,
        on_targets: Callable[[tuple[str, ...]], None],
        voucher: Voucher,
    ) -> None:
        """Start without a revision.

        :param target_report_s: period at which targets renew their entries
        :param on_targets: is told the names of targets that are gone
        :param voucher: asks other instances whether the view is current
        """
        self.view = view
        self.source = source
        self.outage_s = target_report_s * MISSED_REPORTS
        self.on_targets = on_targets
        self.voucher = voucher
        self.duty = voucher.duty
        self.vouching_lost_why = ''
        self.answered_s = time.monotonic()
        self.returned_s = float('-inf')
        self.failures = 0
        self.known_malformed: set[str] = set()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            if await self._is_vouched():
                await asyncio.sleep(ASK_PERIOD_S)
            else:
                await self._watch()

    async def run_expiry(self) -> None:
        """Drop targets that were not listed again in time."""
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_S)
            gone = self.view.registry.expire(time.monotonic())
            if gone:
                self._tell_gone(gone, 'not listed again')

    def configured(self, table: RouteTable) -> None:
        """Take in a configuration."""
        self.view.configure(table)

    def target_listed(self, target: Target) -> None:
        """Take in a target's entry."""
        was_known = target.name in self.view.registry.targets
        if not self.view.registry.put(target):
            return
        if target.name in self.view.registry.targets:
            log_event(
                Event.TARGET_LISTED,
                target=target.name,
                service=target.service,
                address=target.address.text,
            )
        elif was_known:
            self._tell_gone((target.name,), 'draining')

    def target_removed(self, name: str) -> None:
        """Note that a target's entry is gone."""
        until_s = self.returned_s + RETURN_GRACE_S
        if time.monotonic() < until_s:
            self.view.registry.miss(name, until_s)
        elif self.view.registry.remove(name):
            self._tell_gone((name,), 'entry removed')

    def peer_listed(self, name: str, address: str) -> None:
        """Take in another instance's address."""
        self.view.peers[name] = address

    def peer_removed(self, name: str) -> None:
        """Note that another instance's entry is gone."""
        self.view.peers.pop(name, None)

    def malformed(self, key: str, reason: str) -> None:
        """Write one log line for each document that cannot be read."""
        if key in self.known_malformed:
            return
        self.known_malformed.add(key)
        log_event(Event.DOCUMENT_MALFORMED, key=key, why=reason)

    async def _is_vouched(self) -> bool:
        """Ask another instance to prove the view; tell whether it is young."""
        if self.view.revision is None or self.failures:
            return False
        self._note_duty()
        if self.duty.is_watcher:
            return False
        asked_s = boot_time_s()
        answer = await self.voucher.ask(self.duty)
        if answer is None:
            self._note_vouching('no answer')
            return False
        if answer.revision != self.view.revision:
            return False
        self.view.prove(asked_s - answer.age_s)
        self.answered_s = time.monotonic()
        limit_s = self.view.revoked_after_s * VOUCHED_SHARE
        is_young = self.view.age_s < limit_s
        self._note_vouching('' if is_young else 'old proof')
        return is_young

    def _note_duty(self) -> None:
        """Write a log line when other instances read the store."""
        duty = self.voucher.duty
        if duty != self.duty:
            log_event(
                Event.WATCHERS_CHOSEN,
                watchers=duty.watchers,
                is_watcher=duty.is_watcher,
            )
        self.duty = duty

    def _note_vouching(self, lost_why: str) -> None:
        """Write a log line when proofs stop or come again.

        :param lost_why: empty if there is a proof
        """
        if bool(lost_why) != bool(self.vouching_lost_why):
            event = Event.VOUCHING_LOST if lost_why else Event.VOUCHING_BACK
            log_event(
                event,
                why=lost_why or self.vouching_lost_why,
                view_age_s=round(self.view.age_s, 2),
            )
        self.vouching_lost_why = lost_why

    async def _watch(self) -> None:
        """Ask the store, and pause before it is asked again."""
        began_s = time.monotonic()
        try:
            # A short call proves the view sooner than a watch that waits.
            await self._step(0 if self.failures else self._wait_s())
        except StoreError as error:
            self._note_failure(error)
            pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * self.failures)
            await asyncio.sleep(pause_s * (0.5 + random.random()))
            return
        pause_s = began_s + WATCH_PERIOD_S - time.monotonic()
        if self.view.is_known:
            await asyncio.sleep(max(0.0, pause_s))

    def _wait_s(self) -> float:
        """Return how long a watch waits for a change."""
        if not self.duty.is_watcher:
            # The watchers have seen a change, or they do not answer.
            return 0
        share = WATCHER_SHARE if self.duty.is_shared else WATCH_SHARE
        return self.view.revoked_after_s * share

    async def _step(self, wait_s: float) -> None:
        """Read everything, or wait for the next changes."""
        asked_s = boot_time_s()
        METRICS.add('store_calls_total')
        if self.view.revision is None:
            listed, revision = await self.source.resync(self)
            self._note_answer(asked_s)
            self._drop_unlisted(listed)
            self.view.revision = revision
            self.view.has_targets = True
            return
        self.view.revision = await self.source.follow(
            self, self.view.revision, wait_s
        )
        self._note_answer(asked_s)
        if self.view.revision is None:
            log_event(Event.VIEW_RESYNCED, why='history dropped')

    def _drop_unlisted(self, listed: frozenset[str]) -> None:
        """Drop what a whole reading does not list, after the grace."""
        for name in tuple(self.view.registry.targets):
            if name not in listed:
                self.target_removed(name)

    def _note_answer(self, asked_s: float) -> None:
        """Note that the store answered."""
        now_s = time.monotonic()
        silent_s = now_s - self.answered_s
        if self.failures:
            log_event(Event.STORE_BACK, silent_s=round(silent_s, 2))
            if silent_s > self.outage_s:
                self.returned_s = now_s
        self.failures = 0
        self.answered_s = now_s
        self.view.prove(asked_s)

    def _note_failure(self, error: StoreError) -> None:
        """Note that the store did not answer."""
        self.failures += 1
        if self.failures == 1:
            log_event(
                Event.STORE_DOWN,
                why=error.reason,
                view_age_s=round(self.view.age_s, 2),
            )

    def _tell_gone(self, names: tuple[str, ...], why: str) -> None:
        """Write log lines of targets that are gone and drop their state."""
        for name in names:
            log_event(
                Event.TARGET_GONE,
                target=name,
                why=why,
                view_age_s=round(self.view.age_s, 2),
            )
        self.on_targets(names)
