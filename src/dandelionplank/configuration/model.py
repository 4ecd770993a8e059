"""The operators' configuration and its encoding for storage."""

import hashlib
from collections.abc import Iterable
from typing import TypeVar

import msgspec
import xxhash

from dandelionplank.accounts import ClientAccount, OperatorToken, Owner
from dandelionplank.contracts import ServiceContract
from dandelionplank.errors import ConfigurationError
from dandelionplank.settings import Frozen
from dandelionplank.targets import Target

ACCOUNTS_PER_SHARD = 64
MAX_RECENT_COMMANDS = 200
DIGEST_HEX_DIGITS = 32
OBJECT_KINDS = ('owners', 'accounts', 'services', 'targets', 'tokens')


class Configuration(Frozen, frozen=True):
    """Everything that operators configure.

    :param revision: increases with every change
    """

    revision: int = 0
    owners: tuple[Owner, ...] = ()
    accounts: tuple[ClientAccount, ...] = ()
    services: tuple[ServiceContract, ...] = ()
    targets: tuple[Target, ...] = ()
    tokens: tuple[OperatorToken, ...] = ()


class Shard(Frozen, frozen=True):
    """A part of the configuration that is stored as one value."""

    owners: tuple[Owner, ...] = ()
    accounts: tuple[ClientAccount, ...] = ()
    services: tuple[ServiceContract, ...] = ()
    targets: tuple[Target, ...] = ()
    tokens: tuple[OperatorToken, ...] = ()


class CommandRecord(Frozen, frozen=True):
    """A committed change: its statement, operator, revision and time."""

    command_id: str
    operator: str
    statement: str
    revision: int
    at_s: float


class Manifest(Frozen, frozen=True):
    """Lists the shards of one revision; replacing it commits a change."""

    revision: int
    shards: tuple[str, ...]
    recent: tuple[CommandRecord, ...] = ()

    def find_command(self, command_id: str) -> CommandRecord | None:
        """Return the record of a command if it was already applied."""
        for record in self.recent:
            if record.command_id == command_id:
                return record
        return None


Payloads = dict[str, bytes]
ObjectKey = tuple[str, str]


_ENCODER = msgspec.json.Encoder()
_MANIFEST_DECODER = msgspec.json.Decoder(Manifest)
_SHARD_DECODER = msgspec.json.Decoder(Shard)
Named = TypeVar('Named', Owner, ClientAccount, ServiceContract, Target)


def split_into_shards(
    configuration: Configuration, known: Payloads
) -> Payloads:
    """Split a configuration into encoded shards, by name, in order.

    Accounts are distributed by a hash of their names, which bounds the size
    of a shard and lets a change of one account rewrite one shard. The name
    of a new shard contains the revision, so a deleted name is never reused.

    :param known: shards of the previous revision; equal ones keep their names
    """
    names_by_digest = {name.rpartition('-')[-1]: name for name in known}
    shards = [
        Shard(
            owners=configuration.owners,
            services=configuration.services,
            tokens=configuration.tokens,
        ),
        Shard(targets=configuration.targets),
        *_account_shards(configuration.accounts),
    ]
    payloads: Payloads = {}
    for shard in shards:
        payload = _ENCODER.encode(shard)
        digest = shard_digest(payload)
        name = names_by_digest.get(digest, f'{configuration.revision}-{digest}')
        payloads[name] = payload
    return payloads


def join_shards(revision: int, payloads: Iterable[bytes]) -> Configuration:
    """Build a configuration from its stored shards."""
    shards = [_SHARD_DECODER.decode(payload) for payload in payloads]
    return Configuration(
        revision=revision,
        owners=tuple(each for shard in shards for each in shard.owners),
        accounts=tuple(each for shard in shards for each in shard.accounts),
        services=tuple(each for shard in shards for each in shard.services),
        targets=tuple(each for shard in shards for each in shard.targets),
        tokens=tuple(each for shard in shards for each in shard.tokens),
    )


def shard_digest(payload: bytes) -> str:
    """Return the digest of an encoded shard, the last part of its name."""
    return hashlib.sha256(payload).hexdigest()[:DIGEST_HEX_DIGITS]


def encode_manifest(manifest: Manifest) -> bytes:
    """Encode a manifest for storage."""
    return _ENCODER.encode(manifest)


def decode_manifest(payload: bytes) -> Manifest:
    """Decode a stored manifest."""
    return _MANIFEST_DECODER.decode(payload)


def find_changes(
    before: Configuration,
    after: Configuration,
) -> frozenset[ObjectKey]:
    """Return kind and name of every object that differs."""
    old, new = named_objects(before), named_objects(after)
    return frozenset(
        key for key in old.keys() | new.keys() if old.get(key) != new.get(key)
    )


def named_objects(configuration: Configuration) -> dict[ObjectKey, object]:
    """Return every object of a configuration by kind and name."""
    return {
        (kind, each.name): each
        for kind in OBJECT_KINDS
        for each in getattr(configuration, kind)
    }


def check_consistency(configuration: Configuration) -> None:
    """Check that names are unique and references exist.

    :raises ConfigurationError: names the first violation
    """
    owners = _unique_names(configuration.owners, 'owners')
    services = _unique_names(configuration.services, 'services')
    _unique_names(configuration.accounts, 'accounts')
    _unique_names(configuration.targets, 'targets')
    for account in configuration.accounts:
        _check_reference(
            account.owner, owners, f'accounts.{account.name}.owner'
        )
        for service in account.services:
            _check_reference(
                service, services, f'accounts.{account.name}.services'
            )
    for target in configuration.targets:
        _check_reference(
            target.service, services, f'targets.{target.name}.service'
        )
    _check_keys(configuration.accounts)


def _account_shards(accounts: tuple[ClientAccount, ...]) -> list[Shard]:
    """Distribute accounts over shards whose number is a power of two."""
    min_count = max(1, len(accounts) // ACCOUNTS_PER_SHARD)
    count = 1 << (min_count - 1).bit_length()
    buckets: list[list[ClientAccount]] = [[] for _ in range(count)]
    for account in sorted(accounts, key=lambda each: each.name):
        buckets[xxhash.xxh32_intdigest(account.name.encode()) % count].append(
            account
        )
    return [Shard(accounts=tuple(bucket)) for bucket in buckets if bucket]


def _unique_names(named: Iterable[Named], kind: str) -> frozenset[str]:
    """Return all names of a kind and check that each occurs once."""
    names: set[str] = set()
    for each in named:
        if each.name in names:
            raise ConfigurationError(
                f'{kind}.{each.name}: defined twice',
                step='check',
            )
        names.add(each.name)
    return frozenset(names)


def _check_reference(name: str, known: frozenset[str], path: str) -> None:
    """Check that a referenced name exists."""
    if name not in known:
        raise ConfigurationError(f'{path}: {name} is not known', step='check')


def _check_keys(accounts: tuple[ClientAccount, ...]) -> None:
    """Check that no secret authenticates two accounts."""
    holders: dict[str, str] = {}
    for account in accounts:
        for key in account.keys:
            holder = holders.setdefault(key.digest, account.name)
            if holder != account.name:
                raise ConfigurationError(
                    f'accounts.{account.name}.keys.{key.id}: '
                    f'the same secret opens {holder}',
                    step='check',
                )
