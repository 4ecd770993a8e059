"""Decodes the store's documents into internal types.

A malformed document raises :class:`MalformedDocumentError`; unknown fields
are ignored.
"""

import ipaddress
import math
import types
from typing import Annotated, Any, TypeVar

import msgspec

from dandelionplank.decoding import DECODE_ERRORS
from dandelionplank.errors import ErrorCode, StoreError
from dandelionplank.fleet.evidence import ConfigurationRecord
from dandelionplank.platform.names import MS_PER_SECOND
from dandelionplank.routing.routes import (
    ColdLimit,
    ModelMemory,
    RequestKind,
    RequestLimits,
    Route,
    RouteService,
    RouteTable,
    WeightedService,
)
from dandelionplank.routing.streamversions import StreamRecord
from dandelionplank.settings import Address
from dandelionplank.targets import (
    MAX_TARGET_LIMIT,
    Target,
    TargetState,
    UnixMs,
)

STEP = 'decode'
Document = TypeVar('Document')
DEFAULT_TIMEOUT_S = 30.0
MAX_NAME_LENGTH = 150
MAX_VERSION = 9_223_372_036_854_775_807
# Figures of a configuration up to this one stay exact as floats.
MAX_FIGURE = 1_000_000_000_000
# Longest time for which a target may be cold.
MAX_COLD_S = 600.0

_KINDS = types.MappingProxyType(
    {
        'safe': RequestKind.SAFE,
        'unsafe': RequestKind.UNSAFE,
        'streaming': RequestKind.STREAM,
    },
)
_STATES = types.MappingProxyType(
    {'ready': TargetState.ACTIVE, 'draining': TargetState.DRAINING},
)


class MalformedDocumentError(StoreError):
    """A document of the store cannot be decoded."""

    default_code = ErrorCode.CONFIGURATION_INVALID


Text = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
# The id is sent in a header.
TargetId = Annotated[
    str, msgspec.Meta(pattern=r'^[!-~]+\Z', max_length=MAX_NAME_LENGTH)
]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_TARGET_LIMIT)]


class _TargetEntry(msgspec.Struct, frozen=True, rename='pascal'):
    """Entry of a target, as it describes itself."""

    service: Text
    addr: Text
    zone: Text
    state: Text
    slots: Slots
    version: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)] = ''
    born: UnixMs = msgspec.field(name='born', default=0)
    cold_left_ms: Any = None


def decode_target(target_id: str, document: bytes) -> Target:
    """Decode the entry of one target.

    :param target_id: last part of the entry's key
    :raises MalformedDocumentError: the entry describes no valid target
    """
    try:
        entry = msgspec.json.decode(document, type=_TargetEntry)
        return Target(
            name=msgspec.convert(target_id, TargetId),
            service=entry.service,
            address=Address.from_text(entry.addr),
            data_center=entry.zone,
            state=_STATES[entry.state],
            limit=entry.slots,
            started_ms=entry.born,
            version=entry.version,
            cold_left_s=_cold_s(entry.cold_left_ms, MS_PER_SECOND),
        )
    except DECODE_ERRORS as error:
        raise MalformedDocumentError(
            f'target entry: {error!r}',
            step=STEP,
            peer=target_id,
        ) from error


def decode_data_center(text: str) -> str:
    """Check the name of a data centre, as the entries of targets state it.

    :raises MalformedDocumentError: no target can state this name
    """
    try:
        return msgspec.convert(text, Text)
    except DECODE_ERRORS as error:
        raise MalformedDocumentError(
            f'data centre: {error!r}', step=STEP
        ) from error


def decode_peer_address(document: bytes) -> str:
    """Decode the entry of another instance into its address.

    :return: ``ip:port``, of IPv4
    :raises MalformedDocumentError: the entry is no address
    """
    try:
        address = Address.from_text(msgspec.json.decode(document, type=str))
        return f'{ipaddress.IPv4Address(address.ip)}:{address.port}'
    except DECODE_ERRORS as error:
        raise MalformedDocumentError(f'peer: {error!r}', step=STEP) from error


class QuarantineDocument(msgspec.Struct, frozen=True):
    """Entry of a quarantined part of prompts.

    :param first_ms: Unix time of the first crash that it explains
    :param until_ms: Unix time at which it ends
    """

    first_ms: UnixMs
    until_ms: UnixMs


def decode_quarantine(document: bytes) -> QuarantineDocument:
    """Decode the entry of a quarantined part of prompts.

    :raises MalformedDocumentError: the entry describes no quarantine
    """
    return _decode(document, QuarantineDocument, 'quarantine')


def decode_configuration_record(document: bytes) -> ConfigurationRecord:
    """Decode the record of the configuration in force in an era.

    :raises MalformedDocumentError: the entry is no such record
    """
    return _decode(document, ConfigurationRecord, 'configuration record')


def decode_stream_record(document: bytes) -> StreamRecord:
    """Decode the record of an instance's open streams.

    :raises MalformedDocumentError: the entry is no such record
    """
    return _decode(document, StreamRecord, 'streams')


def _decode(document: bytes, form: type[Document], name: str) -> Document:
    """Decode an entry that the fleet itself has written.

    :param name: what it is, for the reason of the error
    :raises MalformedDocumentError: the entry has another form
    """
    try:
        return msgspec.json.decode(document, type=form)
    except DECODE_ERRORS as error:
        raise MalformedDocumentError(f'{name}: {error!r}', step=STEP) from error


