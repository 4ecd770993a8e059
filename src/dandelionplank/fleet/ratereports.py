"""Request rates of targets in the reports between instances."""

from collections.abc import Mapping

from dandelionplank.delivery.ratestatements import record_request_rate
from dandelionplank.fleet.peers import PeerReport, ReportedLimit
from dandelionplank.routing.load import TargetLoad
from dandelionplank.routing.ratelimit import RateStatement
from dandelionplank.routing.scheduler import Scheduler
from dandelionplank.targets import Target

# Time for which the end of a limit is reported.
ENDED_REPORT_S = 10.0


def limit_reports(
    loads: Mapping[str, TargetLoad], now_s: float
) -> dict[str, ReportedLimit]:
    """Return the limits that this instance knows of, by target."""
    return {
        name: _report(load, now_s)
        for name, load in loads.items()
        if load.limit.is_limited or now_s - load.limit.ended_s < ENDED_REPORT_S
    }


def apply_limit_reports(
    scheduler: Scheduler,
    targets: Mapping[str, Target],
    report: PeerReport,
    previous: PeerReport | None,
    now_s: float,
) -> None:
    """Take over statements of another instance, and charge what it granted.

    :param targets: targets that this instance knows
    :param previous: the report of the same instance before this one
    """
    known = _known_limits(report, previous)
    for name, limit in report.limits.items():
        target = targets.get(name)
        if target is None or target.started_ms != limit.started_ms:
            continue
        load = scheduler.load_of(target)
        if limit.age_s is not None:
            statement = RateStatement(limit.rate, now_s - limit.age_s)
            record_request_rate(load, statement, now_s, is_own=False)
        before = known.get(name)
        if before and before.started_ms == limit.started_ms:
            load.limit.charge(limit.granted - before.granted)


def _report(load: TargetLoad, now_s: float) -> ReportedLimit:
    """Return the report of one target's limit."""
    statement = load.limit.statement
    return ReportedLimit(
        load.target.started_ms,
        load.limit.granted,
        statement.rate,
        now_s - statement.at_s if load.limit.is_own else None,
    )


def _known_limits(
    report: PeerReport, previous: PeerReport | None
) -> Mapping[str, ReportedLimit]:
    """Return the limits of the previous report if it is of the same process."""
    if previous is None or previous.incarnation != report.incarnation:
        return {}
    return previous.limits
