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
from dandelionplank.fairness.queues import WaitingTicket
from dandelionplank.messages import (
    Done,
    Grant,
    Handover,
    Message,
    Progress,
    Refuse,
    RunningAttempt,
    Sync,
    TargetLimit,
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
        if ticket.id in self.backlog:
            return []
        if ticket.id in self.in_flight:
            running = self.in_flight.attempts[ticket.id]
            return [Delivery(entry, self._grant_message(running))]
        if self.is_full(ticket.account):
            refusal = Refuse(
                self.pool,
                ticket.id,
                ErrorCode.QUEUE_FULL.name,
                QUEUE_FULL_RETRY_S,
            )
            return [Delivery(entry, refusal)]
        self._admit(entry, ticket, now_s)
        return []

    def is_full(self, account: str) -> bool:
        """Tell whether an account's queue takes no further ticket."""
        known = self.accounts.get(account)
        limit = known.queue_limit if known else 0
        return self.backlog.length_of(account) >= limit

    def cancel(self, ticket_id: str) -> None:
        """Withdraw a ticket that waits or give back a grant not used."""
        if self.backlog.remove(ticket_id) is None:
            self._release(ticket_id, 0)

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
        self._release(message.ticket_id, message.cost)
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
        deliveries = []
        while len(self.backlog):
            delivery = self._grant_next(now_s)
            if delivery is None:
                break
            deliveries.append(delivery)
        return deliveries

    def sync(self, entry: str, message: Sync, now_s: float) -> list[Delivery]:
        """Reconcile with all that an entry has outstanding.

        :param entry: the instance that reports
        :param message: its waiting tickets, running attempts and counters
        :param now_s: monotonic time
        :return: grants that the entry seems to have missed
        """
        self.counters.merge(message.counters)
        running = {each.ticket.id: each for each in message.running}
        waiting = {each.id: each for each in message.waiting}
        self._forget_finished(entry, running.keys() | waiting.keys())
        for attempt in running.values():
            self._adopt(entry, attempt)
        deliveries = []
        for ticket in waiting.values():
            deliveries.extend(self.enqueue(entry, ticket, now_s))
        return deliveries

    def drop_entry(self, entry: str) -> None:
        """Forget everything of an instance that has failed or moved on."""
        self._forget_finished(entry, frozenset())

    def take_over(self, message: Handover) -> None:
        """Take in what the former dispatcher has learned."""
        self.counters.merge(message.counters)
        for learned in message.limits:
            slots = self.slots.get(learned.target)
            if slots:
                slots.limit = learned.limit

    def handover(self) -> Handover:
        """Return what the next dispatcher should know."""
        limits = tuple(
            TargetLimit(name, slots.limit) for name, slots in self.slots.items()
        )
        return Handover(self.pool, self.counters.snapshot(), limits)

    def cap_debt(self) -> tuple[str, ...]:
        """Limit what an account has to wait off after a merge of views."""
        return self.counters.cap_debt(
            self.backlog.accounts,
            2 * max(self.in_flight.largest_cost, self.contract.short_cost),
        )

    def share_of(self, account: str) -> float:
        """Return an account's share, one where it is not configured."""
        known = self.accounts.get(account)
        return known.share if known else 1.0

    def _admit(self, entry: str, ticket: Ticket, now_s: float) -> None:
        """Put a new ticket into its account's queue."""
        if not self.backlog.length_of(ticket.account):
            self.counters.lift(ticket.account, self.backlog.accounts)
        since_s = now_s - ticket.waited_ms / MILLISECONDS
        self.backlog.push(WaitingTicket(ticket, entry, since_s))

    def _grant_next(self, now_s: float) -> Delivery | None:
        """Grant one slot, if there is one that a waiting ticket may use."""
        free = [each for each in self.slots.values() if each.has_slot(now_s)]
        if free:
            waiting = self.order.best(self.backlog, self.counters)
            return self._grant(waiting, free)
        return self._grant_overdraft(now_s)

    def _grant_overdraft(self, now_s: float) -> Delivery | None:
        """Let a short ticket use a slot above the limit.

        Only accounts that hold fewer slots than their share of the pool may
        do so, so that a backlogged account does not just raise the limit.
        """
        extra = self.contract.short_overdraft
        if not extra:
            return None
        free = [
            each
            for each in self.slots.values()
            if not each.is_slow and each.has_slot(now_s, extra)
        ]
        if not free:
            return None
        slots_per_share = self._slots_per_share()
        for waiting in self.order.ranked(self.backlog, self.counters):
            if waiting.ticket.estimate > self.contract.short_cost:
                continue
            account = waiting.ticket.account
            held = self.in_flight.counts.get(account, 0)
            if held + 1 <= slots_per_share * self.share_of(account):
                return self._grant(waiting, free)
        return None

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
    ) -> Delivery | None:
        """Move a ticket from its queue to a target."""
        choice = choose_target(waiting.ticket, free, self.prefixes)
        if choice is None:
            return None
        ticket = waiting.ticket
        self.counters.serve(ticket.account)
        self.backlog.remove(ticket.id)
        running = Running(ticket, waiting.entry, choice.slots.target.name, 0)
        self.in_flight.start(running)
        choice.slots.in_flight += 1
        self.prefixes.remember(ticket.prefix, running.target)
        return Delivery(
            waiting.entry,
            self._grant_message(running, choice.reason),
        )

    def _release(self, ticket_id: str, cost: float | None = None) -> None:
        """Settle the charge of an attempt and free its slot."""
        running = self.in_flight.end(ticket_id, cost)
        if running is None:
            return
        slots = self.slots.get(running.target)
        if slots:
            slots.in_flight -= 1

    def _adopt(self, entry: str, attempt: RunningAttempt) -> None:
        """Count an attempt that an earlier dispatcher granted.

        Its charge is part of the counters that the entry reports.
        """
        ticket = attempt.ticket
        if ticket.id in self.in_flight:
            return
        self.backlog.remove(ticket.id)
        self.in_flight.adopt(
            Running(ticket, entry, attempt.target, attempt.charged),
        )
        slots = self.slots.get(attempt.target)
        if slots:
            slots.in_flight += 1

    def _forget_finished(self, entry: str, listed: Iterable[str]) -> None:
        """Drop an entry's tickets that it no longer lists."""
        keep = set(listed)
        gone = [
            each.ticket.id
            for each in self.backlog.of_entry(entry)
            if each.ticket.id not in keep
        ]
        for ticket_id in gone:
            self.backlog.remove(ticket_id)
        for running in self.in_flight.of_entry(entry):
            if running.ticket.id not in keep:
                self._release(running.ticket.id)

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
