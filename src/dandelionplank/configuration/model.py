"""The operators' configuration and the form in which it is stored."""

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
RECENT_COMMANDS = 200
DIGEST_LENGTH = 32
OBJECT_KINDS = ('owners', 'accounts', 'services', 'targets', 'tokens')


class Configuration(Frozen, frozen=True):
    """Everything that operators decide.

    :param revision: rises with every change
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
    """A change that was made: which, by whom and when."""

    command_id: str
    operator: str
    statement: str
    revision: int
    at_s: float


class Manifest(Frozen, frozen=True):
    """Names the shards of one revision; replacing it commits a change."""

    revision: int
    shards: tuple[str, ...]
    recent: tuple[CommandRecord, ...] = ()

    def find_command(self, command_id: str) -> CommandRecord | None:
        """Return the record of a command that was already carried out."""
        for record in self.recent:
            if record.command_id == command_id:
                return record
        return None


Payloads = dict[str, bytes]
ObjectKey = tuple[str, str]


_JSON = msgspec.json.Encoder()
_MANIFEST = msgspec.json.Decoder(Manifest)
_SHARD = msgspec.json.Decoder(Shard)
Named = TypeVar('Named', Owner, ClientAccount, ServiceContract, Target)


def cut_into_shards(configuration: Configuration, known: Payloads) -> Payloads:
    """Cut a configuration into values of bounded size, by name, in order.

    Accounts are spread by a hash of their names, so that a change of one
    account rewrites one shard. The name of a new shard carries the revision:
    a name that was deleted is never used again.

    :param known: shards of the revision before; equal ones keep their names
    """
    names = {name.rpartition('-')[-1]: name for name in known}
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
        payload = _JSON.encode(shard)
        digest = digest_of(payload)
        name = names.get(digest, f'{configuration.revision}-{digest}')
        payloads[name] = payload
    return payloads


def join_shards(revision: int, payloads: Iterable[bytes]) -> Configuration:
    """Build a configuration from its stored shards."""
    shards = [_SHARD.decode(payload) for payload in payloads]
    return Configuration(
        revision=revision,
        owners=tuple(each for shard in shards for each in shard.owners),
        accounts=tuple(each for shard in shards for each in shard.accounts),
        services=tuple(each for shard in shards for each in shard.services),
        targets=tuple(each for shard in shards for each in shard.targets),
        tokens=tuple(each for shard in shards for each in shard.tokens),
    )


def digest_of(payload: bytes) -> str:
    """Return the digest of a shard, the last part of its name."""
    return hashlib.sha256(payload).hexdigest()[:DIGEST_LENGTH]


def encode_manifest(manifest: Manifest) -> bytes:
    """Return the stored form of a manifest."""
    return _JSON.encode(manifest)


def decode_manifest(payload: bytes) -> Manifest:
    """Read the stored form of a manifest."""
    return _MANIFEST.decode(payload)


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
    """Check names and references of a configuration.

    :raises ConfigurationError: naming the first fault
    """
    owners = _unique(configuration.owners, 'owners')
    services = _unique(configuration.services, 'services')
    _unique(configuration.accounts, 'accounts')
    _unique(configuration.targets, 'targets')
    for account in configuration.accounts:
        _refer(account.owner, owners, f'accounts.{account.name}.owner')
        for service in account.services:
            _refer(service, services, f'accounts.{account.name}.services')
    for target in configuration.targets:
        _refer(target.service, services, f'targets.{target.name}.service')
    _check_keys(configuration.accounts)


def _account_shards(accounts: tuple[ClientAccount, ...]) -> list[Shard]:
    """Spread accounts over a power of two of shards."""
    wanted = max(1, len(accounts) // ACCOUNTS_PER_SHARD)
    count = 1 << (wanted - 1).bit_length()
    buckets: list[list[ClientAccount]] = [[] for _ in range(count)]
    for account in sorted(accounts, key=lambda each: each.name):
        buckets[xxhash.xxh32_intdigest(account.name.encode()) % count].append(
            account
        )
    return [Shard(accounts=tuple(bucket)) for bucket in buckets if bucket]


def _unique(named: Iterable[Named], kind: str) -> frozenset[str]:
    """Return all names of a kind, each of which must occur once."""
    names: set[str] = set()
    for each in named:
        if each.name in names:
            raise ConfigurationError(
                f'{kind}.{each.name}: defined twice',
                step='check',
            )
        names.add(each.name)
    return frozenset(names)


def _refer(name: str, known: frozenset[str], path: str) -> None:
    """Check a reference."""
    if name not in known:
        raise ConfigurationError(f'{path}: {name} is not known', step='check')


def _check_keys(accounts: tuple[ClientAccount, ...]) -> None:
    """Check that no key opens two accounts."""
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
