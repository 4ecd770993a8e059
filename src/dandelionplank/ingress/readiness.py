"""Whether an overloaded instance takes new connections: pure, no I/O.

Callers are spread over the instances that are ready by a hash, whatever the
size of these. While a small instance is overloaded, the others of its data
centre take its new connections; open ones stay with it.
"""

import dataclasses
import math
from collections.abc import Sequence

# Time constant of the smoothed delay of the event loop.
SMOOTHING_S = 0.3
# A longer delay counts as this one, and a longer time between two measurements
# as the second value, so that one freeze alone falls below the limit before it
# counts as lasting.
LONGEST_DELAY_S = 0.5
LONGEST_STEP_S = 0.25
# Smoothed delay, share of the bound on connections, and share of the requests
# refused by overload, of an instance that is overloaded.
OVERLOAD_DELAY_S = 0.1
OVERLOAD_CONNECTION_SHARE = 0.85
OVERLOAD_REFUSED_SHARE = 0.5
# Pressure below which an instance is no longer overloaded.
RELIEVED_PRESSURE = 0.5
# Time from the announcement of an overload to the other instances until the
# withdrawal. Loops that are late by 0.6 s read the announcements before.
ANNOUNCED_S = 0.8
# Time for which an instance has to be relieved.
RELIEVED_S = 1.0
# The balancer removes an instance after two failed checks, a second apart; a
# shorter withdrawal has no effect.
SHORTEST_S = 3.0
# The load that remains after this time does not come from new connections.
LONGEST_S = 5.0
# Time between two withdrawals.
REST_S = 10.0
# Part of the instances of a data centre that may be withdrawn at once. The
# balancer uses all of them if fewer than half are ready.
WITHDRAWN_PART = 4


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceState:
    """What an instance of the data centre reports.

    :param pressure: one or more if it is to be withdrawn, else zero
    """

    name: str
    pressure: float = 0
    is_withdrawn: bool = False
    is_leaving: bool = False

    @property
    def order(self) -> tuple[bool, float, str]:
        """Order in which instances are withdrawn, the same at all of them."""
        if self.is_withdrawn:
            return (False, 0, self.name)
        return (True, -self.pressure, self.name)


@dataclasses.dataclass(slots=True)
class LoadFigures:
    """Measured load of an instance.

    :param delay_s: smoothed delay of the event loop
    :param connection_share: open connections, as a share of their bound
    :param refused_share: share of the requests that overload has refused
    """

    delay_s: float = 0
    connection_share: float = 0
    refused_share: float = 0

    @property
    def pressure(self) -> float:
        """Return the load; an instance is overloaded from one on."""
        return max(
            self.delay_s / OVERLOAD_DELAY_S,
            self.connection_share / OVERLOAD_CONNECTION_SHARE,
            self.refused_share / OVERLOAD_REFUSED_SHARE,
        )


class LoadReadiness:
    """Decides when this instance is withdrawn, and for how long."""

    def __init__(self, name: str) -> None:
        """Hold the state of an instance that has started and is ready."""
        self.name = name
        self.figures = LoadFigures()
        self.measured_s = -math.inf
        self.relieved_since_s = math.inf
        self.announced_s = math.inf
        self.announced_pressure = 0.0
        self.is_withdrawn = False
        self.changed_s = -math.inf

    @property
    def state(self) -> InstanceState:
        """Return what this instance reports to the others."""
        return InstanceState(
            self.name, self.announced_pressure, self.is_withdrawn
        )

    def record_delay(self, delay_s: float, now_s: float) -> None:
        """Record by how much the event loop is late.

        :param now_s: monotonic time at which it was measured
        """
        step_s = min(LONGEST_STEP_S, now_s - self.measured_s)
        self.measured_s = now_s
        weight = 1 - math.exp(-step_s / SMOOTHING_S)
        late_s = min(LONGEST_DELAY_S, delay_s)
        self.figures.delay_s += weight * (late_s - self.figures.delay_s)

    def update(self, others: Sequence[InstanceState], now_s: float) -> bool:
        """Decide anew; return whether the reported state has changed.

        :param others: the other instances of the data centre that are known
        """
        self._measure(now_s)
        before = self.state
        if self.is_withdrawn:
            self._restore_if_due(others, now_s)
        else:
            self._withdraw_if_due(others, now_s)
        after = self.state
        return (before.is_withdrawn, before.pressure > 0) != (
            after.is_withdrawn,
            after.pressure > 0,
        )

    def _measure(self, now_s: float) -> None:
        """Record since when the instance is relieved."""
        if self.figures.pressure >= RELIEVED_PRESSURE:
            self.relieved_since_s = math.inf
        else:
            self.relieved_since_s = min(self.relieved_since_s, now_s)

    def _withdraw_if_due(
        self, others: Sequence[InstanceState], now_s: float
    ) -> None:
        """Announce an overload; withdraw if it lasts and there is room."""
        pressure = self.figures.pressure
        if pressure < 1 or now_s - self.changed_s < REST_S:
            self.announced_s = math.inf
            self.announced_pressure = 0.0
            return
        if not self.announced_pressure:
            self.announced_s = now_s
            self.announced_pressure = pressure
        if now_s - self.announced_s >= ANNOUNCED_S and self._is_allowed(others):
            self.is_withdrawn = True
            self.changed_s = now_s

    def _restore_if_due(
        self, others: Sequence[InstanceState], now_s: float
    ) -> None:
        """Restore an instance that is relieved, or was withdrawn for long."""
        withdrawn_s = now_s - self.changed_s
        is_relieved = now_s - self.relieved_since_s >= RELIEVED_S
        if (
            withdrawn_s >= LONGEST_S
            or (withdrawn_s >= SHORTEST_S and is_relieved)
            or not self._is_allowed(others)
        ):
            self.is_withdrawn = False
            self.announced_s = math.inf
            self.announced_pressure = 0.0
            self.changed_s = now_s

    def _is_allowed(self, others: Sequence[InstanceState]) -> bool:
        """Return whether this instance is among those to be withdrawn."""
        leaving = sum(each.is_leaving for each in others)
        room = (len(others) + 1) // WITHDRAWN_PART - leaving
        order = self.state.order
        before = sum(
            each.order < order
            for each in others
            if not each.is_leaving and (each.is_withdrawn or each.pressure)
        )
        return before < room
