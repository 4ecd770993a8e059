"""Scheduling decisions of one pool's dispatcher.

Takes events and the current time, returns messages, and does no I/O.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from dandelionplank.accounts import ClientAccount
from dandelionplank.contracts import ServiceContract
from dandelionplank.errors import ErrorCode
from dandelionplank.fairness.backlog import Backlog
from dandelionplank.fairness.counters import VirtualCounters
from dandelionplank.fairness.inflight import InFlightAttempt, InFlightAttempts
from dandelionplank.fairness.order import AccountOrder, FairOrder
from dandelionplank.fairness.pauses import (
    MAX_PAUSE_S,
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
from dandelionplank.routing.limits import TargetSlots, update_stragglers
from dandelionplank.routing.selection import (
    PrefixAffinity,
    choose_target,
)
from dandelionplank.targets import Target

MS_PER_SECOND = 1000.0
RETRY_AFTER_S = 1.0
MIN_TOTAL_SHARE = 1e-9
MOVE_EXTRA_SLOTS = 1
MIN_SHORT_WORK_SLOTS = 8


@dataclasses.dataclass(frozen=True)
class OutgoingMessage:
    """A message and the instance to send it to."""

    instance: str
    message: Message


@dataclasses.dataclass(frozen=True)
class StragglerChanges:
    """Targets that became slow relative to their pool, or recovered."""

    slowed: tuple[str, ...]
    recovered: tuple[str, ...]


class PoolScheduler:
    """Orders the work of one pool and assigns its targets' slots."""

    def __init__(
        self,
        pool: str,
        contract: ServiceContract,
        order: AccountOrder | None = None,
    ) -> None:
        """Create an unconfigured scheduler without tickets.

        :param pool: name of the pool
        :param contract: contract of the pool's service
        :param order: order of service, fair by default
        """
        self.pool = pool
        self.contract = contract
        self.order: AccountOrder = order or FairOrder()
        self.accounts: Mapping[str, ClientAccount] = {}
        self.backlog = Backlog()
        self.paused = PausedStreams()
        self.counters = VirtualCounters()
        self.in_flight = InFlightAttempts(self.counters, self.share_of)
        self.slots: dict[str, TargetSlots] = {}
        self.prefixes = PrefixAffinity()

    def configure(
        self,
        contract: ServiceContract,
        accounts: Mapping[str, ClientAccount],
        targets: Iterable[Target],
    ) -> None:
        """Apply a configuration and keep the learned limits of known targets.

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
    ) -> list[OutgoingMessage]:
        """Queue a ticket unless it is already queued, paused or running.

        :param entry: instance whose caller waits
        :param ticket: the request
        :param now_s: monotonic time
        :return: a refusal if the account's queue is full or no slot is free
            for a moved stream; a grant if the ticket is already running or
            its stream is moved
        """
        if ticket.id in self.backlog or ticket.id in self.paused:
            return []
        if ticket.id in self.in_flight:
            running = self.in_flight.attempts[ticket.id]
            return [OutgoingMessage(entry, self._grant_message(running))]
        if ticket.avoid:
            return [self._grant_elsewhere(entry, ticket, now_s)]
        if ticket.pinned in self.slots:
            self.paused.push(self._make_waiting_ticket(entry, ticket, now_s))
        elif self.is_full(ticket.account):
            return [self._refuse(entry, ticket, ErrorCode.QUEUE_FULL)]
        else:
            self._admit(entry, ticket, now_s)
        return []

    def is_full(self, account: str) -> bool:
        """Return whether an account's queue is at its limit."""
        known = self.accounts.get(account)
        limit = known.queue_limit if known else 0
        return self.backlog.length_of(account) >= limit

    def cancel(self, ticket_id: str) -> None:
        """Remove a waiting ticket, or release an unused grant."""
        waiting = self.backlog.remove(ticket_id)
        if waiting is None and self.paused.remove(ticket_id) is None:
            self.release(ticket_id, 0)

    def progress(self, message: Progress) -> None:
        """Raise the charge of an attempt whose cost exceeds it."""
        running = self.in_flight.attempts.get(message.ticket_id)
        if running and message.cost > running.charged:
            self.in_flight.recharge(running, message.cost)

    def finish(self, message: Done, now_s: float) -> None:
        """Free the slot of an ended attempt and settle its charge."""
        running = self.in_flight.attempts.get(message.ticket_id)
        if running is None or running.target != message.target:
            return
        self.release(message.ticket_id, message.cost)
        slots = self.slots.get(message.target)
        if slots is None:
            return
        if message.failed:
            slots.record_failure(now_s)
        else:
            slots.record_success()

    def record_report(self, report: TargetReport) -> None:
        """Add an entry's report on a target to its window."""
        slots = self.slots.get(report.target)
        if slots:
            slots.window.add(report)

    def adapt(self, now_s: float) -> StragglerChanges:
        """Evaluate the reports of the last period and adapt the limits."""
        for slots in self.slots.values():
            slots.close_window()
        slowed, recovered = update_stragglers(self.slots)
        for each in self.slots.values():
            has_backlog = len(self.backlog) > 0
            each.adapt(now_s, has_backlog=has_backlog)
        return StragglerChanges(slowed, recovered)

    def schedule(self, now_s: float) -> list[OutgoingMessage]:
        """Grant slots until none is free or no ticket waits.

        :param now_s: monotonic time
        :return: grants, probes and pauses for the entries
        """
        outgoing = self._resume_paused(now_s)
        outgoing.extend(self._probe_slow(now_s))
        while len(self.backlog):
            granted = self._grant_next(now_s)
            if not granted:
                break
            outgoing.extend(granted)
        return outgoing

    def share_of(self, account: str) -> float:
        """Return an account's share, or one if it is not configured."""
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
        """Add a new ticket to its account's queue."""
        if not self.backlog.length_of(ticket.account):
            self.counters.raise_to_floor(ticket.account, self.backlog.accounts)
        self.backlog.push(self._make_waiting_ticket(entry, ticket, now_s))

    def _make_waiting_ticket(
        self,
        entry: str,
        ticket: Ticket,
        now_s: float,
    ) -> WaitingTicket:
        """Return a waiting ticket with the start time of its wait."""
        waiting_since_s = now_s - ticket.waited_ms / MS_PER_SECOND
        return WaitingTicket(ticket, entry, waiting_since_s)

    def _refuse(
        self,
        entry: str,
        ticket: Ticket,
        code: ErrorCode,
    ) -> OutgoingMessage:
        """Return the refusal of a ticket."""
        return OutgoingMessage(
            entry,
            Refuse(self.pool, ticket.id, code.name, RETRY_AFTER_S),
        )

    def _grant_next(self, now_s: float) -> list[OutgoingMessage]:
        """Grant one slot if a waiting ticket may use one."""
        free = [each for each in self.slots.values() if each.has_slot(now_s)]
        if free:
            waiting = self.order.best(self.backlog, self.counters)
            return [self._grant(waiting, free, now_s)]
        return self._grant_above_limit(now_s)

    def _grant_elsewhere(
        self,
        entry: str,
        ticket: Ticket,
        now_s: float,
    ) -> OutgoingMessage:
        """Move a stream to another target, or refuse it."""
        avoided = self.slots.get(ticket.avoid)
        if avoided and len(self.slots) > 1:
            avoided.record_late_stream(now_s)
        free = [
            each
            for each in self.slots.values()
            if each.target.name != ticket.avoid
            and not each.is_slow
            and each.has_slot(now_s, MOVE_EXTRA_SLOTS)
        ]
        if not free:
            return self._refuse(entry, ticket, ErrorCode.NO_TARGET)
        return self._grant(
            self._make_waiting_ticket(entry, ticket, now_s), free, now_s
        )

    def _resume_paused(self, now_s: float) -> list[OutgoingMessage]:
        """Resume paused streams that come before the queue."""
        outgoing: list[OutgoingMessage] = []
        for name, slots in self.slots.items():
            while slots.in_flight < slots.effective_limit:
                waiting = self.paused.first_at(name)
                if waiting is None or not self._may_resume(waiting, now_s):
                    break
                self.paused.remove(waiting.ticket.id)
                outgoing.append(self._grant(waiting, [slots], now_s))
        return outgoing

    def _may_resume(self, paused: WaitingTicket, now_s: float) -> bool:
        """Return whether a paused stream is served before the queue."""
        if (
            not len(self.backlog)
            or now_s - paused.waiting_since_s > MAX_PAUSE_S
        ):
            return True
        best = self.order.best(self.backlog, self.counters)
        levels = self.counters.virtual
        return levels[paused.ticket.account] <= levels[best.ticket.account]

    def _grant_above_limit(self, now_s: float) -> list[OutgoingMessage]:
        """Grant a short ticket a slot above the target's limit.

        Only accounts that hold fewer than ``MIN_SHORT_WORK_SLOTS`` slots, or
        fewer than their share of the pool, are eligible; otherwise a
        backlogged account would use the extra slots all the time, as if the
        limit were higher.
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
            fair_slots = per_share * self.share_of(account)
            if held < max(fair_slots - 1, MIN_SHORT_WORK_SLOTS):
                granted = self._grant(waiting, free, now_s)
                paused = self._pause_for(waiting.ticket, per_share, now_s)
                return [granted, *paused]
        return []

    def _pause_for(
        self,
        ticket: Ticket,
        per_share: float,
        now_s: float,
    ) -> list[OutgoingMessage]:
        """Pause a long stream at the short ticket's target."""
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
        return [
            OutgoingMessage(victim.entry, Pause(self.pool, victim.ticket.id))
        ]

    def _slots_per_share(self) -> float:
        """Return the fair number of slots for a share of one."""
        active = self.in_flight.counts.keys() | self.backlog.queues.keys()
        shares = sum(map(self.share_of, active))
        slots = sum(each.effective_limit for each in self.slots.values())
        return slots / max(shares, MIN_TOTAL_SHARE)

    def _grant(
        self,
        waiting: WaitingTicket,
        free: list[TargetSlots],
        now_s: float,
    ) -> OutgoingMessage:
        """Choose a target for a ticket, charge it and return its grant."""
        choice = choose_target(waiting.ticket, free, self.prefixes)
        ticket = waiting.ticket
        self.counters.record_service(ticket.account)
        self.backlog.remove(ticket.id)
        running = InFlightAttempt(
            ticket,
            waiting.entry,
            choice.slots.target.name,
            charged=0,
            started_s=now_s,
        )
        self.in_flight.start(running)
        choice.slots.in_flight += 1
        self.prefixes.record(ticket.prefix, running.target)
        return OutgoingMessage(
            waiting.entry,
            self._grant_message(running, choice.reason),
        )

    def _probe_slow(self, now_s: float) -> list[OutgoingMessage]:
        """Probe slow targets with copies of short calls in flight."""
        outgoing = []
        for name, slots in self.slots.items():
            if not slots.needs_probe(now_s):
                continue
            source = self._probe_source()
            if source:
                slots.probed_at_s = now_s
                probe = Probe(self.pool, source.ticket.id, name)
                outgoing.append(OutgoingMessage(source.entry, probe))
        return outgoing

    def _probe_source(self) -> InFlightAttempt | None:
        """Return the latest short attempt that may run a second time."""
        if not self.contract.can_resume:
            return None
        for running in reversed(self.in_flight.attempts.values()):
            is_short = running.charged <= self.contract.short_cost
            if is_short and running.ticket.is_retryable:
                return running
        return None

    def _grant_message(
        self, running: InFlightAttempt, reason: str = ''
    ) -> Grant:
        """Return the grant message of a running attempt."""
        return Grant(
            self.pool,
            running.ticket.id,
            running.target,
            running.charged,
            self.counters.virtual.get(running.ticket.account, 0),
            reason,
        )
