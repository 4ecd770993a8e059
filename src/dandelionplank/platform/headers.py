"""Decodes the headers of requests and responses, and builds those sent."""

import math
from collections.abc import Iterable, Mapping
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime
from http import HTTPStatus

from multidict import CIMultiDict

from dandelionplank.decoding import (
    DECODE_ERRORS,
    escape_bytes,
    parse_count,
)
from dandelionplank.delivery.responses import ResponseMetadata, TargetReport
from dandelionplank.platform import names
from dandelionplank.routing.ratelimit import UNLIMITED
from dandelionplank.routing.work import (
    MAX_TOKENS,
    PromptPart,
    RequestMetadata,
    TokenWork,
)

HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    ),
)
# A response to a request for another target says nothing of that target.
NOT_EXECUTED_STATUSES = frozenset((421,))
LEAVING_TEXT = '1'
REQUIRED_LOAD_FIELDS = 3
PERCENT = 100


def request_metadata(headers: Mapping[str, str]) -> RequestMetadata:
    """Decode the request metadata that a caller sends."""
    return RequestMetadata(
        request_id=escape_bytes(headers.get(names.REQUEST_ID, '')),
        key=headers.get(names.API_KEY, ''),
        time_left_s=_parse_milliseconds(headers.get(names.DEADLINE, '')),
        work=_token_work(headers),
        last_event_id=headers.get(names.LAST_EVENT, ''),
        resumes=escape_bytes(headers.get(names.RESUMES, '')),
    )


def _parse_milliseconds(text: str) -> float | None:
    """Parse milliseconds into seconds; ``None`` if malformed."""
    numbers = _parse_numbers(text)
    return numbers[0] / names.MS_PER_SECOND if len(numbers) == 1 else None


def _parse_numbers(text: str) -> list[float]:
    """Parse comma-separated numbers; empty if any is not a finite number."""
    try:
        numbers = [float(number) for number in text.split(',')]
    except ValueError:
        return []
    return numbers if all(map(math.isfinite, numbers)) else []


def _token_work(headers: Mapping[str, str]) -> TokenWork | None:
    """Decode the token counts; ``None`` for requests to plain services."""
    prompt, _, output = headers.get(names.TOKENS, '').partition(',')
    prompt_tokens = parse_count(prompt, MAX_TOKENS)
    output_tokens = parse_count(output, MAX_TOKENS)
    if prompt_tokens is None or output_tokens is None:
        return None
    return TokenWork(
        model=escape_bytes(headers.get(names.MODEL, '')),
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        parts=tuple(_prompt_parts(headers.get(names.PROMPT_PARTS, ''))),
    )


def _prompt_parts(text: str) -> Iterable[PromptPart]:
    """Decode the parts of a prompt up to the first malformed entry."""
    for entry in text.split(','):
        part_id, _, count = entry.strip().partition(':')
        tokens = parse_count(count, MAX_TOKENS)
        is_id = part_id.isascii() and part_id.isalnum()
        if not is_id or tokens is None:
            return
        yield PromptPart(part_id, tokens)


def target_headers(
    received: Iterable[tuple[str, str]],
    *,
    target: str,
    account: str,
    time_left_s: float,
) -> list[tuple[str, str]]:
    """Return the request headers of an attempt.

    :param received: the caller's headers
    :param target: id of the only target that may execute the request
    :param account: the key's account, empty on public routes
    :param time_left_s: seconds until the request's deadline
    """
    pairs = tuple(received)
    dropped = _connection_names(pairs)
    sent = [
        (name, text)
        for name, text in pairs
        if _is_forwarded(name.lower(), dropped)
    ]
    sent.append((names.EXPECTED_TARGET, target))
    left_ms = max(1, int(time_left_s * names.MS_PER_SECOND))
    sent.append((names.DEADLINE, str(left_ms)))
    if account:
        sent.append((names.ACCOUNT, account))
    return sent


def _is_forwarded(name: str, dropped: frozenset[str]) -> bool:
    """Return whether a request header is forwarded to the target.

    :param name: the header in lower case
    :param dropped: headers named in ``Connection``
    """
    return (
        name not in HOP_BY_HOP
        and name not in names.RESERVED_HEADERS
        and name not in dropped
    )


