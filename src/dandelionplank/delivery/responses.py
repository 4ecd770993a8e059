"""What the head of a target's response reports."""

import dataclasses
from typing import Self

# Largest numbers that a report can hold; larger ones tell targets apart no
# better.
MAX_REQUESTS = 1_000_000
MAX_SLOWNESS = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReport:
    """A target's load at the time of its response.

    :param running: requests that it runs
    :param waiting: requests in its own queue
    :param slowness: factor by which work takes longer than usual, at least 1
    """

    running: int
    waiting: int
    slowness: float

    @classmethod
    def from_load(cls, running: float, waiting: float, slowness: float) -> Self:
        """Build a report from finite numbers, cut to the limits."""
        return cls(
            int(min(MAX_REQUESTS, max(0, running))),
            int(min(MAX_REQUESTS, max(0, waiting))),
            min(MAX_SLOWNESS, max(1, slowness)),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What a target states in the head of its response.

    :param request_id: id of the request that the response is for
    :param is_stamped: the target has put its stamp on the response
    :param is_not_executed: the target reports that it did not execute the
        request
    :param is_encoded: the body is encoded although no encoding was requested
    :param request_rate: requests per second that the target takes from all
        instances together, infinite if it states no limit, None if that
        cannot be decoded
    :param is_leaving: the target takes no further requests
    :param closed_s: seconds for which it wants no request from this instance,
        zero if it states none
    """

    request_id: str
    is_stamped: bool
    is_not_executed: bool
    is_encoded: bool
    report: TargetReport | None
    request_rate: float | None
    is_leaving: bool = False
    closed_s: float = 0
