"""What an entry knows of a pool: its dispatcher and its own tickets there."""

import asyncio
import dataclasses
import time
from collections.abc import Callable

import msgspec

from dandelionplank.messages import (
    AccountCounter,
    Grant,
    RunningAttempt,
    Ticket,
)

MILLISECONDS = 1000
FALLBACK_SUFFIX = '~fallback'


@dataclasses.dataclass(frozen=True)
class AttemptHandlers:
    """What a running attempt does at its dispatcher's word.

    :param pause: gives the slot to short work
    :param probe: tries the named target with a copy of the call
    """

    pause: Callable[[], None]
    probe: Callable[[str], None]


@dataclasses.dataclass
class Pending:
    """A ticket whose caller waits for a grant or an answer.

    :param granted: shared by the pools in which the ticket is queued
    :param cost: cost so far, once it has outgrown the charge
    """

    ticket: Ticket
    pool: str
    since_s: float
    granted: asyncio.Future[Grant]
    grant: Grant | None = None
    granted_by: str = ''
    cost: float = 0
    handlers: AttemptHandlers | None = None

    def aged_ticket(self, now_s: float) -> Ticket:
        """Return the ticket with its waiting time up to now."""
        waited_ms = int((now_s - self.since_s) * MILLISECONDS)
        return msgspec.structs.replace(self.ticket, waited_ms=waited_ms)


@dataclasses.dataclass
class PoolView:
    """One pool as this entry sees it.

    :param dispatcher: instance that is sent this entry's tickets
    :param is_fallback: the pool's dispatcher cannot be reached, and this
        instance grants a few slots to itself
    :param unreachable_since_s: monotonic time, zero while it is reached
    """

    name: str
    dispatcher: str
    is_fallback: bool = False
    pending: dict[str, Pending] = dataclasses.field(default_factory=dict)
    counters: dict[str, float] = dataclasses.field(default_factory=dict)
    synced_at_s: float = 0
    unreachable_since_s: float = 0

    @property
    def remote_name(self) -> str:
        """Name of the pool at the dispatcher in use."""
        if self.is_fallback:
            return f'{self.name}{FALLBACK_SUFFIX}'
        return self.name

    def waiting(self) -> tuple[Ticket, ...]:
        """Return the tickets that wait, with their ages."""
        now_s = time.monotonic()
        return tuple(
            pending.aged_ticket(now_s)
            for pending in self.pending.values()
            if pending.grant is None
        )

    def running(self) -> tuple[RunningAttempt, ...]:
        """Return the attempts that run."""
        return tuple(
            RunningAttempt(
                pending.ticket,
                pending.grant.target,
                max(pending.cost, pending.grant.charged),
            )
            for pending in self.pending.values()
            if pending.grant is not None
        )

    def known_counters(self) -> tuple[AccountCounter, ...]:
        """Return the accounts' virtual counters as last heard."""
        return tuple(
            AccountCounter(account, virtual)
            for account, virtual in self.counters.items()
        )


def configured_name(pool: str) -> str:
    """Return the configured pool behind a name used on the wire."""
    return pool.removesuffix(FALLBACK_SUFFIX)
