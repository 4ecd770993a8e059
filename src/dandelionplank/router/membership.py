"""Task that probes the other instances and maintains the member table."""

import asyncio
import contextlib
import dataclasses
import random
import time
from collections.abc import Callable
from pathlib import Path
from types import MappingProxyType

import aiohttp

from dandelionplank.decoding import DECODE_ERRORS
from dandelionplank.events import Event
from dandelionplank.instances import Instance, InstanceStatus
from dandelionplank.logs import log_event
from dandelionplank.membership.table import MemberTable, StatusChange
from dandelionplank.messages import (
    FRAME_ENCODER,
    PROBE_DECODER,
    Ping,
    PingAck,
    PingRequest,
    ProbeMessage,
)
from dandelionplank.metrics import METRICS
from dandelionplank.platform.instancelist import (
    InstanceList,
    ListedInstance,
    ListedState,
)
from dandelionplank.router.tls import ProbeSigner
from dandelionplank.settings import Address, Settings

INDIRECT_PROBES = 2
LIST_ERRORS = (aiohttp.ClientError, TimeoutError, *DECODE_ERRORS)
PROBE_JITTER = (0.9, 1.1)
RELAYED_PROBE_LIMIT = 1000
STATUS_EVENTS = MappingProxyType(
    {
        InstanceStatus.ALIVE: Event.MEMBER_ALIVE,
        InstanceStatus.SUSPECT: Event.MEMBER_SUSPECT,
        InstanceStatus.DEAD: Event.MEMBER_DEAD,
        InstanceStatus.LEFT: Event.MEMBER_LEFT,
    },
)


@dataclasses.dataclass(frozen=True)
class MembersChanged:
    """The set of instances that can hold a role may have changed."""

    changes: tuple[StatusChange, ...]


Listener = Callable[[MembersChanged], None]
RevisionListener = Callable[[str, int], None]


class ProbeProtocol(asyncio.DatagramProtocol):
    """Passes datagrams to the task that owns the socket."""

    def __init__(self, receive: Callable[[bytes], None]) -> None:
        """Hold the receiver, which is called with each datagram."""
        self.receive = receive

    def datagram_received(self, payload: bytes, _: object) -> None:
        """Pass one datagram to the receiver."""
        self.receive(payload)


