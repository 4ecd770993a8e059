"""A caller's request on its way to a target."""

import dataclasses
import time

from dandelionplank.fairness.waiting import Waiting
from dandelionplank.routing.routes import Route
from dandelionplank.routing.work import RequestFacts


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A whole request, authenticated and routed.

    :param path: path and query exactly as the caller sent them
    :param account: account of the key, empty on public routes
    :param arrived_s: monotonic time of its arrival, moved back for a caller
        that returns after a refusal
    :param ends_s: monotonic time at which it is given up
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    facts: RequestFacts
    route: Route
    service: str
    account: str
    arrived_s: float
    ends_s: float

    @property
    def time_left_s(self) -> float:
        """Seconds until the request is given up."""
        return self.ends_s - time.monotonic()

    @property
    def first_answer_s(self) -> float:
        """Seconds left to meet the objective."""
        return self.arrived_s + self.route.objective_s - time.monotonic()

    def to_waiting(self, avoided: tuple[str, ...]) -> Waiting:
        """Return the request's place among those that wait.

        :param avoided: targets that have failed it
        """
        return Waiting(
            self.facts.request_id,
            self.account,
            self.route,
            self.service,
            self.facts.work,
            self.arrived_s,
            self.ends_s,
            cost=0,
            avoided=avoided,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A target's answer that was read to its end."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
