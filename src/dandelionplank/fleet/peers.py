"""Load reported by the other instances: pure state, no I/O.

Each report replaces the sender's previous one, so that lost, duplicated and
reordered reports are harmless. Reports of a silent sender expire.
"""

import dataclasses
import math

import msgspec

# Time constant of the decay of service levels: half of the four seconds over
# which shares are guaranteed, so that the last window decides the scheduling
# order.
SERVICE_DECAY_S = 2.0
# A peer is silent if no report has arrived for this many of its periods.
MISSED_PERIODS = 6


class TargetShare(msgspec.Struct, frozen=True, array_like=True):
    """One instance's load on one target.

    :param pending_prefill_tokens: uncached prompt tokens sent there,
        prefill pending
    :param running: requests in progress there
    :param queued_tokens: queued at the instance for this target
    :param waiting: requests queued at the instance for this target
    """

    pending_prefill_tokens: float = 0
    running: int = 0
    queued_tokens: float = 0
    waiting: int = 0


NO_SHARE = TargetShare()


class PrefillReport(msgspec.Struct, frozen=True, array_like=True):
    """A prompt that was sent to a target, which then caches its parts.

    :param parts: ids and tokens of the parts that other prompts may share
    """

    target: str
    parts: tuple[tuple[str, int], ...]


class ReportedLimit(msgspec.Struct, frozen=True, array_like=True):
    """Request rate of a target, and what the sender has used of it.

    :param started_ms: Unix time of the target's start, zero if not known
    :param granted: requests that the sender has assigned to the target
    :param rate: requests per second, infinite if the target states no limit
    :param age_s: time since the sender got that statement from the target,
        None if it knows of it from other instances
    """

    started_ms: int
    granted: int
    rate: float
    age_s: float | None


class ReportedCold(msgspec.Struct, frozen=True, array_like=True):
    """A cold target, and what the sender has granted of its rate.

    :param started_ms: Unix time of the target's start, zero if not known
    :param granted: requests that the sender has granted while it was cold
    :param left_s: time for which it stays cold as the sender read it in the
        store, zero if the sender did not
    :param assumed_s: time for which the sender assumes it to be cold, because
        it was unreachable or its data centre was restored
    """

    started_ms: int
    granted: int
    left_s: float
    assumed_s: float = 0