class MembershipTask:
    """Owns the probe socket and the member table.

    :param settings: settings of this router
    :param platform_list: the platform's list of instances
    """

    def __init__(
        self,
        settings: Settings,
        platform_list: InstanceList,
        incarnation: int,
    ) -> None:
        """Hold the member table, at first with only this instance."""
        own = Instance(
            settings.instance.id,
            settings.listen.peers.text,
            settings.instance.data_center,
            settings.instance.region,
            incarnation,
        )
        self.settings = settings
        self.platform_list = platform_list
        self.table = MemberTable(own, settings.membership.suspicion_s)
        self.listed: dict[str, ListedInstance] = {}
        self.listeners: list[Listener] = []
        self.revision_listeners: list[RevisionListener] = []
        self.revision = 0
        self.transport: asyncio.DatagramTransport | None = None
        self.pending_probes: dict[int, asyncio.Future[None]] = {}
        self.relayed_probes: dict[int, tuple[str, int]] = {}
        self.sequence = 0
        self.rng = random.Random(incarnation)
        secret_file = settings.membership.probe_secret_file
        secret = Path(secret_file).read_bytes() if secret_file else b''
        self.signer = ProbeSigner(secret)

    @property
    def present(self) -> tuple[str, ...]:
        """Ids of the instances that can hold a role."""
        return self.table.present

    def address_of(self, instance: str) -> str:
        """Return the address of an instance, empty if it is not known.

        The platform's list takes precedence over the member table.
        """
        listed = self.listed.get(instance)
        if listed:
            return listed.address
        member = self.table.members.get(instance)
        return member.address if member else ''

    def data_center_of(self, instance: str) -> str:
        """Return the data centre of an instance, empty if it is not known."""
        member = self.table.members.get(instance)
        return member.data_center if member else ''

    async def start(self) -> None:
        """Open the probe socket and fetch the platform's list once."""
        address = self.settings.listen.peers
        loop = asyncio.get_running_loop()
        endpoint = await loop.create_datagram_endpoint(
            lambda: ProbeProtocol(self.receive),
            local_addr=(address.ip, address.port),
        )
        self.transport = endpoint[0]
        await self.refresh_list()

    async def run(self) -> None:
        """Probe one peer per period and refresh the list periodically."""
        period_s = self.settings.membership.probe_period_s
        listed_at_s = time.monotonic()
        while True:
            await asyncio.sleep(period_s * self.rng.uniform(*PROBE_JITTER))
            now_s = time.monotonic()
            self._notify(self.table.expire(now_s))
            list_age_s = now_s - listed_at_s
            if list_age_s > self.settings.platform.instance_list_period_s:
                listed_at_s = now_s
                await self.refresh_list()
            name = self.table.next_probe(self.rng)
            if name:
                asyncio.get_running_loop().create_task(self.probe(name))

    async def refresh_list(self) -> None:
        """Fetch the platform's list and probe listed routers not present."""
        try:
            listed = await self.platform_list.fetch()
        except LIST_ERRORS:
            return
        self.listed = {each.id: each for each in listed}
        routers = [
            each
            for each in listed
            if each.role == 'router' and each.id != self.table.own.id
        ]
        for router in routers:
            member = self.table.members.get(router.id)
            if member is None or not member.is_present:
                self._send_ping(router.address, 0)

    async def leave(self) -> None:
        """Announce to the peers that this instance is leaving."""
        self.table.leave()
        for name in self.table.peers:
            self._send_ping(self.address_of(name), 0)

    async def probe(self, name: str) -> None:
        """Probe a peer directly and indirectly; suspect it if both fail."""
        if await self._responds(name):
            return
        self._notify(self.table.suspect(name, time.monotonic()))

    def probe_now(self, name: str) -> None:
        """Probe a peer at once because its link has broken."""
        if name in self.table.peers:
            asyncio.get_running_loop().create_task(self.probe(name))

    def receive(self, payload: bytes) -> None:
        """Handle one datagram."""
        METRICS.add('probe_bytes_received_total', len(payload))
        try:
            message = PROBE_DECODER.decode(self.signer.unsign(payload) or b'')
        except DECODE_ERRORS:
            METRICS.add('probe_malformed_total')
            return
        self._merge_updates(message)
        if isinstance(message, Ping):
            self._acknowledge(message)
        elif isinstance(message, PingAck):
            self._complete_probe(message.sequence)
        else:
            self._relay_probe(message)

    async def _responds(self, name: str) -> bool:
        """Return whether a peer acknowledges a direct or an indirect probe."""
        timeout_s = self.settings.membership.probe_timeout_s
        sequence = self._next_sequence()
        acknowledged = self._expect_acknowledgement(sequence)
        self._send_ping(self.address_of(name), sequence)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.shield(acknowledged), timeout_s)
            return True
        relays = [peer for peer in self.table.peers if peer != name]
        self.rng.shuffle(relays)
        for relay in relays[:INDIRECT_PROBES]:
            self._send(
                self.address_of(relay),
                PingRequest(
                    self.table.own,
                    sequence,
                    name,
                    self.table.take_updates(),
                ),
            )
        try:
            await asyncio.wait_for(acknowledged, timeout_s)
        except TimeoutError:
            return False
        finally:
            self.pending_probes.pop(sequence, None)
        return True

    def _merge_updates(self, message: ProbeMessage) -> None:
        """Merge a datagram's sender and updates; pass its revision on."""
        now_s = time.monotonic()
        changes = self.table.record_alive(message.sender, now_s)
        changes.extend(self.table.merge(message.updates, now_s))
        self._notify(changes)
        if not isinstance(message, PingRequest):
            for listener in self.revision_listeners:
                listener(message.sender.id, message.revision)

    def _acknowledge(self, message: Ping) -> None:
        """Acknowledge a probe.

        If the sender is listed here as dead or left, the acknowledgement says
        so, which lets the sender refute it.
        """
        updates = self.table.take_updates()
        known = self.table.members.get(message.sender.id)
        if known is not None and not known.is_present:
            updates = (*updates, known)
        acknowledgement = PingAck(
            self.table.own,
            message.sequence,
            self.revision,
            updates,
        )
        address = self.address_of(message.sender.id) or message.sender.address
        self._send(address, acknowledgement)

    def _complete_probe(self, sequence: int) -> None:
        """Complete the probe that an acknowledgement belongs to."""
        relayed = self.relayed_probes.pop(sequence, None)
        if relayed:
            requester, original_sequence = relayed
            self._send(
                self.address_of(requester),
                PingAck(self.table.own, original_sequence, self.revision, ()),
            )
        acknowledged = self.pending_probes.pop(sequence, None)
        if acknowledged and not acknowledged.done():
            acknowledged.set_result(None)

    def _relay_probe(self, message: PingRequest) -> None:
        """Probe an instance on behalf of the requester."""
        sequence = self._next_sequence()
        self.relayed_probes[sequence] = (message.sender.id, message.sequence)
        while len(self.relayed_probes) > RELAYED_PROBE_LIMIT:
            self.relayed_probes.pop(next(iter(self.relayed_probes)))
        self._send_ping(self.address_of(message.probed_id), sequence)

    def _send_ping(self, address: str, sequence: int) -> None:
        """Send a probe."""
        self._send(
            address,
            Ping(
                self.table.own,
                sequence,
                self.revision,
                self.table.take_updates(),
            ),
        )

    def _send(self, address: str, message: ProbeMessage) -> None:
        """Send one datagram; it may be lost."""
        if not address or self.transport is None:
            return
        payload = self.signer.sign(FRAME_ENCODER.encode(message))
        METRICS.add('probe_bytes_sent_total', len(payload))
        peer = Address.from_text(address)
        self.transport.sendto(payload, (peer.ip, peer.port))

    def _expect_acknowledgement(self, sequence: int) -> asyncio.Future[None]:
        """Return a future that completes when a probe is acknowledged."""
        acknowledged = asyncio.get_running_loop().create_future()
        self.pending_probes[sequence] = acknowledged
        return acknowledged

    def _next_sequence(self) -> int:
        """Return a new sequence number."""
        self.sequence += 1
        return self.sequence

    def _notify(self, changes: list[StatusChange]) -> None:
        """Log status changes and notify the listeners."""
        if not changes:
            return
        for change in changes:
            log_event(
                STATUS_EVENTS[change.instance.status],
                instance=change.instance.id,
                incarnation=change.instance.incarnation,
            )
        for listener in self.listeners:
            listener(MembersChanged(tuple(changes)))


def leaving_targets(listed: dict[str, ListedInstance]) -> frozenset[str]:
    """Return the ids of targets that the platform lists as leaving."""
    return frozenset(
        each.id
        for each in listed.values()
        if each.role == 'target' and each.state is ListedState.LEAVING
    )
