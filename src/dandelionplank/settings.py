"""Settings of one router, loaded from YAML into validated frozen types."""

import ipaddress
import os
import re
from pathlib import Path
from typing import Annotated, Any, Self, TypeVar

import msgspec
import yaml

from dandelionplank.decoding import DECODE_ERRORS, parse_count
from dandelionplank.errors import ErrorCode, SettingsError
from dandelionplank.yamlloader import load_document

STEP = 'settings'
MAX_PORT = 65_535
MAX_NAME_LENGTH = 63
YAML_ERRORS = (yaml.YAMLError, *DECODE_ERRORS)
_PATH_PATTERN = re.compile(r' - at `\$(?P<path>[^`]*)`')
_PART_PATTERN = re.compile(r'\.(?P<name>[^.\[]+)|\[(?P<index>\d+)\]')

Positive = Annotated[float, msgspec.Meta(gt=0)]
PositiveInt = Annotated[int, msgspec.Meta(gt=0)]
Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
Name = Annotated[
    str,
    msgspec.Meta(
        pattern='^[a-z0-9][a-z0-9._-]*$',
        max_length=MAX_NAME_LENGTH,
        description='lower-case letters, digits, dots, dashes, underscores',
    ),
]
Digest = Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}$')]

Model = TypeVar('Model')


class Frozen(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of validated types; immutable, unknown keys are errors."""


class Address(Frozen, frozen=True):
    """An IP address and a port."""

    ip: str
    port: Port

    def __post_init__(self) -> None:
        """Reject host names: the fleet uses IP addresses only.

        :raises ValueError: the IP address or the port is not valid
        """
        ipaddress.ip_address(self.ip)
        if not 0 < self.port <= MAX_PORT:
            raise ValueError(f'port {self.port}')

    @property
    def text(self) -> str:
        """Return the address as ``ip:port``."""
        return f'{self.ip}:{self.port}'

    @classmethod
    def from_text(cls, text: str) -> Self:
        """Parse ``ip:port``.

        :raises ValueError: the text is no address
        """
        ip, _, port = text.rpartition(':')
        return cls(ip, parse_count(port, MAX_PORT + 1) or 0)


class InstanceSettings(Frozen, frozen=True):
    """Identity and location of this router."""

    id: Name
    data_center: Name
    region: Name


class TlsSettings(Frozen, frozen=True):
    """Files of a certificate, its key and the certificate authority."""

    certificate_file: str
    key_file: str
    authority_file: str = ''


class ListenSettings(Frozen, frozen=True):
    """Addresses on which the router listens."""

    callers: Address
    peers: Address
    callers_tls: TlsSettings | None = None
    peers_tls: TlsSettings | None = None
    backlog_connections: PositiveInt = 4096


class PlatformSettings(Frozen, frozen=True):
    """URLs, timeouts and periods for the platform's services."""

    key_value_url: str
    instance_list_url: str
    key_prefix: str = 'dandelionplank/'
    call_timeout_s: Positive = 2.0
    instance_list_period_s: Positive = 1.0
    authority_file: str = ''


class CallerSettings(Frozen, frozen=True):
    """Size limits and timeouts for requests of callers."""

    body_limit_bytes: PositiveInt = 4_194_304
    header_limit_bytes: PositiveInt = 16_384
    header_timeout_s: Positive = 10.0
    body_timeout_s: Positive = 10.0
    idle_timeout_s: Positive = 75.0
    queue_timeout_s: Positive = 120.0
    progress_timeout_s: Positive = 10.0
    connect_timeout_s: Positive = 3.0
    open_requests_per_account: PositiveInt = 4096


class MembershipSettings(Frozen, frozen=True):
    """Timing of failure detection, and the secret that signs probes."""

    probe_secret_file: str = ''

    probe_period_s: Positive = 0.2
    probe_timeout_s: Positive = 0.1
    suspicion_s: Positive = 0.4
    heartbeat_s: Positive = 0.5
    link_timeout_s: Positive = 2.0


class DispatchSettings(Frozen, frozen=True):
    """Periods and policies of dispatching."""

    policy: str = 'fair'
    recovery_grace_s: Positive = 0.3
    resync_period_s: Positive = 3.0
    report_period_s: Positive = 0.25
    fallback_limit_per_target: PositiveInt = 1
    fallback_after_s: Positive = 1.0
    further_pool_after_s: Positive = 0.03
    totals_period_s: Positive = 1.0
    hedge_budget_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.05
    retry_budget_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1


class LedgerSettings(Frozen, frozen=True):
    """Recording and retention of usage and intents."""

    flush_period_s: Positive = 2.0
    period_s: PositiveInt = 600
    close_after_s: Positive = 1200.0
    retention_s: Positive = 3_456_000.0
    intent_shards: PositiveInt = 64
    intent_retention_s: Positive = 86_400.0


class AdministrationSettings(Frozen, frozen=True):
    """Operator access before any operator token is configured."""

    bootstrap_token_sha256: Digest | None = None


class Settings(Frozen, frozen=True):
    """All settings of one router."""

    instance: InstanceSettings
    listen: ListenSettings
    platform: PlatformSettings
    callers: CallerSettings = CallerSettings()
    membership: MembershipSettings = MembershipSettings()
    dispatch: DispatchSettings = DispatchSettings()
    ledger: LedgerSettings = LedgerSettings()
    administration: AdministrationSettings = AdministrationSettings()
    log_level: str = 'INFO'


def load_settings(path: str | os.PathLike[str]) -> Settings:
    """Load and validate the settings file of a router.

    :param path: YAML file
    :raises SettingsError: with file, line, path of the key, and reason
    """
    return load_yaml(path, Settings)


def load_yaml(path: str | os.PathLike[str], model: type[Model]) -> Model:
    """Load a YAML file into a validated type.

    :param path: YAML file
    :param model: frozen type that the document must match
    :raises SettingsError: with file, line, path of the key, and reason
    """
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(error), step=STEP, peer=str(path)) from error
    return parse_yaml(text, model, origin=str(path))


