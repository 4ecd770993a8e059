"""Writes the pages that are generated from the code."""

import sys
from pathlib import Path
from typing import Any, get_args, get_type_hints

import msgspec

from dandelionplank.delivery import bounds, connections, streams
from dandelionplank.errors import ErrorCode
from dandelionplank.events import Event
from dandelionplank.fleet import exchange, sockets
from dandelionplank.fleet.settings import GatewayLimits
from dandelionplank.ingress import (
    callerbounds,
    connection,
    heldbytes,
    inputmeter,
    turns,
)
from dandelionplank.platform import engines
from dandelionplank.settings import Settings

BOUNDS = (
    (
        'connect',
        f'{connections.CONNECT_TIMEOUT_S} s',
        'another target is tried; the request was not executed',
    ),
    (
        'head',
        f'lines of {connections.MAX_HEADER_LINE_BYTES} bytes, the time of '
        'the request',
        '502, or 504 at the timeout',
    ),
    (
        'interim responses',
        f'{bounds.MAX_INTERIM_RESPONSES} to a request',
        'the connection closes, 502',
    ),
    (
        "other requests' responses",
        f'{bounds.MAX_SKIPPED_RESPONSES} with bodies of '
        f'{bounds.MAX_SKIPPED_BODY_BYTES} bytes',
        'the connection closes, 502',
    ),
    (
        'body that is no stream',
        f'{bounds.MAX_BODY_BYTES} bytes; {bounds.MAX_HELD_BYTES} for all '
        f'together, without the first {bounds.RESERVED_BODY_BYTES} of each',
        'the connection closes, 502',
    ),
    (
        'one event',
        f'{bounds.MAX_EVENT_BYTES} bytes',
        'the stream is resumed elsewhere or truncated',
    ),
    (
        'between new events',
        f'{streams.SILENCE_GAP_FACTOR} times the gap target, if the stream '
        'may be resumed elsewhere',
        'it is resumed; otherwise it goes on until the timeout',
    ),
    (
        'events without progress',
        f'{bounds.MAX_IDLE_BYTES} bytes of repeated events and comments',
        'the stream is resumed elsewhere or truncated',
    ),
    (
        'list of cached parts',
        f'{engines.MAX_LIST_BYTES} bytes, {engines.TIMEOUT_S} s',
        'the cache of the target counts as unknown',
    ),
    (
        'between responses',
        'no byte',
        'the connection closes and is not reused',
    ),
    ('whole request', 'timeout of the route, time of the caller', '504'),
)
CALLER_BOUNDS = (
    (
        'head',
        f'the configured size and {inputmeter.HEAD_SLACK_BYTES} bytes, the '
        'configured time',
        '431, or 408 at the timeout; the connection closes',
    ),
    (
        'empty lines before a head',
        f'the configured size and {inputmeter.HEAD_SLACK_BYTES} bytes',
        '400, the connection closes',
    ),
    (
        'extensions and trailers of a chunked body',
        f'{inputmeter.MAX_IDLE_FRAMING_BYTES} bytes without a byte of the '
        f'body; {inputmeter.MAX_FRAMING_FACTOR} times the body in all',
        '400, the connection closes',
    ),
    (
        'parsing in a turn of the event loop',
        f'{turns.TURN_S} s; blocks of {connection.BLOCK_BYTES} bytes',
        'the rest is parsed in the next turns, small messages first',
    ),
    (
        'held bytes of all callers',
        f'{callerbounds.MEMORY_SHARE} of `limits.memory_mb` less '
        f'{callerbounds.RESIDENT_MB} MB, at least '
        f'{callerbounds.MIN_HELD_BYTES} bytes; by default '
        f'{callerbounds.DEFAULT_HELD_BYTES}',
        'see the next three',
    ),
    (
        f'first {heldbytes.RESERVED_BODY_BYTES} bytes of bodies',
        f'{callerbounds.SMALL_SHARE} of the held bytes',
        '503 for bodies that are not complete',
    ),
    (
        'rest of large bodies',
        f'{callerbounds.LARGE_SHARE} of the held bytes; '
        f'{heldbytes.ACCOUNT_SHARE} of it for an account that has some',
        f'a body waits {heldbytes.MAX_WAIT_S} s at most, then 503; meanwhile '
        f'bodies below {heldbytes.MIN_BYTES_PER_S} bytes/s get 503',
    ),
    (
        'unread responses',
        f'{callerbounds.RESPONSE_SHARE} of the held bytes',
        'connections that read nothing close, then the largest',
    ),
    (
        'connections',
        f'`limits.file_descriptors` less {callerbounds.FILE_RESERVE} and '
        f'{callerbounds.SOCKET_RESERVE_SHARE} of the rest, at least '
        f'{callerbounds.MIN_CONNECTIONS}; by default '
        f'{callerbounds.DEFAULT_CONNECTIONS}',
        f'from {callerbounds.CROWDED_SHARE} on the longest idle close; one '
        'beyond the bound closes at once',
    ),
    (
        'unread bytes of a connection in the kernel',
        f'{callerbounds.RECEIVE_BUFFER_BYTES} bytes if `limits.memory_mb` is '
        'stated',
        'the sender waits',
    ),
    (
        'readiness page and metrics',
        f'{sockets.PAGE_CONNECTIONS} connections, heads of '
        f'{sockets.PAGE_HEADER_BYTES} bytes within {sockets.PAGE_HEADER_S} s',
        'the oldest idle connection closes for a new one',
    ),
    (
        'reports of senders that the store does not list',
        f'{exchange.MAX_UNLISTED_SENDERS} senders',
        'the report is dropped',
    ),
)
DOCS = Path(__file__).parent


