"""Messages that routers exchange over their links."""

import msgspec

from dandelionplank.instances import Instance


class Message(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag_field='kind',
):
    """Base of all messages; the tag tells them apart on the wire."""


class Ticket(msgspec.Struct, frozen=True, array_like=True):
    """A request that waits for a target.

    :param estimate: expected cost in weighted units
    :param waited_ms: how long it has waited when the message is sent
    :param prefix: fingerprint of the prompt's beginning, zero for none
    :param may_repeat: whether a second attempt is allowed
    :param pinned: target that keeps the state of a paused stream
    :param avoid: target that a running stream is to be moved away from; such
        a ticket is granted at once or refused
    """

    id: str
    account: str
    estimate: float
    waited_ms: int = 0
    prefix: int = 0
    may_repeat: bool = False
    pinned: str = ''
    avoid: str = ''


class RunningAttempt(msgspec.Struct, frozen=True, array_like=True):
    """An attempt that runs on a target, as its entry reports it."""

    ticket: Ticket
    target: str
    charged: float


class AccountCounter(msgspec.Struct, frozen=True, array_like=True):
    """The virtual counter of an account as last heard."""

    account: str
    virtual: float


class Enqueue(Message, frozen=True, tag=1):
    """A ticket joins its account's queue in a pool."""

    pool: str
    ticket: Ticket


class Cancel(Message, frozen=True, tag=2):
    """A waiting ticket is withdrawn by its entry."""

    pool: str
    ticket_id: str


class Grant(Message, frozen=True, tag=3):
    """A ticket may run on a target.

    :param virtual: the account's virtual counter after the charge
    :param passed_over: why other targets were not chosen
    """

    pool: str
    ticket_id: str
    target: str
    charged: float
    virtual: float
    reason: str = ''


class Refuse(Message, frozen=True, tag=4):
    """A ticket is refused by the dispatcher."""

    pool: str
    ticket_id: str
    code: str
    retry_after_s: float = 0


class Pause(Message, frozen=True, tag=12):
    """A running stream is to give its slot to short work for a while."""

    pool: str
    ticket_id: str


class Probe(Message, frozen=True, tag=15):
    """An entry is to try a slow target with a copy of a running call."""

    pool: str
    ticket_id: str
    target: str


class Progress(Message, frozen=True, tag=5):
    """The cost of a running attempt has outgrown its charge."""

    pool: str
    ticket_id: str
    cost: float


class Done(Message, frozen=True, tag=6):
    """An attempt has ended and frees its slot.

    :param cost: what is charged to the account, zero for a lost hedge
    :param failed: the target broke off or could not be reached
    """

    pool: str
    ticket_id: str
    target: str
    cost: float
    failed: bool = False


class TargetReport(Message, frozen=True, tag=7):
    """What an entry saw of a target in its last report period.

    :param streams: streams that were open in the period
    :param tokens: tokens that arrived
    :param stream_seconds: open time of all streams added up
    :param first_tokens: first tokens that arrived
    :param first_token_seconds: waiting times for them added up
    :param waiting_first: streams still without a first token
    :param oldest_wait_s: longest present silence of a stream
    """

    pool: str
    target: str
    streams: int
    tokens: int
    stream_seconds: float
    first_tokens: int
    first_token_seconds: float
    waiting_first: int
    oldest_wait_s: float


class Sync(Message, frozen=True, tag=8):
    """All that an entry has outstanding in a pool."""

    pool: str
    waiting: tuple[Ticket, ...]
    running: tuple[RunningAttempt, ...]
    counters: tuple[AccountCounter, ...]


class SyncRequest(Message, frozen=True, tag=9):
    """A dispatcher asks the entries for their state of a pool."""

    pool: str


class Withdraw(Message, frozen=True, tag=10):
    """An entry has moved a pool's tickets to another dispatcher."""

    pool: str


class TargetLimit(msgspec.Struct, frozen=True, array_like=True):
    """The learned limit of a target."""

    target: str
    limit: float


class Handover(Message, frozen=True, tag=11):
    """A leaving dispatcher passes on what it has learned of a pool."""

    pool: str
    counters: tuple[AccountCounter, ...]
    limits: tuple[TargetLimit, ...]


class PoolTotals(Message, frozen=True, tag=16):
    """What a pool's dispatcher has charged since it began.

    :param epoch: names the dispatcher's run
    :param counters: cumulative charges of accounts that have changed
    """

    service: str
    pool: str
    epoch: str
    counters: tuple[AccountCounter, ...]


class ForeignTotals(Message, frozen=True, tag=17):
    """What the other pools of the service have charged."""

    pool: str
    counters: tuple[AccountCounter, ...]


class ConfigurationRequest(Message, frozen=True, tag=13):
    """The sender wants the manifest and the shards it lacks.

    :param held: digests of the shards that it already has
    """

    held: tuple[str, ...]


class ConfigurationSnapshot(Message, frozen=True, tag=14):
    """A manifest and the shards that the receiver lacks, as stored."""

    manifest: bytes
    shards: dict[str, bytes]


WireMessage = (
    Enqueue
    | Cancel
    | Grant
    | Refuse
    | Pause
    | Probe
    | Progress
    | Done
    | TargetReport
    | Sync
    | SyncRequest
    | Withdraw
    | Handover
    | PoolTotals
    | ForeignTotals
    | ConfigurationRequest
    | ConfigurationSnapshot
)


class Ping(Message, frozen=True, tag=50):
    """A probe; the receiver answers with an acknowledgement."""

    sender: Instance
    sequence: int
    revision: int
    updates: tuple[Instance, ...]


class PingAck(Message, frozen=True, tag=51):
    """The answer to a probe."""

    sender: Instance
    sequence: int
    revision: int
    updates: tuple[Instance, ...]


class PingRequest(Message, frozen=True, tag=52):
    """Asks the receiver to probe a third instance.

    :param subject: instance to probe
    """

    sender: Instance
    sequence: int
    subject: str
    updates: tuple[Instance, ...]


ProbeMessage = Ping | PingAck | PingRequest

FRAME_ENCODER = msgspec.msgpack.Encoder()
FRAME_DECODER = msgspec.msgpack.Decoder(tuple[WireMessage, ...])
PROBE_DECODER = msgspec.msgpack.Decoder(ProbeMessage)
