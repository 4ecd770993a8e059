"""Asks an instance where it would send a request, and prints its answer."""

import asyncio
import sys
from http import HTTPStatus
from typing import NoReturn

import aiohttp
import msgspec

from dandelionplank.fleet.explainer import (
    EXPLAIN_PATH,
    RequestExplanation,
    ServiceExplanation,
)
from dandelionplank.operators.statements import Table
from dandelionplank.operators.tables import format_table
from dandelionplank.routing.explanation import Decision, TargetExplanation

EXIT_FAILURE = 1
TIMEOUT_S = 10.0
COLUMNS = ('target', 'centre', 'may take', 'uncached', 'wait', 'cost', 'why')
# A wrong URL or an unreadable document is a ValueError.
FETCH_ERRORS = (aiohttp.ClientError, OSError, ValueError)
UNKNOWN = '-'


def explain(
    url: str,
    *,
    host: str,
    path: str,
    account: str = '',
    prompt: int = 0,
    output: int = 0,
    parts: str = '',
) -> None:
    """Print where an instance would send a request now, and why.

    Nothing is sent to a target or queued.

    :param url: ``http://IP:PORT`` of the instance's metrics
    :param host: host of the request
    :param path: path of the request
    :param account: account of the caller
    :param prompt: tokens of the prompt, those of its parts if not given
    :param output: largest number of output tokens
    :param parts: parts of the prompt as ID:TOKENS, separated by commas
    """
    texts = {'host': host, 'path': path, 'account': account, 'parts': parts}
    texts['output'] = str(output)
    if prompt:
        texts['prompt'] = str(prompt)
    try:
        status, body = asyncio.run(_fetch(url.rstrip('/'), texts))
        if status != HTTPStatus.OK:
            _fail(f'status {status}: {body.decode(errors="replace")}')
        explanation = msgspec.json.decode(body, type=RequestExplanation)
    except FETCH_ERRORS as error:
        _fail(str(error) or repr(error))
    sys.stdout.write(format_explanation(explanation))


def format_explanation(explanation: RequestExplanation) -> str:
    """Return an explanation as text with a table for each service."""
    sections = [f'route {explanation.route}, by {explanation.instance}\n']
    sections.extend(map(_format_service, explanation.services))
    return '\n'.join(sections)


def _format_service(service: ServiceExplanation) -> str:
    """Return the explanation for one service as text."""
    decision = service.decision
    lines = [
        f'service {service.service} ({service.share:.0%} of the route), '
        f'queue {service.queue}, {decision.waiting} waiting'
    ]
    if service.is_decided_here:
        lines.append('decided by this instance')
    else:
        lines.append(
            f'decided by {service.owner}; this is the view of the instance '
            'that was asked'
        )
    lines.append(f'outcome: {_format_outcome(decision)}')
    if service.other_queues:
        others = ', '.join(service.other_queues)
        lines.append(f'if refused, may be tried in: {others}')
    targets = (*decision.targets, *service.elsewhere)
    table = Table(COLUMNS, tuple(map(_row, targets)))
    return '\n'.join((*lines, format_table(table).rstrip('\n'), ''))


def _format_outcome(decision: Decision) -> str:
    """Return in words what would happen to the request."""
    if decision.retry_after_s is not None:
        return (
            f'{decision.outcome}: {decision.reason}, '
            f'Retry-After about {decision.retry_after_s:.2f} s'
        )
    link = 'to' if decision.outcome == 'sent' else 'for'
    return f'{decision.outcome} {link} {decision.target}'


def _row(target: TargetExplanation) -> tuple[str, ...]:
    """Return the row of a target."""
    numbers = (
        _format_number(target.uncached_tokens, 0),
        _format_number(target.wait_s, 3),
        _format_number(target.cost, 3),
    )
    may_take = 'yes' if target.may_take else 'no'
    why = '; '.join(target.reasons)
    return (target.name, target.data_center, may_take, *numbers, why)


def _format_number(number: float | None, digits: int) -> str:
    """Return a number as text, a dash if it is not known."""
    return UNKNOWN if number is None else f'{number:.{digits}f}'


async def _fetch(url: str, texts: dict[str, str]) -> tuple[int, bytes]:
    """Return status and body of the instance's page."""
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.get(url + EXPLAIN_PATH, params=texts) as response,
    ):
        return response.status, await response.read()


def _fail(reason: str) -> NoReturn:
    """Print why there is no explanation.

    :raises SystemExit: always
    """
    sys.stderr.write(f'{reason}\n')
    raise SystemExit(EXIT_FAILURE)