def events_page() -> str:
    """Return the catalogue of log events."""
    lines = [
        '# Log events',
        '',
        'Each log line is one JSON object with `time`, `event` (the number),',
        '`name` and the fields of the event. This page is generated from',
        '`dandelionplank.events` by `make docs`.',
        '',
        '| number | name | level | meaning |',
        '|---|---|---|---|',
    ]
    lines.extend(
        f'| {event.number} | {event.name.lower()} | {event.level.value} '
        f'| {event.meaning} |'
        for event in Event
    )
    return '\n'.join((*lines, ''))


def errors_page() -> str:
    """Return the catalogue of error codes."""
    lines = [
        '# Error codes',
        '',
        'A refusal is a JSON document `{"error": {...}}` with `code`, `type`,',
        '`message`, `step`, `peer`, `request_id`, `outcome` (`not_run` or',
        '`outcome_unknown`) and, where a retry helps, `retry_after_s`. This',
        'page is generated from `dandelionplank.errors` by `make docs`.',
        '',
        '| code | type | HTTP status | meaning |',
        '|---|---|---|---|',
    ]
    lines.extend(
        f'| {code.label} | {code.name.lower()} | {code.status.value} '
        f'| {code.meaning} |'
        for code in ErrorCode
    )
    return '\n'.join((*lines, ''))


def settings_page() -> str:
    """Return the list of all settings of a router."""
    lines = [
        '# Settings of a router',
        '',
        "One YAML file for each router; a setting's name ends with its",
        'unit. Check a file with `dandelionplank-check settings FILE`.',
        'This page is generated from `dandelionplank.settings` by',
        '`make docs`.',
        '',
        '| setting | type | default |',
        '|---|---|---|',
        *_rows(Settings, ''),
        '',
        '## Limits of the gateway',
        '',
        'What the machine grants the process; zero if it is not known.',
        '',
        '| setting | type | default |',
        '|---|---|---|',
        *_rows(GatewayLimits, 'limits.'),
        '',
        *_caller_rows(),
        '',
        *_bound_rows(),
    ]
    return '\n'.join((*lines, ''))


def _caller_rows() -> list[str]:
    """Return the table of the bounds on what callers may send or hold."""
    rows = [
        '## Bounds of the gateway towards callers',
        '',
        'The sizes and times that are configured are those of `Limits` in',
        '`op/config`. A request within them reaches no other bound while',
        'callers hold little together.',
        '',
        '| what | bound | beyond it |',
        '|---|---|---|',
    ]
    rows.extend(
        f'| {phase} | {bound} | {effect} |'
        for phase, bound, effect in CALLER_BOUNDS
    )
    return rows


def _bound_rows() -> list[str]:
    """Return the table of the bounds on what a target may send or delay."""
    rows = [
        '## Bounds of the gateway towards targets',
        '',
        'A hundred endless bodies at once take at most 128 MB.',
        '',
        '| phase | bound | beyond it |',
        '|---|---|---|',
    ]
    rows.extend(
        f'| {phase} | {bound} | {effect} |' for phase, bound, effect in BOUNDS
    )
    return rows


def _rows(model: type[msgspec.Struct], prefix: str) -> list[str]:
    """Return one row per setting of a type and of its nested types."""
    rows = []
    hints = get_type_hints(model)
    for field in msgspec.structs.fields(model):
        kind = _plain_type(hints[field.name])
        path = f'{prefix}{field.name}'
        if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
            rows.extend(_rows(kind, f'{path}.'))
            continue
        rows.append(f'| `{path}` | {kind.__name__} | {_default(field)} |')
    return rows


def _plain_type(hint: Any) -> Any:
    """Return the type without None if it is optional."""
    choices = [each for each in get_args(hint) if each is not type(None)]
    return choices[0] if choices else hint


def _default(field: Any) -> str:
    """Return the text for a setting's default."""
    if field.default is msgspec.NODEFAULT:
        return 'required'
    if field.default is None:
        return 'none'
    return f'`{field.default}`'


PAGES = (
    ('EVENTS.md', events_page),
    ('ERRORS.md', errors_page),
    ('SETTINGS.md', settings_page),
)


def main() -> None:
    """Write all pages."""
    for name, page in PAGES:
        (DOCS / name).write_text(page(), encoding='utf-8')
        sys.stdout.write(f'{name}\n')


if __name__ == '__main__':
    main()
