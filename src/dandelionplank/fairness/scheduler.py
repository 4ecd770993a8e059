"""Decisions of a pool's dispatcher: events and time in, messages out."""

import dataclasses
from collections.abc import Iterable, Mapping

from dandelionplank.accounts import ClientAccount
from dandelionplank.contracts import ServiceContract
from dandelionplank.errors import ErrorCode
from dandelionplank.fairness.backlog import Backlog
from dandelionplank.fairness.counters import VirtualCounters
from dandelionplank.fairness.inflight import InFlight, Running
from dandelionplank.fairness.order import AccountOrder, FairOrder
from dandelionplank.fairness.pauses import (
    LONGEST_PAUSE_S,
    PausedStreams,
    choose_victim,
)
from dandelionplank.fairness.queues import WaitingTicket
from dandelionplank.messages import (
    Done,
    Grant,
    Message,
    Pause,
    Probe,
    Progress,
    Refuse,
    TargetReport,
    Ticket,
)
from dandelionplank.routing.limits import TargetSlots, find_stragglers
from dandelionplank.routing.selection import (
    PrefixMemory,
    choose_target,
)
from dandelionplank.targets import Target

MILLISECONDS = 1000.0
QUEUE_FULL_RETRY_S = 1.0
LEAST_SHARES = 1e-9
MOVE_OVERDRAFT = 1
SLOTS_FOR_SHORT_WORK = 8


@dataclasses.dataclass(frozen=True)
class Delivery:
    """A message for an instance."""

    instance: str
    message: Message


@dataclasses.dataclass(frozen=True)
class PaceChange:
    """Targets whose speed against their pool has changed."""

    slowed: tuple[str, ...]
    recovered: tuple[str, ...]


