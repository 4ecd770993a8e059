"""Reads and commits the configuration in the key-value service."""

import contextlib
import time
import uuid
from collections.abc import Callable

import msgspec

from dandelionplank.configuration.model import (
    RECENT_COMMANDS,
    CommandRecord,
    Configuration,
    Manifest,
    check_consistency,
    cut_into_shards,
    decode_manifest,
    encode_manifest,
    find_changes,
    join_shards,
)
from dandelionplank.errors import (
    ConfigurationError,
    ErrorCode,
    StoreConflictError,
    StoreError,
)
from dandelionplank.platform.keyvalue import (
    ABSENT,
    KeyValueStore,
    put_settled,
)

MAX_TRIES = 8
Change = Callable[[Configuration], Configuration]


class Command(msgspec.Struct, frozen=True):
    """An operator's change.

    :param id: stays the same when the command is sent again
    :param expected_revision: revision the operator has seen, if it matters
    """

    operator: str
    statement: str
    id: str = ''
    expected_revision: int | None = None

    @property
    def command_id(self) -> str:
        """The given id, or one for this command alone."""
        return self.id or uuid.uuid4().hex


class Loaded(msgspec.Struct, frozen=True):
    """A configuration as stored.

    :param store_revision: revision of the manifest's key, zero if absent
    """

    manifest: Manifest
    configuration: Configuration
    payloads: dict[str, bytes]
    store_revision: int


class Draft(msgspec.Struct, frozen=True):
    """A changed configuration that is not stored yet."""

    command: Command
    command_id: str
    configuration: Configuration

    def record(self, revision: int) -> CommandRecord:
        """Return the entry for the history."""
        return CommandRecord(
            self.command_id,
            self.command.operator,
            self.command.statement,
            revision,
            time.time(),
        )


class ConfigurationRepository:
    """The stored configuration.

    :param store: the key-value service
    :param prefix: prefix of all keys of this fleet
    """

    def __init__(self, store: KeyValueStore, prefix: str) -> None:
        """Start with an empty cache of shards."""
        self.store = store
        self.manifest_key = f'{prefix}configuration/manifest'
        self.shard_prefix = f'{prefix}configuration/shards/'
        self.payloads: dict[str, bytes] = {}

    async def load(self) -> Loaded:
        """Read the latest revision; known shards are not read again.

        :raises StoreError: the service did not answer
        """
        for _ in range(MAX_TRIES):
            loaded = await self._load_once()
            if loaded:
                return loaded
        raise StoreConflictError(
            'shards are replaced faster than they can be read',
            step='load',
        )

    async def commit(self, command: Command, change: Change) -> CommandRecord:
        """Apply a change to the latest revision and store the outcome.

        A command that was already carried out is not carried out again. If
        another operator commits first, the change is applied to the new
        revision unless both touch the same object.

        :raises ConfigurationError: refused, or in conflict with another
        :raises StoreError: nothing was changed
        :raises StoreUnknownError: the change may be in force; send the
            same command again to find out
        """
        command_id = command.command_id
        base: Configuration | None = None
        for _ in range(MAX_TRIES):
            loaded = await self.load()
            done = loaded.manifest.find_command(command_id)
            if done:
                return done
            _check_expected(command, loaded.manifest.revision)
            base = base or loaded.configuration
            changed = change(loaded.configuration)
            _check_overlap(base, loaded.configuration, changed)
            draft = Draft(command, command_id, changed)
            with contextlib.suppress(StoreConflictError):
                return await self._replace(loaded, draft)
        raise ConfigurationError(
            'too many operators write at once',
            step='commit',
            code=ErrorCode.CONFIGURATION_CONFLICT,
        )

    async def _load_once(self) -> Loaded | None:
        """Read manifest and shards; nothing if a shard was just replaced."""
        stored = await self.store.get(self.manifest_key)
        if stored is None:
            return Loaded(Manifest(0, ()), Configuration(), {}, ABSENT)
        manifest = decode_manifest(stored.payload)
        if not await self._fetch_missing(manifest):
            return None
        self.payloads = {name: self.payloads[name] for name in manifest.shards}
        return Loaded(
            manifest,
            join_shards(manifest.revision, self.payloads.values()),
            dict(self.payloads),
            stored.revision,
        )

    async def _replace(self, loaded: Loaded, draft: Draft) -> CommandRecord:
        """Write the shards, then swap the manifest."""
        revision = loaded.manifest.revision + 1
        configuration = msgspec.structs.replace(
            draft.configuration,
            revision=revision,
        )
        check_consistency(configuration)
        payloads = cut_into_shards(configuration, loaded.payloads)
        for name, payload in payloads.items():
            if name not in loaded.payloads:
                await self.store.put(self.shard_prefix + name, payload)
        record = draft.record(revision)
        manifest = Manifest(
            revision,
            tuple(payloads),
            (record, *loaded.manifest.recent)[:RECENT_COMMANDS],
        )
        await put_settled(
            self.store,
            self.manifest_key,
            encode_manifest(manifest),
            loaded.store_revision,
        )
        await self._delete_retired(loaded.manifest, manifest)
        return record

    async def _fetch_missing(self, manifest: Manifest) -> bool:
        """Read the shards that are not known yet."""
        for name in manifest.shards:
            if name in self.payloads:
                continue
            stored = await self.store.get(self.shard_prefix + name)
            if stored is None:
                return False
            self.payloads[name] = stored.payload
        return True

    async def _delete_retired(self, before: Manifest, after: Manifest) -> None:
        """Remove shards that the new revision does not name any more."""
        for name in set(before.shards) - set(after.shards):
            with contextlib.suppress(StoreError):
                await self.store.delete(self.shard_prefix + name)


def _check_expected(command: Command, revision: int) -> None:
    """Refuse a command whose author has seen an older revision."""
    expected = command.expected_revision
    if expected is not None and expected != revision:
        raise ConfigurationError(
            f'expected revision {expected}, found {revision}',
            step='commit',
            code=ErrorCode.CONFIGURATION_CONFLICT,
        )


def _check_overlap(
    base: Configuration,
    latest: Configuration,
    changed: Configuration,
) -> None:
    """Refuse a change of an object that another operator just changed."""
    theirs = find_changes(base, latest)
    ours = find_changes(latest, changed)
    both = sorted(f'{kind}.{name}' for kind, name in theirs & ours)
    if both:
        raise ConfigurationError(
            f'another operator changed {", ".join(both)} at the same time',
            step='commit',
            code=ErrorCode.CONFIGURATION_CONFLICT,
        )