class PeerReport(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """One instance's load, sent to the other instances.

    :param incarnation: random id of the sender's process
    :param period_s: maximum time until the sender's next report
    :param view_age_s: time since the sender's view was last confirmed
    :param is_leaving: the sender takes no new connections
    :param service: cost served to each account, decayed over time
    :param prefills: prompts recently sent to targets, some of them
        repeated from earlier reports in case one was lost
    :param limits: request rates that targets state
    :param cold: targets that are cold
    :param data_center: of the sender, empty if its version does not state it
    :param pressure: load of a sender that is to be withdrawn from the
        balancer's rotation, else zero
    :param is_withdrawn: the sender is withdrawn, because it is overloaded
    """

    sender: str
    incarnation: int
    sequence: int
    period_s: float
    version: int
    view_age_s: float
    is_leaving: bool
    targets: dict[str, TargetShare]
    service: dict[str, float]
    prefills: tuple[PrefillReport, ...] = ()
    limits: dict[str, ReportedLimit] = {}
    cold: dict[str, ReportedCold] = {}
    data_center: str = ''
    pressure: float = 0
    is_withdrawn: bool = False

    def with_rotation(
        self, data_center: str, pressure: float, *, is_withdrawn: bool
    ) -> 'PeerReport':
        """Return a report that states the sender's place in the rotation."""
        return msgspec.structs.replace(
            self,
            data_center=data_center,
            pressure=pressure,
            is_withdrawn=is_withdrawn,
        )

    def is_as_new_as(self, other: 'PeerReport') -> bool:
        """Return whether another report of the same process is no newer."""
        return (
            self.incarnation == other.incarnation
            and self.sequence >= other.sequence
        )


@dataclasses.dataclass(slots=True)
class ReceivedReport:
    """A report and the monotonic time at which it was received."""

    report: PeerReport
    received_s: float

    def is_fresh(self, now_s: float) -> bool:
        """Return whether the sender still counts as present."""
        limit_s = self.report.period_s * MISSED_PERIODS
        return now_s - self.received_s < limit_s


class PeerLoadTable:
    """Latest report of each instance, and the sum of their loads."""

    def __init__(self) -> None:
        """Hold the latest reports by sender and the load by target."""
        self.reports: dict[str, ReceivedReport] = {}
        self.shares: dict[str, TargetShare] = {}

    def receive(self, report: PeerReport, now_s: float) -> bool:
        """Record a report; return whether it is newer than the known one."""
        known = self.reports.get(report.sender)
        if known and known.report.is_as_new_as(report):
            return False
        self._remove_report(report.sender)
        self.reports[report.sender] = ReceivedReport(report, now_s)
        self._add_load(report, 1)
        return True

    def expire(self, now_s: float) -> tuple[str, ...]:
        """Drop the reports of silent instances and return their names."""
        silent = tuple(
            name
            for name, received in self.reports.items()
            if not received.is_fresh(now_s)
        )
        for name in silent:
            self._remove_report(name)
        return silent

    def share_of(self, target: str) -> TargetShare:
        """Return the total load of the other instances on a target."""
        return self.shares.get(target, NO_SHARE)

    def service_levels(self, now_s: float) -> dict[str, float]:
        """Return the peers' service levels by account, decayed to now."""
        totals: dict[str, float] = {}
        for received in self.reports.values():
            factor = decay(now_s - received.received_s)
            for account, level in received.report.service.items():
                totals[account] = totals.get(account, 0) + level * factor
        return totals

    def min_view_age_s(self, now_s: float) -> float:
        """Return the lowest view age of the instances that are not leaving."""
        return min(
            (
                received.report.view_age_s + now_s - received.received_s
                for received in self.reports.values()
                if not received.report.is_leaving
            ),
            default=math.inf,
        )

    def _remove_report(self, sender: str) -> None:
        """Remove an instance's report and subtract its load."""
        known = self.reports.pop(sender, None)
        if known:
            self._add_load(known.report, -1)

    def _add_load(self, report: PeerReport, sign: int) -> None:
        """Add the load of a report to the sums, or subtract it.

        Reports contain integers, so that the sums return to exactly zero.
        """
        for target, share in report.targets.items():
            total = self.shares.pop(target, NO_SHARE)
            changed = TargetShare(
                total.pending_prefill_tokens
                + sign * share.pending_prefill_tokens,
                total.running + sign * share.running,
                total.queued_tokens + sign * share.queued_tokens,
                total.waiting + sign * share.waiting,
            )
            if changed != NO_SHARE:
                self.shares[target] = changed


def decay(elapsed_s: float) -> float:
    """Return the factor by which a service level decays over a time."""
    return math.exp(-max(0.0, elapsed_s) / SERVICE_DECAY_S)


class ServiceLevels:
    """Cost served to each account by this instance, decayed over time."""

    def __init__(self) -> None:
        """Hold the levels by account."""
        self.levels: dict[str, float] = {}
        self.decayed_s = 0.0

    def charge(self, account: str, cost: float, now_s: float) -> None:
        """Add the cost of work that was sent to a target."""
        self.decay_to(now_s)
        self.levels[account] = self.levels.get(account, 0) + cost

    def refund(self, account: str, cost: float, now_s: float) -> None:
        """Take back the charge for work that did not run."""
        self.decay_to(now_s)
        if account in self.levels:
            self.levels[account] = max(0.0, self.levels[account] - cost)

    def decay_to(self, now_s: float) -> dict[str, float]:
        """Decay the levels to a time and return them, without those below 1."""
        factor = decay(now_s - self.decayed_s)
        self.decayed_s = now_s
        self.levels = {
            account: level * factor
            for account, level in self.levels.items()
            if level * factor >= 1
        }
        return self.levels
