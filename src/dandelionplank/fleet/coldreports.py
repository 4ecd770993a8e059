"""Cold targets in the reports between instances, and in the log."""

from collections.abc import Mapping

from dandelionplank.events import Event
from dandelionplank.fleet.coldowners import ColdOwners
from dandelionplank.fleet.peers import PeerReport, ReportedCold
from dandelionplank.fleet.view import FleetView
from dandelionplank.logs import log_event
from dandelionplank.metrics import METRICS
from dandelionplank.routing.coldstart import ColdState, ColdTargets
from dandelionplank.routing.pacing import TargetPace
from dandelionplank.targets import Target

LOGGED_DECIMALS = 3


def follow_cold_targets(
    view: FleetView, cold: ColdTargets, owners: ColdOwners
) -> None:
    """Let the entries of the store and the state of the fleet decide."""
    view.entry_listeners.append(cold.learn_entry)
    cold.is_in_charge = owners.is_in_charge
    cold.is_informed = owners.is_informed
    cold.on_change = _log_cold_target
    cold.on_pace = _log_pace


def cold_reports(cold: ColdTargets, now_s: float) -> dict[str, ReportedCold]:
    """Return the cold targets that this instance knows of.

    Times that were learnt from other instances are left out: passed on again
    and again, each of them would grow by the delays of the messages.
    """
    return {
        name: ReportedCold(
            state.started_ms,
            state.granted,
            max(0.0, state.read_until_s - now_s),
            state.assumed_left_s(now_s),
        )
        for name, state in cold.states.items()
        if state.is_cold(now_s)
    }


def apply_cold_reports(
    cold: ColdTargets,
    targets: Mapping[str, Target],
    report: PeerReport,
    previous: PeerReport | None,
    now_s: float,
) -> None:
    """Take over what another instance has read, and charge what it granted.

    :param targets: targets that this instance knows
    :param previous: the report of the same instance before this one
    """
    known: Mapping[str, ReportedCold] = {}
    if previous and previous.incarnation == report.incarnation:
        known = previous.cold
    for name, reported in report.cold.items():
        target = targets.get(name)
        if target is None or target.started_ms != reported.started_ms:
            continue
        if reported.left_s > 0:
            cold.learn_from_peer(
                target, reported.left_s, now_s, is_assumed=False
            )
        if reported.assumed_s > 0:
            cold.learn_from_peer(
                target, reported.assumed_s, now_s, is_assumed=True
            )
        state = cold.state_of(target)
        before = known.get(name)
        if state and before:
            state.charge(reported.granted - before.granted)


def _log_pace(name: str, pace: TargetPace, now_s: float) -> None:
    """Log that the paced recovery of a target has begun or ended."""
    log_event(
        Event.TARGET_PACED,
        target=name,
        window=round(pace.window, 1),
        responses=pace.responses,
        shrinks=pace.shrinks,
        took_s=round(now_s - pace.started_s, LOGGED_DECIMALS),
    )


def _log_cold_target(
    name: str, state: ColdState, source: str, now_s: float
) -> None:
    """Log and count that a target has become cold, or is cold no longer."""
    METRICS.add('cold_targets_total', int(state.is_announced))
    log_event(
        Event.TARGET_COLD,
        target=name,
        is_cold=state.is_announced,
        source=source,
        left_s=round(max(0.0, state.until_s - now_s), LOGGED_DECIMALS),
        granted=state.granted,
    )
