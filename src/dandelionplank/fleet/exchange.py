"""Task that exchanges load reports with the other instances over UDP."""

import asyncio
import itertools
import random
import time
from collections import deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any, Protocol

import msgspec

from dandelionplank.decoding import DECODE_ERRORS
from dandelionplank.errors import StoreError
from dandelionplank.events import Event
from dandelionplank.fleet.coldowners import ColdOwners
from dandelionplank.fleet.coldreports import (
    apply_cold_reports,
    cold_reports,
    follow_cold_targets,
)
from dandelionplank.fleet.confirmation import (
    QUERY_TIMEOUT_S,
    ViewQuery,
    ViewResponse,
    WatcherRole,
)
from dandelionplank.fleet.crashmessages import CrashReport
from dandelionplank.fleet.datagrams import DatagramSocket, DropListener
from dandelionplank.fleet.peers import PeerLoadTable, PeerReport, PrefillReport
from dandelionplank.fleet.ratereports import (
    apply_limit_reports,
    limit_reports,
)
from dandelionplank.fleet.tickets import Ticket, TicketMessage
from dandelionplank.fleet.view import FleetView
from dandelionplank.logs import log_event
from dandelionplank.metrics import METRICS
from dandelionplank.routing.scheduler import Scheduler
from dandelionplank.settings import Address

# Minimum period between two reports. The period grows with the fleet, so that
# an instance sends a limited number of datagrams per second.
MIN_PERIOD_S = 0.06
MAX_DATAGRAMS_PER_S = 60
# Factor on the report period of an instance without load.
IDLE_PERIOD_FACTOR = 4
RANDOM_ID_BITS = 48
# Reports that include the same prompt, so that one may be lost.
REPORTS_PER_PREFILL = 2
# Limit on the parts of prompts in a report, so that it fits into a datagram.
MAX_PREFILL_BYTES = 24_576
# Bytes of a part besides its id.
PART_OVERHEAD_BYTES = 8
# Reports and addresses of senders that the store does not list. An instance
# that has just started knows none of its peers from the store.
MAX_UNLISTED_SENDERS = 1024
RENEWALS_PER_TTL = 3
FAILED_RENEWAL_PAUSE_S = 1.0
# Random factor on the pause between renewals, so that instances that start
# together do not renew together.
RENEWAL_SPREAD = (0.8, 1.2)

_ENCODER = msgspec.msgpack.Encoder()
PeerMessage = (
    PeerReport | ViewQuery | ViewResponse | TicketMessage | CrashReport
)
_DECODER = msgspec.msgpack.Decoder(PeerMessage)
# Adds to a report what other tasks state.
ReportCompletion = Callable[[PeerReport], PeerReport]


class Presence(Protocol):
    """Entry of an instance in the store."""

    async def renew(self, ttl_s: float) -> None:
        """Write the entry, or renew its lease."""

    async def leave(self) -> None:
        """Remove the entry."""


