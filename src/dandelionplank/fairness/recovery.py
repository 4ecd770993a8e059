"""Rebuilds a scheduler's state from the entries, and passes it on."""

from collections.abc import Iterable

from dandelionplank.fairness.inflight import Running
from dandelionplank.fairness.scheduler import Delivery, PoolScheduler
from dandelionplank.messages import (
    Handover,
    RunningAttempt,
    Sync,
    TargetLimit,
)


class SchedulerRecovery:
    """Keeps a scheduler in agreement with the entries.

    Every entry knows all that it has outstanding, so a dispatcher that has
    just begun, or has missed messages, is made right by their reports.

    :param scheduler: the decisions of the pool
    """

    def __init__(self, scheduler: PoolScheduler) -> None:
        """Keep the scheduler."""
        self.scheduler = scheduler

    def sync(self, entry: str, message: Sync, now_s: float) -> list[Delivery]:
        """Reconcile with all that an entry has outstanding.

        :param entry: the instance that reports
        :param message: its waiting tickets, running attempts and counters
        :param now_s: monotonic time
        :return: grants that the entry seems to have missed
        """
        self.scheduler.counters.merge(message.counters)
        running = {each.ticket.id: each for each in message.running}
        waiting = {each.id: each for each in message.waiting}
        self._forget_finished(entry, running.keys() | waiting.keys())
        for attempt in running.values():
            self._adopt(entry, attempt, now_s)
        deliveries = []
        for ticket in waiting.values():
            deliveries.extend(self.scheduler.enqueue(entry, ticket, now_s))
        return deliveries

    def drop_entry(self, entry: str) -> None:
        """Forget everything of an instance that has failed or moved on."""
        self._forget_finished(entry, frozenset())

    def take_over(self, message: Handover) -> None:
        """Take in what the former dispatcher has learned."""
        self.scheduler.counters.merge(message.counters)
        for learned in message.limits:
            slots = self.scheduler.slots.get(learned.target)
            if slots:
                slots.limit = learned.limit

    def handover(self) -> Handover:
        """Return what the next dispatcher should know."""
        scheduler = self.scheduler
        limits = tuple(
            TargetLimit(name, slots.limit)
            for name, slots in scheduler.slots.items()
        )
        counters = scheduler.counters.snapshot()
        return Handover(scheduler.pool, counters, limits)

    def cap_debt(self) -> tuple[str, ...]:
        """Limit what an account has to wait off after a merge of views.

        :return: the accounts whose counters were lowered
        """
        scheduler = self.scheduler
        largest = max(
            scheduler.in_flight.largest_cost,
            scheduler.contract.short_cost,
        )
        return scheduler.counters.cap_debt(
            scheduler.backlog.accounts,
            2 * largest,
        )

    def _adopt(
        self,
        entry: str,
        attempt: RunningAttempt,
        now_s: float,
    ) -> None:
        """Count an attempt that an earlier dispatcher granted.

        Its charge is part of the counters that the entry reports.
        """
        scheduler = self.scheduler
        ticket = attempt.ticket
        if ticket.id in scheduler.in_flight:
            return
        scheduler.backlog.remove(ticket.id)
        scheduler.paused.remove(ticket.id)
        scheduler.in_flight.adopt(
            Running(ticket, entry, attempt.target, attempt.charged, now_s),
        )
        slots = scheduler.slots.get(attempt.target)
        if slots:
            slots.in_flight += 1

    def _forget_finished(self, entry: str, listed: Iterable[str]) -> None:
        """Drop an entry's tickets that it no longer lists."""
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