def _text(entry: Any, name: str) -> str:
    """Return a field that must be a non-empty string."""
    found = entry[name]
    if not isinstance(found, str) or not found:
        raise TypeError(name)
    return found


def _figure(
    entry: Any, name: str, default: float, most: float = MAX_FIGURE
) -> float:
    """Return a field that must be a number from zero to a limit."""
    found = entry.get(name)
    if found is None:
        return default
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise TypeError(name)
    if not 0 <= found <= most:
        raise ValueError(name)
    return found


def decode_configuration(document: bytes) -> RouteTable:
    """Decode the operator's configuration.

    :raises MalformedDocumentError: the document cannot be decoded
    """
    try:
        entry = msgspec.json.decode(document)
        return RouteTable.from_routes(
            int(_figure(entry, 'Version', math.nan, MAX_VERSION)),
            tuple(_route(each) for each in entry.get('Routes', ())),
            _accounts(entry.get('Tenants')),
            tuple(_service(each) for each in entry.get('Services', ())),
            _limits(entry.get('Limits') or {}),
        )
    except DECODE_ERRORS as error:
        raise MalformedDocumentError(
            f'configuration: {error!r}',
            step=STEP,
        ) from error


def _accounts(tenants: Any) -> dict[str, str] | None:
    """Decode the account of each key, None if there are no accounts at all.

    Accounts without keys are accounts: taking the last key away must not let
    every caller in. An empty key, which would admit callers without one, is
    left out.
    """
    if tenants is None:
        return None
    return {
        key: _text(tenant, 'Name')
        for tenant in _list(tenants)
        for key in _list(tenant.get('ApiKeys') or [])
        if isinstance(key, str) and key
    }


def _list(found: Any) -> list[Any]:
    """Return a value that must be a list."""
    if not isinstance(found, list):
        raise TypeError(f'list expected, not {type(found)}')
    return found


def _route(entry: dict[str, Any]) -> Route:
    """Decode one route."""
    choices = tuple(
        WeightedService(_text(each, 'Service'), _figure(each, 'Weight', 0))
        for each in entry.get('Split') or ()
    )
    return Route(
        name=_text(entry, 'Name'),
        host=_text(entry, 'Host').lower(),
        prefix=_text(entry, 'Prefix'),
        kind=_KINDS[entry['Kind']],
        choices=choices or (WeightedService(_text(entry, 'Service'), 1),),
        timeout_s=_seconds(entry, 'TimeoutMs', DEFAULT_TIMEOUT_S),
        objective_s=_seconds(entry, 'GoalMs', DEFAULT_TIMEOUT_S),
        attempts=int(_figure(entry, 'Attempts', 1)),
        is_public=bool(entry.get('Public')),
        can_resume=bool(entry.get('CanResume')),
        gap_target_s=_seconds(entry, 'GapTargetMs', 0),
    )


def _service(entry: dict[str, Any]) -> RouteService:
    """Decode one service; only engines of a model service have memory."""
    engine = entry.get('Engine')
    memory = None
    if engine and engine.get('KvTokens'):
        memory = ModelMemory(
            int(_figure(engine, 'Slots', 1)),
            int(_figure(engine, 'KvTokens', 0)),
        )
    return RouteService(
        name=_text(entry, 'Name'),
        memory=memory,
        cold=_cold_limit(entry),
    )


def _cold_limit(entry: dict[str, Any]) -> ColdLimit | None:
    """Decode the limit of cold targets; a malformed one is none.

    It must not cost the rest of the configuration.
    """
    duration_s = _cold_s(entry.get('ColdS'))
    rate = _number(entry.get('ColdPerS'))
    if not duration_s or rate is None or not 0 < rate <= MAX_FIGURE:
        return None
    return ColdLimit(duration_s, rate)


def _cold_s(found: Any, per_second: float = 1) -> float | None:
    """Decode a duration of coldness, cut to its limits; None if malformed."""
    number = _number(found)
    if number is None or number < 0:
        return None
    return min(MAX_COLD_S, number / per_second)


def _number(found: Any) -> float | None:
    """Return a number, None if a value is none."""
    if isinstance(found, bool) or not isinstance(found, int | float):
        return None
    return max(-MAX_FIGURE, min(MAX_FIGURE, found))


def _limits(entry: dict[str, Any]) -> RequestLimits:
    """Decode the request limits; a missing field has its default."""
    defaults = RequestLimits()
    return RequestLimits(
        header_bytes=int(
            _figure(entry, 'MaxHeaderBytes', defaults.header_bytes)
        ),
        body_bytes=int(_figure(entry, 'MaxBodyBytes', defaults.body_bytes)),
        header_timeout_s=_seconds(
            entry,
            'HeaderTimeoutMs',
            defaults.header_timeout_s,
        ),
        idle_timeout_s=_seconds(
            entry, 'IdleTimeoutMs', defaults.idle_timeout_s
        ),
    )


def _seconds(entry: dict[str, Any], name: str, default_s: float) -> float:
    """Convert a field in milliseconds to seconds, or return the default."""
    return _figure(entry, name, default_s * MS_PER_SECOND) / MS_PER_SECOND
