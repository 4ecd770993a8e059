"""Refusals: responses and log lines for failed calls."""

import msgspec
from aiohttp import web

from dandelionplank.errors import DandelionplankError
from dandelionplank.events import Event
from dandelionplank.logs import log_event
from dandelionplank.metrics import METRICS
from dandelionplank.router.sinks import REQUEST_HEADER, describe_error


def refuse(error: DandelionplankError, request_id: str) -> web.Response:
    """Return the response for an error, and log and count the refusal."""
    log_failure(Event.REFUSED, error, request_id)
    METRICS.add('refusals_total', code=error.code.label)
    headers = {REQUEST_HEADER: request_id}
    if error.retry_after_s:
        headers['Retry-After'] = str(max(1, round(error.retry_after_s)))
    return web.Response(
        status=error.code.status,
        body=msgspec.json.encode(describe_error(error)),
        content_type='application/json',
        headers=headers,
    )


def log_failure(
    event: Event,
    error: DandelionplankError,
    request_id: str,
) -> None:
    """Write the log line of a call that failed."""
    log_event(
        event,
        request=request_id,
        code=error.code.label,
        step=error.step,
        peer=error.peer,
        outcome=error.outcome.value,
        why=error.reason,
    )
