"""What the other instances say of their load: pure state, no I/O.

Each report replaces the sender's earlier one, so that lost, repeated and
reordered reports do no harm. Reports age out when a sender falls silent.
"""

import dataclasses
import math

import msgspec

# Memory of service received: half of the four seconds in which shares are
# owed, so that the last window decides whose turn it is.
SERVICE_MEMORY_S = 2.0
# A peer is silent when it has missed this many of its own periods.
MISSED_PERIODS = 6


class TargetShare(msgspec.Struct, frozen=True, array_like=True):
    """One instance's load on one target.

    :param unread_tokens: sent there, first token not yet seen
    :param running: requests there
    :param queued_tokens: waiting at the instance for this target
    """

    unread_tokens: float = 0
    running: int = 0
    queued_tokens: float = 0


NO_SHARE = TargetShare()


class PromptRead(msgspec.Struct, frozen=True, array_like=True):
    """A prompt that was sent to a target, which keeps its parts from now on.

    :param parts: ids and tokens of the parts that others may share
    """

    target: str
    parts: tuple[tuple[str, int], ...]


class PeerReport(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """One instance's load, sent to the others.

    :param boot: random id of the start of the process
    :param period_s: time until the sender's next report at the latest
    :param view_age_s: age of the sender's proof of its configuration
    :param is_leaving: the sender takes no new connections
    :param service: cost served to each account, decayed over time
    :param reads: prompts sent to targets lately, some of them repeated from
        earlier reports in case one was lost
    """

    sender: str
    boot: int
    sequence: int
    period_s: float
    version: int
    view_age_s: float
    is_leaving: bool
    targets: dict[str, TargetShare]
    service: dict[str, float]
    reads: tuple[PromptRead, ...] = ()

    def is_as_new_as(self, other: 'PeerReport') -> bool:
        """Tell whether another report of the sender brings nothing new."""
        return self.boot == other.boot and self.sequence >= other.sequence


@dataclasses.dataclass(slots=True)
class HeardReport:
    """A report and the monotonic time of its arrival."""

    report: PeerReport
    heard_s: float

    def is_fresh(self, now_s: float) -> bool:
        """Tell whether the sender still counts as present."""
        limit_s = self.report.period_s * MISSED_PERIODS
        return now_s - self.heard_s < limit_s


class PeerBoard:
    """Keeps the latest report of every instance."""

    def __init__(self) -> None:
        """Start without reports."""
        self.heard: dict[str, HeardReport] = {}
        self.shares: dict[str, TargetShare] = {}

    def hear(self, report: PeerReport, now_s: float) -> bool:
        """Take in a report unless it is older than the known one."""
        known = self.heard.get(report.sender)
        if known and known.report.is_as_new_as(report):
            return False
        self._forget(report.sender)
        self.heard[report.sender] = HeardReport(report, now_s)
        self._add(report, 1)
        return True

    def expire(self, now_s: float) -> tuple[str, ...]:
        """Drop the reports of silent instances and return their names."""
        silent = tuple(
            name
            for name, heard in self.heard.items()
            if not heard.is_fresh(now_s)
        )
        for name in silent:
            self._forget(name)
        return silent

    def share_of(self, target: str) -> TargetShare:
        """Return the load that all other instances put on a target."""
        return self.shares.get(target, NO_SHARE)

    def service(self, now_s: float) -> dict[str, float]:
        """Return the cost that the others served to each account lately."""
        totals: dict[str, float] = {}
        for heard in self.heard.values():
            factor = decay(now_s - heard.heard_s)
            for account, level in heard.report.service.items():
                totals[account] = totals.get(account, 0) + level * factor
        return totals

    def freshest_view_s(self, now_s: float) -> float:
        """Return the least age of any other instance's configuration."""
        return min(
            (
                heard.report.view_age_s + now_s - heard.heard_s
                for heard in self.heard.values()
                if not heard.report.is_leaving
            ),
            default=math.inf,
        )

    def _forget(self, sender: str) -> None:
        """Take the load of an instance's latest report out of the sums."""
        known = self.heard.pop(sender, None)
        if known:
            self._add(known.report, -1)

    def _add(self, report: PeerReport, sign: int) -> None:
        """Add the load of one report to the sums, or take it out.

        Reports hold whole numbers, so that the sums come back to zero.
        """
        for target, share in report.targets.items():
            total = self.shares.pop(target, NO_SHARE)
            changed = TargetShare(
                total.unread_tokens + sign * share.unread_tokens,
                total.running + sign * share.running,
                total.queued_tokens + sign * share.queued_tokens,
            )
            if changed != NO_SHARE:
                self.shares[target] = changed


def decay(elapsed_s: float) -> float:
    """Return what is left of a level after a time."""
    return math.exp(-max(0.0, elapsed_s) / SERVICE_MEMORY_S)


class ServiceLevels:
    """Cost served to each account by this instance, decayed over time."""

    def __init__(self) -> None:
        """Start without service."""
        self.levels: dict[str, float] = {}
        self.decayed_s = 0.0

    def charge(self, account: str, cost: float, now_s: float) -> None:
        """Add the cost of work that was sent to a target."""
        self.settle(now_s)
        self.levels[account] = self.levels.get(account, 0) + cost

    def settle(self, now_s: float) -> dict[str, float]:
        """Return the levels at a time; what has decayed is dropped."""
        factor = decay(now_s - self.decayed_s)
        self.decayed_s = now_s
        self.levels = {
            account: level * factor
            for account, level in self.levels.items()
            if level * factor >= 1
        }
        return self.levels