class PeerExchange:
    """Sends this instance's load to its peers and receives theirs."""

    def __init__(
        self,
        name: str,
        view: FleetView,
        peer_loads: PeerLoadTable,
        scheduler: Scheduler,
    ) -> None:
        """Hold the state of the exchange; :meth:`listen` opens the socket."""
        self.name = name
        self.view = view
        self.peer_loads = peer_loads
        self.scheduler = scheduler
        self.incarnation = random.getrandbits(RANDOM_ID_BITS)
        self.sequence = 0
        self.is_leaving = False
        self.cold_owners = ColdOwners(name, view, peer_loads)
        follow_cold_targets(view, scheduler.cold, self.cold_owners)
        self.recent_prefills: deque[tuple[PrefillReport, ...]] = deque(
            maxlen=REPORTS_PER_PREFILL,
        )
        # A random start, so that no response to an earlier process matches.
        self.query_number = random.getrandbits(RANDOM_ID_BITS)
        self.pending_response: asyncio.Future[ViewResponse] | None = None
        self.transport: DatagramSocket | None = None
        self.drop_listeners: Sequence[DropListener] = ()
        self.unlisted_addresses: dict[str, tuple[str, int]] = {}
        self.complete_report: ReportCompletion = _unchanged
        self.receivers: dict[type, Callable[[Any], None]] = {
            PeerReport: self._receive_report,
            ViewQuery: self._respond,
            ViewResponse: self._receive_response,
        }

    @property
    def period_s(self) -> float:
        """Return the report period for the present size of the fleet."""
        others = max(1, len(self.view.peers) - 1)
        return max(MIN_PERIOD_S, others / MAX_DATAGRAMS_PER_S)

    @property
    def instance_count(self) -> int:
        """Return how many instances share budgets, including this one."""
        return max(len(self.view.peers), len(self.peer_loads.reports) + 1)

    async def listen(self, address: Address) -> None:
        """Open the UDP socket.

        :raises OSError: the address cannot be used
        """
        self.transport = DatagramSocket.from_address(
            address, self.datagram_received
        )
        self.transport.drop_listeners = self.drop_listeners

    def datagram_received(
        self,
        block: bytes,
        addr: tuple[str, int],
    ) -> None:
        """Decode and handle a message of another instance."""
        try:
            message = _DECODER.decode(block)
        except DECODE_ERRORS:
            METRICS.add('peer_reports_malformed_total')
            return
        receive = self.receivers[type(message)]
        is_start = self._is_first_of_process(message)
        if isinstance(message, Ticket):
            self._record_address(message.sender, addr)
        try:
            receive(message)
            if is_start:
                self._introduce(addr)
        except Exception as error:
            # One message must not end the socket that serves all others.
            METRICS.add('peer_messages_failed_total')
            log_event(
                Event.TASK_FAILED,
                task=type(message).__name__,
                why=repr(error),
                peer=addr[0],
            )

    @property
    def watcher_role(self) -> WatcherRole:
        """Return the present watchers and the role of this instance."""
        return WatcherRole.from_fleet(self.name, self.view, self.peer_loads)

    async def query(self, role: WatcherRole) -> ViewResponse | None:
        """Query one of the watchers; return None if it does not respond."""
        self.query_number += 1
        revision = self.view.revision
        if revision is None:
            return None
        query = ViewQuery(self.name, self.query_number, revision)
        loop = asyncio.get_running_loop()
        pending: asyncio.Future[ViewResponse] = loop.create_future()
        self.pending_response = pending
        self.send(role.watcher_to_query(self.query_number), query)
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_S):
                return await pending
        except TimeoutError:
            METRICS.add('view_questions_unanswered_total')
            return None

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            self.send_report()
            for name in self.peer_loads.expire(time.monotonic()):
                log_event(Event.MEMBER_SUSPECT, instance=name)
            period_s = self.period_s
            if not self.scheduler.shares():
                period_s *= IDLE_PERIOD_FACTOR
            await asyncio.sleep(period_s)

    def send_report(self) -> None:
        """Send this instance's load to all peers."""
        if self.transport is None:
            return
        self.broadcast(self._report(self._collect_prefills()))

    def broadcast(self, message: PeerMessage) -> None:
        """Send a message to all peers."""
        block = _ENCODER.encode(message)
        for name in tuple(self.view.peers):
            if name != self.name:
                self._send_listed(name, block)

    def send(self, name: str, message: PeerMessage) -> None:
        """Send a message to one instance."""
        block = _ENCODER.encode(message)
        if name in self.view.peers:
            self._send_listed(name, block)
        elif name in self.unlisted_addresses:
            self._send_block(self.unlisted_addresses[name], block)

    def _respond(self, query: ViewQuery) -> None:
        """Send the revision, age and changes of the view to an instance.

        The store drops the entry of an instance that it does not serve for a
        while. Such an instance gets a response too, at its last address and at
        no other, since the changes contain the keys of callers.
        """
        if self.view.revision is None:
            return
        reached, changes = self.view.changes.since(query.revision) or (
            query.revision,
            (),
        )
        response = ViewResponse(
            query.number,
            self.view.revision,
            self.view.capped_age_s,
            reached,
            changes,
        )
        block = _ENCODER.encode(response)
        if query.sender in self.view.peers:
            self._send_listed(query.sender, block)
        else:
            self._send_to(self.view.former_peers.get(query.sender), block)

    def _receive_response(self, response: ViewResponse) -> None:
        """Complete the pending query if this is its response."""
        pending = self.pending_response
        if pending is None or pending.done():
            return
        if response.number == self.query_number:
            pending.set_result(response)

    def _is_first_of_process(self, message: PeerMessage) -> bool:
        """Return whether a message is the first report of a process."""
        if not isinstance(message, PeerReport) or message.sender == self.name:
            return False
        known = self.peer_loads.reports.get(message.sender)
        return known is None or known.report.incarnation != message.incarnation

    def _introduce(self, addr: tuple[str, int]) -> None:
        """Send a report to an instance that has just started.

        It may not be listed in the store yet, and has to learn at once whether
        its own view is older.
        """
        self._send_block(addr, _ENCODER.encode(self._report(())))

    def _receive_report(self, report: PeerReport) -> None:
        """Record another instance's report."""
        if report.sender == self.name:
            return
        now_s = time.monotonic()
        known = self.peer_loads.reports.get(report.sender)
        if known is None and not self._has_room_for(report.sender):
            METRICS.add('peer_reports_unlisted_total')
            return
        if not self.peer_loads.receive(report, now_s):
            return
        if known is None:
            log_event(
                Event.MEMBER_ALIVE,
                instance=report.sender,
                version=report.version,
            )
        self.view.learn_report(report.sender, report.version, report.view_age_s)
        self.scheduler.record_prefill_reports(report.prefills)
        apply_limit_reports(
            self.scheduler,
            self.view.registry.targets,
            report,
            known.report if known else None,
            now_s,
        )
        apply_cold_reports(
            self.scheduler.cold,
            self.view.registry.targets,
            report,
            known.report if known else None,
            now_s,
        )

    def _record_address(self, sender: str, addr: tuple[str, int]) -> None:
        """Record where an instance that is not listed awaits its replies.

        One that has just started sends tickets before all others list it, and
        one whose entry the store has dropped goes on sending them.
        """
        self.unlisted_addresses.pop(sender, None)
        if sender in self.view.peers:
            return
        self.unlisted_addresses[sender] = addr
        if len(self.unlisted_addresses) > MAX_UNLISTED_SENDERS:
            self.unlisted_addresses.pop(next(iter(self.unlisted_addresses)))

    def _has_room_for(self, sender: str) -> bool:
        """Return whether a new sender's report is kept.

        An instance that has just started may not be listed in the store yet.
        """
        if sender in self.view.peers:
            return True
        unlisted = self.peer_loads.reports.keys() - self.view.peers.keys()
        return len(unlisted) < MAX_UNLISTED_SENDERS

    def _send_listed(self, name: str, block: bytes) -> None:
        """Send an encoded message to an instance, if its address is known."""
        self._send_to(self.view.peers.get(name), block)

    def _send_to(self, address: str | None, block: bytes) -> None:
        """Send an encoded message to an address, if it is known."""
        if address is not None:
            ip, _, port = address.rpartition(':')
            self._send_block((ip, int(port)), block)

    def _send_block(self, address: tuple[str, int], block: bytes) -> None:
        """Send an encoded message once the socket is open."""
        if self.transport is None:
            return
        METRICS.add('peer_bytes_total', len(block))
        try:
            self.transport.sendto(block, address)
        except (OSError, ValueError):
            # One address must not cost the other instances their message. A
            # lost message needs no other handling.
            METRICS.add('peer_reports_unsent_total')

    def _report(self, prefills: tuple[PrefillReport, ...]) -> PeerReport:
        """Build the next report of this instance's load."""
        self.sequence += 1
        now_s = time.monotonic()
        levels = self.scheduler.local_service_levels.decay_to(now_s)
        report = PeerReport(
            self.name,
            self.incarnation,
            self.sequence,
            self.period_s * IDLE_PERIOD_FACTOR,
            self.view.version,
            self.view.capped_age_s,
            self.is_leaving,
            self.scheduler.shares(),
            {account: round(level) for account, level in levels.items()},
            prefills,
            limit_reports(self.scheduler.loads, now_s),
            cold_reports(self.scheduler.cold, now_s),
        )
        return self.complete_report(report)

    def _collect_prefills(self) -> tuple[PrefillReport, ...]:
        """Return the prompts since the last report and those to send again."""
        fresh = tuple(self.scheduler.prefill_reports)
        self.scheduler.prefill_reports.clear()
        self.recent_prefills.append(fresh)
        prefills = itertools.chain.from_iterable(reversed(self.recent_prefills))
        return tuple(_take_bytes(prefills, MAX_PREFILL_BYTES))


def _unchanged(report: PeerReport) -> PeerReport:
    """Return a report to which nothing is added."""
    return report


def _take_bytes(
    prefills: Iterable[PrefillReport], limit_bytes: int
) -> Iterator[PrefillReport]:
    """Yield the first prompts whose parts fit into a part of a report."""
    for prefill in prefills:
        limit_bytes -= sum(
            len(part_id) + PART_OVERHEAD_BYTES for part_id, _ in prefill.parts
        )
        if limit_bytes < 0:
            return
        yield prefill


async def keep_presence(presence: Presence, ttl_s: float) -> None:
    """Renew this instance's entry in the store until cancelled."""
    while True:
        try:
            await presence.renew(ttl_s)
        except StoreError as error:
            log_event(Event.LEASE_LOST, why=error.reason)
            pause_s = FAILED_RENEWAL_PAUSE_S
        else:
            pause_s = ttl_s / RENEWALS_PER_TTL
        await asyncio.sleep(pause_s * random.uniform(*RENEWAL_SPREAD))
