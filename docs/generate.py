"""Writes the pages that are generated from the code."""

import sys
from pathlib import Path
from typing import Any, get_args, get_type_hints

import msgspec

from dandelionplank.delivery import bounds, connections, streams
from dandelionplank.errors import ErrorCode
from dandelionplank.events import Event
from dandelionplank.fleet.settings import GatewayLimits
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
        *_bound_rows(),
    ]
    return '\n'.join((*lines, ''))


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
