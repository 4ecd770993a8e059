"""Task that probes the other instances and keeps the member table."""

import asyncio
import contextlib
import dataclasses
import random
import time
from collections.abc import Callable
from pathlib import Path
from types import MappingProxyType

import aiohttp
import msgspec

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
from dandelionplank.router.tls import ProbeSeal
from dandelionplank.settings import Address, Settings

INDIRECT_PROBES = 2
JITTER = (0.9, 1.1)
RELAYED_LIMIT = 1000
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
    """The set of instances that may play a role may have changed."""

    changes: tuple[StatusChange, ...]


Listener = Callable[[MembersChanged], None]
RevisionListener = Callable[[str, int], None]


class ProbeProtocol(asyncio.DatagramProtocol):
    """Hands datagrams to the task that owns the socket."""

    def __init__(self, receive: Callable[[bytes], None]) -> None:
        """Keep the receiver."""
        self.receive = receive

    def datagram_received(self, payload: bytes, _: object) -> None:
        """Pass on one datagram."""
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
        """Start knowing only this instance."""
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
        self.waiting: dict[int, asyncio.Future[None]] = {}
        self.relayed: dict[int, tuple[str, int]] = {}
        self.sequence = 0
        self.rng = random.Random(incarnation)
        secret_file = settings.membership.probe_secret_file
        secret = Path(secret_file).read_bytes() if secret_file else b''
        self.seal = ProbeSeal(secret)

    @property
    def present(self) -> tuple[str, ...]:
        """Ids of the instances that may play a role."""
        return self.table.present

    def address_of(self, instance: str) -> str:
        """Return where an instance is reached; the platform's word first."""
        listed = self.listed.get(instance)
        if listed:
            return listed.address
        member = self.table.members.get(instance)
        return member.address if member else ''

    def data_center_of(self, instance: str) -> str:
        """Return the data centre of an instance, or nothing."""
        member = self.table.members.get(instance)
        return member.data_center if member else ''

    async def start(self) -> None:
        """Open the probe socket and read the platform's list once."""
        address = self.settings.listen.peers
        loop = asyncio.get_running_loop()
        endpoint = await loop.create_datagram_endpoint(
            lambda: ProbeProtocol(self.receive),
            local_addr=(address.ip, address.port),
        )
        self.transport = endpoint[0]
        await self.refresh_list()

    async def run(self) -> None:
        """Probe one peer a period and refresh the list now and then."""
        period_s = self.settings.membership.probe_period_s
        listed_at_s = time.monotonic()
        while True:
            await asyncio.sleep(period_s * self.rng.uniform(*JITTER))
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
        """Read the platform's list and speak to instances not known alive."""
        try:
            listed = await self.platform_list.fetch()
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
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
        """Tell the peers that this instance leaves."""
        self.table.leave()
        for name in self.table.peers:
            self._send_ping(self.address_of(name), 0)

    async def probe(self, name: str) -> None:
        """Probe a peer directly, then through others, then suspect it."""
        if await self._answers(name):
            return
        self._notify(self.table.suspect(name, time.monotonic()))

    def hint_failure(self, name: str) -> None:
        """Probe a peer at once because its link has broken."""
        if name in self.table.peers:
            asyncio.get_running_loop().create_task(self.probe(name))

    def receive(self, payload: bytes) -> None:
        """Handle one datagram."""
        METRICS.add('probe_bytes_received_total', len(payload))
        try:
            message = PROBE_DECODER.decode(self.seal.unseal(payload) or b'')
        except msgspec.DecodeError:
            METRICS.add('probe_malformed_total')
            return
        self._learn(message)
        if isinstance(message, Ping):
            self._acknowledge(message)
        elif isinstance(message, PingAck):
            self._settle(message.sequence)
        else:
            self._relay(message)

    async def _answers(self, name: str) -> bool:
        """Return whether a peer answers a direct or an indirect probe."""
        timeout_s = self.settings.membership.probe_timeout_s
        sequence = self._next_sequence()
        answer = self._expect(sequence)
        self._send_ping(self.address_of(name), sequence)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.shield(answer), timeout_s)
            return True
        helpers = [peer for peer in self.table.peers if peer != name]
        self.rng.shuffle(helpers)
        for helper in helpers[:INDIRECT_PROBES]:
            self._send(
                self.address_of(helper),
                PingRequest(
                    self.table.own,
                    sequence,
                    name,
                    self.table.take_updates(),
                ),
            )
        try:
            await asyncio.wait_for(answer, timeout_s)
        except TimeoutError:
            return False
        finally:
            self.waiting.pop(sequence, None)
        return True

    def _learn(self, message: ProbeMessage) -> None:
        """Take in the beliefs that a datagram carries."""
        now_s = time.monotonic()
        changes = self.table.confirm(message.sender, now_s)
        changes.extend(self.table.merge(message.updates, now_s))
        self._notify(changes)
        if not isinstance(message, PingRequest):
            for listener in self.revision_listeners:
                listener(message.sender.id, message.revision)

    def _acknowledge(self, message: Ping) -> None:
        """Answer a probe; a sender taken as failed is told so."""
        updates = self.table.take_updates()
        believed = self.table.members.get(message.sender.id)
        if believed is not None and not believed.is_present:
            updates = (*updates, believed)
        acknowledgement = PingAck(
            self.table.own,
            message.sequence,
            self.revision,
            updates,
        )
        address = self.address_of(message.sender.id) or message.sender.address
        self._send(address, acknowledgement)

    def _settle(self, sequence: int) -> None:
        """Complete the probe that an acknowledgement belongs to."""
        relayed = self.relayed.pop(sequence, None)
        if relayed:
            asker, original = relayed
            self._send(
                self.address_of(asker),
                PingAck(self.table.own, original, self.revision, ()),
            )
        answer = self.waiting.pop(sequence, None)
        if answer and not answer.done():
            answer.set_result(None)

    def _relay(self, message: PingRequest) -> None:
        """Probe a third instance for another one."""
        sequence = self._next_sequence()
        self.relayed[sequence] = (message.sender.id, message.sequence)
        while len(self.relayed) > RELAYED_LIMIT:
            self.relayed.pop(next(iter(self.relayed)))
        self._send_ping(self.address_of(message.subject), sequence)

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
        payload = self.seal.seal(FRAME_ENCODER.encode(message))
        METRICS.add('probe_bytes_sent_total', len(payload))
        peer = Address.from_text(address)
        self.transport.sendto(payload, (peer.ip, peer.port))

    def _expect(self, sequence: int) -> asyncio.Future[None]:
        """Return a future for an acknowledgement."""
        answer = asyncio.get_running_loop().create_future()
        self.waiting[sequence] = answer
        return answer

    def _next_sequence(self) -> int:
        """Return a new sequence number."""
        self.sequence += 1
        return self.sequence

    def _notify(self, changes: list[StatusChange]) -> None:
        """Log changes and tell the listeners."""
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
    """Return the targets that the platform's list says are leaving."""
    return frozenset(
        each.id
        for each in listed.values()
        if each.role == 'target' and each.state is ListedState.LEAVING
    )
