"""An entry's view of a pool: its dispatcher and this entry's tickets."""

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

MS_PER_SECOND = 1000
FALLBACK_SUFFIX = '~fallback'


@dataclasses.dataclass(frozen=True)
class AttemptHandlers:
    """Holds a running attempt's handlers of its dispatcher's commands.

    :param pause: releases the slot for short work
    :param probe: sends a copy of the call to the named target
    """

    pause: Callable[[], None]
    probe: Callable[[str], None]


@dataclasses.dataclass
class PendingTicket:
    """Holds a ticket whose caller waits for a grant or a response.

    :param enqueued_at_s: monotonic time at which it was queued in the pool
    :param grant_future: shared by the pools in which the ticket is queued
    :param granted_by: instance that sent the grant
    :param cost: cost so far, once it exceeds the charge
    """

    ticket: Ticket
    pool: str
    enqueued_at_s: float
    grant_future: asyncio.Future[Grant]
    grant: Grant | None = None
    granted_by: str = ''
    cost: float = 0
    handlers: AttemptHandlers | None = None

    def updated_ticket(self, now_s: float) -> Ticket:
        """Return the ticket with its waiting time up to now."""
        waited_ms = int((now_s - self.enqueued_at_s) * MS_PER_SECOND)
        return msgspec.structs.replace(self.ticket, waited_ms=waited_ms)


@dataclasses.dataclass
class PoolView:
    """Holds a pool's dispatcher and this entry's tickets in the pool.

    :param dispatcher: instance to which this entry's tickets are sent
    :param is_fallback: the pool's dispatcher cannot be reached, and this
        instance grants a few slots to itself
    :param unreachable_since_s: monotonic time, zero while the dispatcher is
        reachable
    """

    name: str
    dispatcher: str
    is_fallback: bool = False
    pending: dict[str, PendingTicket] = dataclasses.field(default_factory=dict)
    counters: dict[str, float] = dataclasses.field(default_factory=dict)
    synced_at_s: float = 0
    unreachable_since_s: float = 0

    @property
    def remote_name(self) -> str:
        """Return the pool's name in messages to the current dispatcher."""
        if self.is_fallback:
            return f'{self.name}{FALLBACK_SUFFIX}'
        return self.name

    def waiting(self) -> tuple[Ticket, ...]:
        """Return the waiting tickets with their waiting times up to now."""
        now_s = time.monotonic()
        return tuple(
            pending.updated_ticket(now_s)
            for pending in self.pending.values()
            if pending.grant is None
        )

    def running(self) -> tuple[RunningAttempt, ...]:
        """Return the running attempts."""
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
        """Return the accounts' virtual counters as last received."""
        return tuple(
            AccountCounter(account, virtual)
            for account, virtual in self.counters.items()
        )


def configured_name(pool: str) -> str:
    """Return the configured name for a pool's name in messages."""
    return pool.removesuffix(FALLBACK_SUFFIX)
