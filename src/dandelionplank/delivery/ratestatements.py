"""Records and logs the request rates that targets state."""

from dandelionplank.events import Event
from dandelionplank.logs import log_event
from dandelionplank.routing.load import TargetLoad
from dandelionplank.routing.ratelimit import UNLIMITED, RateStatement

LOGGED_DECIMALS = 3


def record_request_rate(
    load: TargetLoad, statement: RateStatement, now_s: float, *, is_own: bool
) -> None:
    """Record the request rate that a target states, and log its change.

    :param is_own: this instance got the statement from the target itself
    """
    before = load.limit.statement.rate
    if load.limit.learn(statement, now_s, is_own=is_own):
        log_event(
            Event.TARGET_LIMITED,
            target=load.target.name,
            rate=_logged_rate(statement.rate),
            before=_logged_rate(before),
            is_own=is_own,
            age_s=round(now_s - statement.at_s, LOGGED_DECIMALS),
            granted=load.limit.granted,
        )


def _logged_rate(rate: float) -> float | None:
    """Return a request rate for the log, None if there is no limit."""
    return None if rate == UNLIMITED else round(rate, LOGGED_DECIMALS)
