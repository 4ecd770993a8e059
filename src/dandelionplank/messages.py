"""Messages that routers exchange over links and as probes."""

import msgspec

from dandelionplank.instances import Instance


class Message(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag_field='kind',
):
    """Base class of all messages; the tag identifies the type on the wire."""


class Ticket(msgspec.Struct, frozen=True, array_like=True):
    """A request that waits for a target.

    :param estimate: expected cost in weighted units
    :param waited_ms: time it has waited when the message is sent
    :param prefix: fingerprint of the start of the prompt, zero for none
    :param is_retryable: whether a second attempt is allowed
    :param pinned: target that stores the state of a paused stream
    :param avoid: target from which a running stream is to be moved; such a
        ticket is granted immediately or refused
    """

    id: str
    account: str
    estimate: float
    waited_ms: int = 0
    prefix: int = 0
    is_retryable: bool = False
    pinned: str = ''
    avoid: str = ''


class RunningAttempt(msgspec.Struct, frozen=True, array_like=True):
    """An attempt in progress on a target, as reported by its entry."""

    ticket: Ticket
    target: str
    charged: float


class AccountCounter(msgspec.Struct, frozen=True, array_like=True):
    """The last received virtual counter of an account."""

    account: str
    virtual: float


class Enqueue(Message, frozen=True, tag=1):
    """Adds a ticket to its account's queue in a pool."""

    pool: str
    ticket: Ticket


class Cancel(Message, frozen=True, tag=2):
    """Removes a waiting ticket at the request of its entry."""

    pool: str
    ticket_id: str


class Grant(Message, frozen=True, tag=3):
    """Assigns a target to a ticket.

    :param virtual: the account's virtual counter after the charge
    :param reason: why the other targets were not chosen
    """

    pool: str
    ticket_id: str
    target: str
    charged: float
    virtual: float
    reason: str = ''


class Refuse(Message, frozen=True, tag=4):
    """Reports that the dispatcher refused a ticket."""

    pool: str
    ticket_id: str
    code: str
    retry_after_s: float = 0


class Pause(Message, frozen=True, tag=12):
    """Asks an entry to pause a stream and free its slot for short work."""

    pool: str
    ticket_id: str


class Probe(Message, frozen=True, tag=15):
    """Asks an entry to test a slow target with a copy of a running call."""

    pool: str
    ticket_id: str
    target: str


class Progress(Message, frozen=True, tag=5):
    """Reports that a running attempt costs more than was charged."""

    pool: str
    ticket_id: str
    cost: float


class Done(Message, frozen=True, tag=6):
    """Reports that an attempt has ended and frees its slot.

    :param cost: cost charged to the account, zero for a superseded hedge
    :param failed: the target was unreachable or its response broke off
    """

    pool: str
    ticket_id: str
    target: str
    cost: float
    failed: bool = False


class TargetReport(Message, frozen=True, tag=7):
    """Observations of a target by an entry during one report period.

    :param streams: streams that were open in the period
    :param tokens: number of tokens received
    :param stream_seconds: total time that the streams were open
    :param first_tokens: number of first tokens received
    :param first_token_seconds: total time until these first tokens
    :param waiting_first: streams that have not received a first token
    :param oldest_wait_s: longest time that an open stream has been silent
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
    """Contains all waiting and running tickets of an entry in a pool."""

    pool: str
    waiting: tuple[Ticket, ...]
    running: tuple[RunningAttempt, ...]
    counters: tuple[AccountCounter, ...]


class SyncRequest(Message, frozen=True, tag=9):
    """Asks an entry for its state of a pool."""

    pool: str


class TicketsMoved(Message, frozen=True, tag=10):
    """Reports that an entry moved its tickets to another dispatcher."""

    pool: str


class TargetLimit(msgspec.Struct, frozen=True, array_like=True):
    """The adapted limit of a target."""

    target: str
    limit: float


class Handover(Message, frozen=True, tag=11):
    """Transfers counters and limits of a pool from a leaving dispatcher."""

    pool: str
    counters: tuple[AccountCounter, ...]
    limits: tuple[TargetLimit, ...]


class PoolTotals(Message, frozen=True, tag=16):
    """Total charges of a pool's dispatcher since it started.

    :param epoch: identifies the dispatcher's term for the pool
    :param counters: cumulative charges of accounts that have changed
    """

    service: str
    pool: str
    epoch: str
    counters: tuple[AccountCounter, ...]


class RemoteTotals(Message, frozen=True, tag=17):
    """Charges made by the other pools of the service."""

    pool: str
    counters: tuple[AccountCounter, ...]


class ConfigurationRequest(Message, frozen=True, tag=13):
    """Requests the manifest and the shards that the sender lacks.

    :param held: digests of the shards that the sender has
    """

    held: tuple[str, ...]


class ConfigurationSnapshot(Message, frozen=True, tag=14):
    """Contains the manifest and the shards that the receiver lacks."""

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
    | TicketsMoved
    | Handover
    | PoolTotals
    | RemoteTotals
    | ConfigurationRequest
    | ConfigurationSnapshot
)


class Ping(Message, frozen=True, tag=50):
    """Probes an instance, which responds with an acknowledgement."""

    sender: Instance
    sequence: int
    revision: int
    updates: tuple[Instance, ...]


class PingAck(Message, frozen=True, tag=51):
    """Acknowledges a probe."""

    sender: Instance
    sequence: int
    revision: int
    updates: tuple[Instance, ...]


class PingRequest(Message, frozen=True, tag=52):
    """Asks the receiver to probe a third instance.

    :param probed_id: instance to probe
    """

    sender: Instance
    sequence: int
    probed_id: str
    updates: tuple[Instance, ...]


ProbeMessage = Ping | PingAck | PingRequest

FRAME_ENCODER = msgspec.msgpack.Encoder()
FRAME_DECODER = msgspec.msgpack.Decoder(tuple[WireMessage, ...])
PROBE_DECODER = msgspec.msgpack.Decoder(ProbeMessage)
