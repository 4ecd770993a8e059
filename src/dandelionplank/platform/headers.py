"""Headers of requests and answers, decoded once into our types."""

import math
from collections.abc import Iterable, Mapping

from multidict import CIMultiDict

from dandelionplank.delivery.answers import AnswerMarks, TargetReport
from dandelionplank.platform import names
from dandelionplank.routing.work import PromptPart, RequestFacts, TokenWork

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
NOT_EXECUTED_STATUSES = frozenset((421,))
LOAD_FIGURES = 3
PERCENT = 100


def request_facts(headers: Mapping[str, str]) -> RequestFacts:
    """Decode what a caller says of its request."""
    return RequestFacts(
        request_id=headers.get(names.REQUEST_ID, ''),
        key=headers.get(names.KEY, ''),
        time_left_s=_milliseconds(headers.get(names.DEADLINE, '')),
        work=_token_work(headers),
        last_event_id=headers.get(names.LAST_EVENT, ''),
    )


def _milliseconds(text: str) -> float | None:
    """Return a duration in seconds, none if the text is not a number."""
    figures = _figures(text)
    return figures[0] / names.MILLISECONDS if len(figures) == 1 else None


def _figures(text: str) -> list[float]:
    """Return the numbers of a list, none if one is not a finite number."""
    try:
        figures = [float(figure) for figure in text.split(',')]
    except ValueError:
        return []
    return figures if all(map(math.isfinite, figures)) else []


def _token_work(headers: Mapping[str, str]) -> TokenWork | None:
    """Decode the size of a model's work; none for plain requests."""
    read, _, write = headers.get(names.TOKENS, '').partition(',')
    if not (read.strip().isdecimal() and write.strip().isdecimal()):
        return None
    return TokenWork(
        model=headers.get(names.MODEL, ''),
        read_tokens=int(read),
        write_tokens=int(write),
        parts=tuple(_prompt_parts(headers.get(names.PROMPT_PARTS, ''))),
    )


def _prompt_parts(text: str) -> Iterable[PromptPart]:
    """Decode the parts of a prompt; what is malformed ends the list."""
    for entry in text.split(','):
        part_id, _, tokens = entry.strip().partition(':')
        if not part_id or not tokens.isdecimal():
            return
        yield PromptPart(part_id, int(tokens))


def target_headers(
    received: Iterable[tuple[str, str]],
    *,
    target: str,
    account: str,
    time_left_s: float,
) -> list[tuple[str, str]]:
    """Return the headers of an attempt.

    :param received: the caller's headers
    :param target: id of the only target that may run the request
    :param account: the key's account, empty on public routes
    :param time_left_s: seconds until the caller stops waiting
    """
    pairs = tuple(received)
    dropped = _connection_names(pairs)
    sent = [
        (name, text)
        for name, text in pairs
        if _is_passed_on(name.lower(), dropped)
    ]
    sent.append((names.EXPECTED_TARGET, target))
    left_ms = max(1, int(time_left_s * names.MILLISECONDS))
    sent.append((names.DEADLINE, str(left_ms)))
    if account:
        sent.append((names.ACCOUNT, account))
    return sent


def _is_passed_on(name: str, dropped: frozenset[str]) -> bool:
    """Tell whether a header goes on to the other side."""
    return (
        name not in HOP_BY_HOP
        and name not in names.RESERVED
        and name not in dropped
    )


def _connection_names(headers: Iterable[tuple[str, str]]) -> frozenset[str]:
    """Return the headers that concern only the caller's connection."""
    return frozenset(
        token.strip().lower()
        for name, text in headers
        if name.lower() == 'connection'
        for token in text.split(',')
    )


def resumed_headers(
    headers: Iterable[tuple[str, str]],
    last_event_id: str,
) -> list[tuple[str, str]]:
    """Return headers that ask a target to go on after an event."""
    kept = [
        (name, text)
        for name, text in headers
        if name.lower() != names.LAST_EVENT.lower()
    ]
    kept.append((names.LAST_EVENT, last_event_id))
    return kept


def caller_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the headers of a target's answer that the caller gets."""
    dropped = _connection_names(headers.items())
    return CIMultiDict(
        (name, text)
        for name, text in headers.items()
        if name.lower() not in HOP_BY_HOP and name.lower() not in dropped
    )


def answer_marks(status: int, headers: Mapping[str, str]) -> AnswerMarks:
    """Decode what a target says of its answer."""
    return AnswerMarks(
        request_id=headers.get(names.REQUEST_ID, ''),
        is_stamped=bool(headers.get(names.STAMP)),
        is_unrun=(names.NOT_RUN in headers or status in NOT_EXECUTED_STATUSES),
        is_encoded='Content-Encoding' in headers,
        report=_target_report(headers.get(names.LOAD, '')),
    )


def _target_report(text: str) -> TargetReport | None:
    """Decode a target's load: running, waiting, slots, slowness in per cent."""
    figures = _figures(text)
    if len(figures) < LOAD_FIGURES:
        return None
    slowness = figures[LOAD_FIGURES] if len(figures) > LOAD_FIGURES else 0
    return TargetReport(
        running=int(figures[0]),
        waiting=int(figures[1]),
        slowness=max(PERCENT, slowness) / PERCENT,
    )


def refusal_headers(request_id: str, retry_after_s: float) -> dict[str, str]:
    """Return the headers of the fleet's own refusals."""
    headers = {}
    if request_id:
        headers[names.REQUEST_ID] = request_id
    if retry_after_s > 0:
        headers['Retry-After'] = f'{retry_after_s:.2f}'
    return headers