def parse_yaml(text: str, model: type[Model], *, origin: str) -> Model:
    """Parse and validate a YAML text.

    An empty field has its default. A number after ``!ms`` is converted from
    milliseconds to seconds.

    :param text: the document
    :param model: frozen type that the document must match
    :param origin: file name for error messages
    :raises SettingsError: with file, line, path of the key, and reason
    """
    try:
        document = load_document(text)
    except YAML_ERRORS as error:
        raise SettingsError(
            f'{origin}: not valid YAML: {error}',
            step=STEP,
            peer=origin,
        ) from error
    try:
        return msgspec.convert(document, model)
    except msgspec.ValidationError as error:
        raise _located_error(text, str(error), origin) from error


def _located_error(text: str, reason: str, origin: str) -> SettingsError:
    """Return an error with the line and the path of the invalid value."""
    found = _PATH_PATTERN.search(reason)
    path = found.group('path') if found else ''
    line = _line_of(text, path)
    plain = _PATH_PATTERN.sub('', reason)
    return SettingsError(
        f'{origin}:{line}: {path.lstrip(".") or "document"}: {plain}',
        step=STEP,
        peer=origin,
        code=ErrorCode.SETTINGS,
    )


def _line_of(text: str, path: str) -> int:
    """Return the one-based line of the deepest existing node on a path."""
    node: Any = yaml.compose(text)
    line = 1
    for part in _PART_PATTERN.finditer(path):
        child = _child_node(node, part)
        if child is None:
            break
        node = child
        line = node.start_mark.line + 1
    return line


def _child_node(node: Any, part: re.Match[str]) -> Any:
    """Return the child node for one part of a path, or ``None``."""
    if isinstance(node, yaml.SequenceNode) and part.group('index'):
        return node.value[int(part.group('index'))]
    if isinstance(node, yaml.MappingNode):
        for key, child in node.value:
            if key.value == part.group('name'):
                return child
    return None
