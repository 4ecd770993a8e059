"""Decodes the store's documents into internal types.

A malformed document raises :class:`MalformedDocumentError`; unknown fields
are ignored.
"""

import types
from typing import Annotated, Any

import msgspec

from dandelionplank.decoding import DECODE_ERRORS
from dandelionplank.errors import ErrorCode, StoreError
from dandelionplank.platform.names import MS_PER_SECOND
from dandelionplank.routing.routes import (
    ModelMemory,
    RequestKind,
    RequestLimits,
    Route,
    RouteService,
    RouteTable,
    WeightedService,
)
from dandelionplank.settings import Address
from dandelionplank.targets import Target, TargetState

STEP = 'decode'
DEFAULT_TIMEOUT_MS = 30_000
MAX_UNIX_MS = 9_007_199_254_740_991

_KINDS = types.MappingProxyType(
    {
        'safe': RequestKind.SAFE,
        'unsafe': RequestKind.UNSAFE,
        'streaming': RequestKind.STREAM,
    },
)
# Any time of the present era; sums of such times stay exact as floats.
UnixMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]
_STATES = types.MappingProxyType(
    {'ready': TargetState.ACTIVE, 'draining': TargetState.DRAINING},
)


class MalformedDocumentError(StoreError):
    """A document of the store cannot be decoded."""

    default_code = ErrorCode.CONFIGURATION_INVALID


def decode_target(target_id: str, document: bytes) -> Target:
    """Decode the entry of one target.

    :param target_id: last part of the entry's key
    :raises MalformedDocumentError: the entry describes no valid target
    """
    try:
        entry = msgspec.json.decode(document)
        return Target(
            name=target_id,
            service=_text(entry, 'Service'),
            address=Address.from_text(_text(entry, 'Addr')),
            data_center=_text(entry, 'Zone'),
            state=_STATES[_text(entry, 'State')],
            limit=_positive_integer(entry, 'Slots'),
            started_ms=int(entry.get('born', 0)),
            version=str(entry.get('Version', '')),
        )
    except DECODE_ERRORS as error:
        raise MalformedDocumentError(
            f'target entry: {error!r}',
            step=STEP,
            peer=target_id,
        ) from error


def decode_peer_address(document: bytes) -> str:
    """Decode the entry of another instance into its address.

    :return: ``ip:port``
    :raises MalformedDocumentError: the entry is no address
    """
    try:
        return msgspec.json.decode(document, type=str)
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
    try:
        return msgspec.json.decode(document, type=QuarantineDocument)
    except DECODE_ERRORS as error:
        raise MalformedDocumentError(
            f'quarantine: {error!r}', step=STEP
        ) from error


def _text(entry: Any, name: str) -> str:
    """Return a field that must be a non-empty string."""
    found = entry[name]
    if not isinstance(found, str) or not found:
        raise TypeError(name)
    return found


def _positive_integer(entry: Any, name: str) -> int:
    """Return a field that must be a positive integer."""
    found = entry[name]
    if not isinstance(found, int) or isinstance(found, bool) or found <= 0:
        raise TypeError(name)
    return found


def decode_configuration(document: bytes) -> RouteTable:
    """Decode the operator's configuration.

    :raises MalformedDocumentError: the document cannot be decoded
    """
    try:
        entry = msgspec.json.decode(document)
        return RouteTable.from_routes(
            int(entry['Version']),
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
        WeightedService(each['Service'], float(each['Weight']))
        for each in entry.get('Split') or ()
    )
    return Route(
        name=entry['Name'],
        host=entry['Host'].lower(),
        prefix=entry['Prefix'],
        kind=_KINDS[entry['Kind']],
        choices=choices or (WeightedService(entry['Service'], 1),),
        timeout_s=entry.get('TimeoutMs', DEFAULT_TIMEOUT_MS) / MS_PER_SECOND,
        objective_s=entry.get('GoalMs', DEFAULT_TIMEOUT_MS) / MS_PER_SECOND,
        attempts=int(entry.get('Attempts', 1)),
        is_public=bool(entry.get('Public')),
        can_resume=bool(entry.get('CanResume')),
        gap_target_s=entry.get('GapTargetMs', 0) / MS_PER_SECOND,
    )


def _service(entry: dict[str, Any]) -> RouteService:
    """Decode one service; only engines of a model service have memory."""
    engine = entry.get('Engine')
    memory = None
    if engine and engine.get('KvTokens'):
        memory = ModelMemory(int(engine['Slots']), int(engine['KvTokens']))
    return RouteService(
        name=entry['Name'],
        memory=memory,
    )


def _limits(entry: dict[str, Any]) -> RequestLimits:
    """Decode the request limits; a missing field has its default."""
    defaults = RequestLimits()
    return RequestLimits(
        header_bytes=int(entry.get('MaxHeaderBytes', defaults.header_bytes)),
        body_bytes=int(entry.get('MaxBodyBytes', defaults.body_bytes)),
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
    found = entry.get(name)
    return default_s if found is None else float(found) / MS_PER_SECOND
