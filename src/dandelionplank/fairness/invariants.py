"""Invariants of a scheduler."""

import math

from dandelionplank.fairness.scheduler import PoolScheduler

TOLERANCE = 1e-6


def find_violations(scheduler: PoolScheduler, now_s: float) -> list[str]:
    """Return a description of each violated invariant.

    :param scheduler: scheduler whose :meth:`schedule` has just run
    :param now_s: monotonic time
    """
    return [
        *_slot_violations(scheduler),
        *_ticket_violations(scheduler),
        *_charge_violations(scheduler),
        *_idle_violations(scheduler, now_s),
    ]


def _slot_violations(scheduler: PoolScheduler) -> list[str]:
    """Check that the slots in use match the attempts in flight."""
    taken: dict[str, int] = {}
    for running in scheduler.in_flight.attempts.values():
        taken[running.target] = taken.get(running.target, 0) + 1
    return [
        f'{name}: {slots.in_flight} slots in use, '
        f'{taken.get(name, 0)} attempts in flight'
        for name, slots in scheduler.slots.items()
        if slots.in_flight != taken.get(name, 0)
    ]


def _ticket_violations(scheduler: PoolScheduler) -> list[str]:
    """Check that no ticket is both waiting and in flight."""
    return [
        f'ticket {ticket_id} is both waiting and in flight'
        for ticket_id in scheduler.in_flight
        if ticket_id in scheduler.backlog
    ]


def _charge_violations(scheduler: PoolScheduler) -> list[str]:
    """Check the counters and the total charge in flight."""
    faults = [
        f'{account}: invalid counter {level}'
        for account, level in scheduler.counters.virtual.items()
        if not math.isfinite(level) or level < 0
    ]
    total = sum(each.charged for each in scheduler.in_flight.attempts.values())
    if abs(total - scheduler.in_flight.cost) > TOLERANCE * max(1.0, total):
        faults.append(
            f'cost in flight is {scheduler.in_flight.cost}, '
            f'sum of charges is {total}',
        )
    return faults


def _idle_violations(scheduler: PoolScheduler, now_s: float) -> list[str]:
    """Check that no slot is idle while a ticket waits."""
    if not len(scheduler.backlog):
        return []
    return [
        f'{name} has an idle slot while {len(scheduler.backlog)} tickets wait'
        for name, slots in scheduler.slots.items()
        if slots.has_slot(now_s)
    ]
