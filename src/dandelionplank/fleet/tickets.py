"""Messages between an entry and the owners of pools, over UDP.

Any of them may be lost, repeated or late. An entry repeats its ticket until it
is answered, and lists its open grants again and again.
"""

import enum

import msgspec


class Ticket(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """An entry's request for a target of a pool.

    :param number: number of the ticket, unique for the sender's process
    :param objective_left_s: time until the response misses its objective
    :param deadline_left_s: time until the request times out
    :param parts: ids and tokens of the parts of the prompt
    :param avoided: targets at which an earlier attempt failed
    :param is_overflow: another pool is preferred; only an idle target counts
    :param is_plain: the request has no prompt
    :param versions: software versions that may take it, none for any
    :param delay_s: by how much the event loop of the sender is late
    """

    sender: str
    number: int
    queue: str
    request_id: str
    account: str
    objective_left_s: float
    deadline_left_s: float
    cost: float
    model: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[tuple[str, int], ...]
    avoided: tuple[str, ...]
    is_overflow: bool
    is_plain: bool = False
    versions: tuple[str, ...] = ()
    delay_s: float = 0


class TicketGrant(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """A target that the request may be sent to.

    :param owner: instance that grants it
    :param expected_s: expected time until the prompt is prefilled
    """

    owner: str
    number: int
    target: str
    uncached_tokens: float
    expected_s: float


class TicketQueued(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The ticket waits at the owner for a target."""

    number: int


class TicketRejection(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The request is not to be sent to any target of the pool."""

    number: int
    reason: str
    retry_after_s: float


TicketReply = TicketGrant | TicketQueued | TicketRejection


class TicketEvent(enum.IntEnum):
    """What happened to a ticket at its entry."""

    PREFILLED = 1
    ENDED = 2
    SUCCEEDED = 3
    FAILED = 4
    UNREACHABLE = 5
    FULL = 6
    MISDIRECTED = 7


class TicketEvents(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Events of an entry's tickets, in order."""

    sender: str
    events: tuple[tuple[int, TicketEvent], ...]


class OpenGrant(msgspec.Struct, frozen=True, array_like=True):
    """A grant that an entry still uses."""

    number: int
    queue: str
    target: str
    uncached_tokens: float
    is_prefilled: bool


class OpenGrants(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """All grants of an entry in the pools of one owner."""

    sender: str
    grants: tuple[OpenGrant, ...]


TicketMessage = Ticket | TicketReply | TicketEvents | OpenGrants
