"""Recovery and handover of a scheduler's state."""

from collections.abc import Iterable

from dandelionplank.fairness.inflight import InFlightAttempt
from dandelionplank.fairness.scheduler import OutgoingMessage, PoolScheduler
from dandelionplank.messages import (
    Handover,
    RunningAttempt,
    Sync,
    TargetLimit,
)


class SchedulerRecovery:
    """Reconciles a scheduler with the state that the entries report.

    Every entry knows all of its outstanding requests, so their reports
    restore a dispatcher that has just started or has missed messages.

    :param scheduler: scheduler of the pool
    """

    def __init__(self, scheduler: PoolScheduler) -> None:
        """Hold the scheduler to reconcile."""
        self.scheduler = scheduler

    def sync(
        self, entry: str, message: Sync, now_s: float
    ) -> list[OutgoingMessage]:
        """Reconcile with all outstanding requests of an entry.

        :param entry: the instance that reports
        :param message: its waiting tickets, running attempts and counters
        :param now_s: monotonic time
        :return: messages for the entry, such as grants that it has missed
        """
        self.scheduler.counters.merge(message.counters)
        running = {each.ticket.id: each for each in message.running}
        waiting = {each.id: each for each in message.waiting}
        self._drop_unlisted(entry, running.keys() | waiting.keys())
        for attempt in running.values():
            self._restore_attempt(entry, attempt, now_s)
        outgoing = []
        for ticket in waiting.values():
            outgoing.extend(self.scheduler.enqueue(entry, ticket, now_s))
        return outgoing

    def drop_entry(self, entry: str) -> None:
        """Drop all of an entry that failed or uses another dispatcher now."""
        self._drop_unlisted(entry, frozenset())

    def apply_handover(self, message: Handover) -> None:
        """Apply the counters and limits of the previous dispatcher."""
        self.scheduler.counters.merge(message.counters)
        for learned in message.limits:
            slots = self.scheduler.slots.get(learned.target)
            if slots:
                slots.limit = learned.limit

    def handover(self) -> Handover:
        """Return the counters and adapted limits for the next dispatcher."""
        scheduler = self.scheduler
        limits = tuple(
            TargetLimit(name, slots.limit)
            for name, slots in scheduler.slots.items()
        )
        counters = scheduler.counters.snapshot()
        return Handover(scheduler.pool, counters, limits)

    def cap_debt(self) -> tuple[str, ...]:
        """Limit how far an account is behind after a merge of counters.

        :return: the accounts whose counters were lowered
        """
        scheduler = self.scheduler
        largest = max(
            scheduler.in_flight.peak_cost,
            scheduler.contract.short_cost,
        )
        return scheduler.counters.cap_debt(
            scheduler.backlog.accounts,
            2 * largest,
        )

    def _restore_attempt(
        self,
        entry: str,
        attempt: RunningAttempt,
        now_s: float,
    ) -> None:
        """Add an attempt that a previous dispatcher granted.

        Its charge is included in the counters that the entry reports.
        """
        scheduler = self.scheduler
        ticket = attempt.ticket
        if ticket.id in scheduler.in_flight:
            return
        scheduler.backlog.remove(ticket.id)
        scheduler.paused.remove(ticket.id)
        scheduler.in_flight.restore(
            InFlightAttempt(
                ticket, entry, attempt.target, attempt.charged, now_s
            ),
        )
        slots = scheduler.slots.get(attempt.target)
        if slots:
            slots.in_flight += 1

    def _drop_unlisted(self, entry: str, listed: Iterable[str]) -> None:
        """Drop an entry's tickets and attempts that it does not list."""
        scheduler = self.scheduler
        keep = set(listed)
        waiting = (
            *scheduler.backlog.of_entry(entry),
            *scheduler.paused.of_entry(entry),
        )
        for each in waiting:
            if each.ticket.id not in keep:
                scheduler.backlog.remove(each.ticket.id)
                scheduler.paused.remove(each.ticket.id)
        for running in scheduler.in_flight.of_entry(entry):
            if running.ticket.id not in keep:
                scheduler.release(running.ticket.id)
