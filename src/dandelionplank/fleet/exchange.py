"""The task that exchanges reports with the other instances over UDP."""

import asyncio
import itertools
import random
import time
from collections import deque
from typing import Protocol

import msgspec

from dandelionplank.errors import StoreError
from dandelionplank.events import Event
from dandelionplank.fleet.peers import PeerBoard, PeerReport, PromptRead
from dandelionplank.fleet.view import FleetView
from dandelionplank.fleet.vouching import (
    ASK_TIMEOUT_S,
    ViewAnswer,
    ViewQuestion,
    WatchDuty,
)
from dandelionplank.logs import log_event
from dandelionplank.metrics import METRICS
from dandelionplank.routing.scheduler import Scheduler
from dandelionplank.settings import Address

# Shortest period between two reports; it grows with the fleet, so that one
# instance sends a bounded number of datagrams a second.
SHORTEST_PERIOD_S = 0.06
DATAGRAMS_PER_S = 60
# An instance without any load reports this much less often.
IDLE_FACTOR = 4
BOOT_BITS = 48
# Reports that name the same prompt, so that one lost datagram does no harm.
READ_REPEATS = 2
RENEWALS_PER_TTL = 3
FAILED_RENEWAL_PAUSE_S = 1.0
# Instances that start together do not renew together.
RENEWAL_SPREAD = (0.8, 1.2)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PeerReport | ViewQuestion | ViewAnswer)


class Presence(Protocol):
    """Entry of an instance in the store."""

    async def renew(self, ttl_s: float) -> None:
        """Write the entry, or renew its lease."""

    async def leave(self) -> None:
        """Remove the entry."""


class PeerExchange(asyncio.DatagramProtocol):
    """Sends this instance's load to the others and hears theirs."""

    def __init__(
        self,
        name: str,
        view: FleetView,
        board: PeerBoard,
        scheduler: Scheduler,
    ) -> None:
        """Prepare; no socket is open."""
        self.name = name
        self.view = view
        self.board = board
        self.scheduler = scheduler
        self.boot = random.getrandbits(BOOT_BITS)
        self.sequence = 0
        self.is_leaving = False
        self.recent_reads: deque[tuple[PromptRead, ...]] = deque(
            maxlen=READ_REPEATS,
        )
        # A random start, so that no answer to an earlier process counts here.
        self.questions = random.getrandbits(BOOT_BITS)
        self.awaited: asyncio.Future[ViewAnswer] | None = None
        self.transport: asyncio.DatagramTransport | None = None

    @property
    def period_s(self) -> float:
        """Time between two reports in a fleet of the present size."""
        others = max(1, len(self.view.peers) - 1)
        return max(SHORTEST_PERIOD_S, others / DATAGRAMS_PER_S)

    @property
    def instances(self) -> int:
        """Number of instances that share budgets, this one included."""
        return max(len(self.view.peers), len(self.board.heard) + 1)

    async def listen(self, address: Address) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        opened = await loop.create_datagram_endpoint(
            lambda: self,
            (address.ip, address.port),
        )
        self.transport = opened[0]

    def datagram_received(
        self,
        block: bytes,
        addr: tuple[str, int],
    ) -> None:
        """Take in another instance's message."""
        try:
            message = _DECODER.decode(block)
        except msgspec.DecodeError:
            METRICS.add('peer_reports_malformed_total')
            return
        if isinstance(message, PeerReport):
            self._hear(message)
        elif isinstance(message, ViewQuestion):
            self._answer(message)
        else:
            self._take_answer(message)

    @property
    def duty(self) -> WatchDuty:
        """Who watches the store."""
        return WatchDuty.from_fleet(self.name, self.view, self.board)

    async def ask(self, duty: WatchDuty) -> ViewAnswer | None:
        """Return the answer of one of the watchers, none if it is silent."""
        self.questions += 1
        question = ViewQuestion(self.name, self.questions)
        loop = asyncio.get_running_loop()
        awaited: asyncio.Future[ViewAnswer] = loop.create_future()
        self.awaited = awaited
        self._send(duty.watcher_to_ask(self.questions), question)
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                return await awaited
        except TimeoutError:
            METRICS.add('view_questions_unanswered_total')
            return None

    def error_received(self, exc: Exception) -> None:
        """Count errors of the socket; a report that is lost does no harm."""
        METRICS.add('peer_reports_unsent_total')

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            self.send_report()
            for name in self.board.expire(time.monotonic()):
                log_event(Event.MEMBER_SUSPECT, instance=name)
            period_s = self.period_s
            if not self.scheduler.shares():
                period_s *= IDLE_FACTOR
            await asyncio.sleep(period_s)

    def send_report(self) -> None:
        """Send this instance's load to all others."""
        if self.transport is None:
            return
        report = _ENCODER.encode(self._report())
        for name in tuple(self.view.peers):
            if name != self.name:
                self._send_block(name, report)

    def _answer(self, question: ViewQuestion) -> None:
        """Tell another instance how current the view is."""
        if self.view.revision is None:
            return
        answer = ViewAnswer(
            question.number,
            self.view.revision,
            self.view.known_age_s,
        )
        self._send(question.sender, answer)

    def _take_answer(self, answer: ViewAnswer) -> None:
        """Hand an answer to the question that waits for it."""
        awaited = self.awaited
        if awaited is None or awaited.done():
            return
        if answer.number == self.questions:
            awaited.set_result(answer)

    def _hear(self, report: PeerReport) -> None:
        """Take in another instance's report."""
        if report.sender == self.name:
            return
        is_new = report.sender not in self.board.heard
        if not self.board.hear(report, time.monotonic()):
            return
        if is_new:
            log_event(
                Event.MEMBER_ALIVE,
                instance=report.sender,
                version=report.version,
            )
        self.scheduler.note_reads(report.reads)

    def _send(self, name: str, message: ViewQuestion | ViewAnswer) -> None:
        """Send a message to one instance."""
        self._send_block(name, _ENCODER.encode(message))

    def _send_block(self, name: str, block: bytes) -> None:
        """Send an encoded message to an instance, if its address is known."""
        address = self.view.peers.get(name)
        if address is None or self.transport is None:
            return
        ip, _, port = address.rpartition(':')
        METRICS.add('peer_bytes_total', len(block))
        self.transport.sendto(block, (ip, int(port)))

    def _report(self) -> PeerReport:
        """Return this instance's load."""
        self.sequence += 1
        levels = self.scheduler.received.settle(time.monotonic())
        table = self.view.table
        return PeerReport(
            self.name,
            self.boot,
            self.sequence,
            self.period_s * IDLE_FACTOR,
            table.version if table else 0,
            self.view.known_age_s,
            self.is_leaving,
            self.scheduler.shares(),
            {account: round(level) for account, level in levels.items()},
            self._take_reads(),
        )

    def _take_reads(self) -> tuple[PromptRead, ...]:
        """Return the prompts of this report and of the ones before."""
        fresh = tuple(self.scheduler.reads)
        self.scheduler.reads.clear()
        self.recent_reads.append(fresh)
        return tuple(itertools.chain.from_iterable(self.recent_reads))


async def keep_presence(presence: Presence, ttl_s: float) -> None:
    """Keep this instance's entry in the store until cancelled."""
    while True:
        try:
            await presence.renew(ttl_s)
        except StoreError as error:
            log_event(Event.LEASE_LOST, why=error.reason)
            pause_s = FAILED_RENEWAL_PAUSE_S
        else:
            pause_s = ttl_s / RENEWALS_PER_TTL
        await asyncio.sleep(pause_s * random.uniform(*RENEWAL_SPREAD))