class PoolScheduler:
    """Orders all work of one pool and holds its targets' slots."""

    def __init__(
        self,
        pool: str,
        contract: ServiceContract,
        order: AccountOrder | None = None,
    ) -> None:
        """Start empty.

        :param pool: name of the pool
        :param contract: contract of the pool's service
        :param order: order of service, by default the fair one
        """
        self.pool = pool
        self.contract = contract
        self.order: AccountOrder = order or FairOrder()
        self.accounts: Mapping[str, ClientAccount] = {}
        self.backlog = Backlog()
        self.paused = PausedStreams()
        self.counters = VirtualCounters()
        self.in_flight = InFlight(self.counters, self.share_of)
        self.slots: dict[str, TargetSlots] = {}
        self.prefixes = PrefixMemory()

    def configure(
        self,
        contract: ServiceContract,
        accounts: Mapping[str, ClientAccount],
        targets: Iterable[Target],
    ) -> None:
        """Apply a configuration; learned limits of known targets stay.

        :param contract: contract of the service
        :param accounts: client accounts by name
        :param targets: targets of this pool
        """
        self.contract = contract
        self.accounts = accounts
        known = self.slots
        self.slots = {}
        for target in targets:
            slots = known.get(target.name) or TargetSlots(target, contract)
            slots.target = target
            slots.contract = contract
            slots.in_flight = self.in_flight.count_at(target.name)
            self.slots[target.name] = slots

    def enqueue(
        self, entry: str, ticket: Ticket, now_s: float
    ) -> list[Delivery]:
        """Queue a ticket; a ticket that is already known is left alone.

        :param entry: instance whose caller waits
        :param ticket: the request
        :param now_s: monotonic time
        :return: a refusal when the account's queue is full
        """
        if ticket.id in self.backlog or ticket.id in self.paused:
            return []
        if ticket.id in self.in_flight:
            running = self.in_flight.attempts[ticket.id]
            return [Delivery(entry, self._grant_message(running))]
        if ticket.avoid:
            return [self._grant_elsewhere(entry, ticket, now_s)]
        if ticket.pinned in self.slots:
            self.paused.push(self._waiting(entry, ticket, now_s))
        elif self.is_full(ticket.account):
            return [self._refuse(entry, ticket, ErrorCode.QUEUE_FULL)]
        else:
            self._admit(entry, ticket, now_s)
        return []

    def is_full(self, account: str) -> bool:
        """Tell whether an account's queue takes no further ticket."""
        known = self.accounts.get(account)
        limit = known.queue_limit if known else 0
        return self.backlog.length_of(account) >= limit

    def cancel(self, ticket_id: str) -> None:
        """Withdraw a ticket that waits or give back a grant not used."""
        waiting = self.backlog.remove(ticket_id)
        if waiting is None and self.paused.remove(ticket_id) is None:
            self.release(ticket_id, 0)

    def progress(self, message: Progress) -> None:
        """Charge a running attempt that has outgrown its estimate."""
        running = self.in_flight.attempts.get(message.ticket_id)
        if running and message.cost > running.charged:
            self.in_flight.recharge(running, message.cost)

    def finish(self, message: Done, now_s: float) -> None:
        """Free a slot and settle the charge."""
        running = self.in_flight.attempts.get(message.ticket_id)
        if running is None or running.target != message.target:
            return
        self.release(message.ticket_id, message.cost)
        slots = self.slots.get(message.target)
        if slots is None:
            return
        if message.failed:
            slots.note_failure(now_s)
        else:
            slots.note_success()

    def observe(self, report: TargetReport) -> None:
        """Take in an entry's report on a target."""
        slots = self.slots.get(report.target)
        if slots:
            slots.window.add(report)

    def adapt(self, now_s: float) -> PaceChange:
        """Evaluate the reports of the last period and adapt the limits."""
        for slots in self.slots.values():
            slots.close_window()
        slowed, recovered = find_stragglers(self.slots)
        for each in self.slots.values():
            wanted = len(self.backlog) > 0
            each.adapt(now_s, wanted=wanted)
        return PaceChange(slowed, recovered)

    def schedule(self, now_s: float) -> list[Delivery]:
        """Grant slots until none is free or nobody waits.

        :param now_s: monotonic time
        :return: grants for the entries
        """
        deliveries = self._resume_paused(now_s)
        deliveries.extend(self._probe_slow(now_s))
        while len(self.backlog):
            granted = self._grant_next(now_s)
            if not granted:
                break
            deliveries.extend(granted)
        return deliveries

    def share_of(self, account: str) -> float:
        """Return an account's share, one where it is not configured."""
        known = self.accounts.get(account)
        return known.share if known else 1.0

    def release(self, ticket_id: str, cost: float | None = None) -> None:
        """Settle the charge of an attempt and free its slot."""
        running = self.in_flight.end(ticket_id, cost)
        if running is None:
            return
        slots = self.slots.get(running.target)
        if slots:
            slots.in_flight -= 1

    def _admit(self, entry: str, ticket: Ticket, now_s: float) -> None:
        """Put a new ticket into its account's queue."""
        if not self.backlog.length_of(ticket.account):
            self.counters.lift(ticket.account, self.backlog.accounts)
        self.backlog.push(self._waiting(entry, ticket, now_s))

    def _waiting(
        self,
        entry: str,
        ticket: Ticket,
        now_s: float,
    ) -> WaitingTicket:
        """Return a ticket with the time at which its wait began."""
        since_s = now_s - ticket.waited_ms / MILLISECONDS
        return WaitingTicket(ticket, entry, since_s)

    def _refuse(
        self,
        entry: str,
        ticket: Ticket,
        code: ErrorCode,
    ) -> Delivery:
        """Refuse a ticket."""
        return Delivery(
            entry,
            Refuse(self.pool, ticket.id, code.name, QUEUE_FULL_RETRY_S),
        )

    def _grant_next(self, now_s: float) -> list[Delivery]:
        """Grant one slot, if there is one that a waiting ticket may use."""
        free = [each for each in self.slots.values() if each.has_slot(now_s)]
        if free:
            waiting = self.order.best(self.backlog, self.counters)
            return [self._grant(waiting, free, now_s)]
        return self._grant_overdraft(now_s)

    def _grant_elsewhere(
        self,
        entry: str,
        ticket: Ticket,
        now_s: float,
    ) -> Delivery:
        """Grant a slot at another target to a stream that is to move."""
        left = self.slots.get(ticket.avoid)
        if left:
            left.note_late(now_s)
        free = [
            each
            for each in self.slots.values()
            if each.target.name != ticket.avoid
            and not each.is_slow
            and each.has_slot(now_s, MOVE_OVERDRAFT)
        ]
        if not free:
            return self._refuse(entry, ticket, ErrorCode.NO_TARGET)
        return self._grant(self._waiting(entry, ticket, now_s), free, now_s)

    def _resume_paused(self, now_s: float) -> list[Delivery]:
        """Let paused streams go on where their turn has come."""
        deliveries: list[Delivery] = []
        for name, slots in self.slots.items():
            while slots.in_flight < slots.effective_limit:
                waiting = self.paused.first_at(name)
                if waiting is None or not self._is_due(waiting, now_s):
                    break
                self.paused.remove(waiting.ticket.id)
                deliveries.append(self._grant(waiting, [slots], now_s))
        return deliveries

    def _is_due(self, paused: WaitingTicket, now_s: float) -> bool:
        """Tell whether a paused stream goes before the queue."""
        if not len(self.backlog) or now_s - paused.since_s > LONGEST_PAUSE_S:
            return True
        best = self.order.best(self.backlog, self.counters)
        levels = self.counters.virtual
        return levels[paused.ticket.account] <= levels[best.ticket.account]

    def _grant_overdraft(self, now_s: float) -> list[Delivery]:
        """Let a short ticket use a slot above the limit.

        Only accounts that hold few slots, or fewer than their share of the
        pool, may do so: a backlogged account would just raise the limit.
        """
        extra = self.contract.short_overdraft
        if not extra:
            return []
        free = [
            each
            for each in self.slots.values()
            if not each.is_slow and each.has_slot(now_s, extra)
        ]
        if not free:
            return []
        per_share = self._slots_per_share()
        for waiting in self.order.ranked(self.backlog, self.counters):
            if waiting.ticket.estimate > self.contract.short_cost:
                continue
            account = waiting.ticket.account
            held = self.in_flight.counts.get(account, 0)
            due = per_share * self.share_of(account)
            if held < max(due - 1, SLOTS_FOR_SHORT_WORK):
                granted = self._grant(waiting, free, now_s)
                paused = self._pause_for(waiting.ticket, per_share, now_s)
                return [granted, *paused]
        return []

    def _pause_for(
        self,
        ticket: Ticket,
        per_share: float,
        now_s: float,
    ) -> list[Delivery]:
        """Pause a long stream at the target that took a short ticket."""
        if not self.contract.can_resume:
            return []
        target = self.in_flight.attempts[ticket.id].target
        victim = choose_victim(
            self.in_flight.at_target(target),
            self.in_flight,
            lambda account: per_share * self.share_of(account),
            self.contract.short_cost,
            now_s,
        )
        if victim is None:
            return []
        victim.is_pausing = True
        return [Delivery(victim.entry, Pause(self.pool, victim.ticket.id))]

    def _slots_per_share(self) -> float:
        """Return the slots due to an active account with a share of one."""
        active = self.in_flight.counts.keys() | self.backlog.queues.keys()
        shares = sum(map(self.share_of, active))
        slots = sum(each.effective_limit for each in self.slots.values())
        return slots / max(shares, LEAST_SHARES)

    def _grant(
        self,
        waiting: WaitingTicket,
        free: list[TargetSlots],
        now_s: float,
    ) -> Delivery:
        """Move a ticket from its queue to a target."""
        choice = choose_target(waiting.ticket, free, self.prefixes)
        ticket = waiting.ticket
        self.counters.serve(ticket.account)
        self.backlog.remove(ticket.id)
        running = Running(
            ticket,
            waiting.entry,
            choice.slots.target.name,
            charged=0,
            since_s=now_s,
        )
        self.in_flight.start(running)
        choice.slots.in_flight += 1
        self.prefixes.remember(ticket.prefix, running.target)
        return Delivery(
            waiting.entry,
            self._grant_message(running, choice.reason),
        )

    def _probe_slow(self, now_s: float) -> list[Delivery]:
        """Try slow targets with copies of short calls that run elsewhere."""
        deliveries = []
        for name, slots in self.slots.items():
            if not slots.needs_probe(now_s):
                continue
            model = self._probe_model()
            if model:
                slots.probed_at_s = now_s
                probe = Probe(self.pool, model.ticket.id, name)
                deliveries.append(Delivery(model.entry, probe))
        return deliveries

    def _probe_model(self) -> Running | None:
        """Return the latest short attempt that may be copied."""
        if not self.contract.can_resume:
            return None
        for running in reversed(self.in_flight.attempts.values()):
            is_short = running.charged <= self.contract.short_cost
            if is_short and running.ticket.may_repeat:
                return running
        return None

    def _grant_message(self, running: Running, reason: str = '') -> Grant:
        """Describe a running attempt to its entry."""
        return Grant(
            self.pool,
            running.ticket.id,
            running.target,
            running.charged,
            self.counters.virtual.get(running.ticket.account, 0),
            reason,
        )