def _connection_names(headers: Iterable[tuple[str, str]]) -> frozenset[str]:
    """Return the headers that ``Connection`` names as hop-by-hop."""
    return frozenset(
        token.strip().lower()
        for name, text in headers
        if name.lower() == 'connection'
        for token in text.split(',')
    )


def resume_headers(
    headers: Iterable[tuple[str, str]],
    last_event_id: str,
) -> list[tuple[str, str]]:
    """Return headers that request to resume after an event."""
    kept = [
        (name, text)
        for name, text in headers
        if name.lower() != names.LAST_EVENT.lower()
    ]
    kept.append((names.LAST_EVENT, last_event_id))
    return kept


def caller_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the headers of a target's response that the caller receives."""
    dropped = _connection_names(headers.items())
    return CIMultiDict(
        (name, text)
        for name, text in headers.items()
        if name.lower() not in HOP_BY_HOP and name.lower() not in dropped
    )


def response_metadata(
    status: int, headers: Mapping[str, str]
) -> ResponseMetadata:
    """Decode the metadata of a target's response."""
    return ResponseMetadata(
        request_id=escape_bytes(headers.get(names.REQUEST_ID, '')),
        is_stamped=bool(headers.get(names.STAMP)),
        is_not_executed=(
            names.NOT_EXECUTED in headers or status in NOT_EXECUTED_STATUSES
        ),
        is_encoded='Content-Encoding' in headers,
        report=_target_report(headers.get(names.LOAD, '')),
        request_rate=_request_rate(headers.get(names.REQUEST_RATE)),
        is_leaving=(
            headers.get(names.LEAVING, '').strip() == LEAVING_TEXT
            and status not in NOT_EXECUTED_STATUSES
        ),
        closed_s=(
            _retry_after_s(headers)
            if status == HTTPStatus.SERVICE_UNAVAILABLE
            else 0
        ),
    )


def _retry_after_s(headers: Mapping[str, str]) -> float:
    """Decode the longest ``Retry-After``, zero if there is no valid one."""
    stated = names.RETRY_AFTER.lower()
    texts = [
        delay for header, delay in headers.items() if header.lower() == stated
    ]
    sent = _parse_date(headers.get('Date', ''))
    return max((_parse_delay(delay, sent) for delay in texts), default=0)


def _parse_delay(text: str, sent: datetime | None) -> float:
    """Parse seconds, or a date, into seconds; zero if malformed or past.

    :param sent: date of the response; no other clock is known to agree with
        the target's
    """
    numbers = _parse_numbers(text)
    if numbers:
        return max(0.0, *numbers)
    until = _parse_date(text)
    if until is None or sent is None:
        return 0
    return max(0.0, (until - sent).total_seconds())


def _parse_date(text: str) -> datetime | None:
    """Parse the date of a header; ``None`` if malformed."""
    try:
        parsed = parsedate_to_datetime(text)
    except DECODE_ERRORS:
        return None
    return parsed if parsed.tzinfo else parsed.replace(tzinfo=UTC)


def _request_rate(text: str | None) -> float | None:
    """Decode the requests per second that a target takes."""
    if text is None:
        return UNLIMITED
    numbers = _parse_numbers(text)
    if len(numbers) != 1 or numbers[0] < 0:
        return None
    return numbers[0]


def _target_report(text: str) -> TargetReport | None:
    """Decode a target's load: running, waiting, slots, slowness in percent."""
    numbers = _parse_numbers(text)
    if len(numbers) < REQUIRED_LOAD_FIELDS:
        return None
    slowness = numbers[REQUIRED_LOAD_FIELDS : REQUIRED_LOAD_FIELDS + 1]
    return TargetReport.from_load(
        numbers[0], numbers[1], max((PERCENT, *slowness)) / PERCENT
    )


def refusal_headers(request_id: str, retry_after_s: float) -> dict[str, str]:
    """Return the headers of a refusal that the router itself sends."""
    headers = {}
    if request_id:
        headers[names.REQUEST_ID] = request_id
    if retry_after_s > 0:
        headers[names.RETRY_AFTER] = f'{retry_after_s:.2f}'
    return headers
