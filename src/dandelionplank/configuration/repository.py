"""Reads and commits the configuration in the key-value service."""

import contextlib
import time
import uuid
from collections.abc import Callable

import msgspec

from dandelionplank.configuration.model import (
    MAX_RECENT_COMMANDS,
    CommandRecord,
    Configuration,
    Manifest,
    check_consistency,
    decode_manifest,
    encode_manifest,
    find_changes,
    join_shards,
    split_into_shards,
)
from dandelionplank.errors import (
    ConfigurationError,
    ErrorCode,
    StoreConflictError,
    StoreError,
)
from dandelionplank.platform.keyvalue import (
    NO_REVISION,
    KeyValueStore,
    put_with_readback,
)

MAX_ATTEMPTS = 8
Change = Callable[[Configuration], Configuration]


class Command(msgspec.Struct, frozen=True):
    """A change that an operator requests.

    :param id: stays the same when the command is retried
    :param expected_revision: revision that the change requires, if any
    """

    operator: str
    statement: str
    id: str = ''
    expected_revision: int | None = None

    @property
    def command_id(self) -> str:
        """The given id, or a new one on each access."""
        return self.id or uuid.uuid4().hex


class StoredConfiguration(msgspec.Struct, frozen=True):
    """A configuration as read from the key-value service.

    :param store_revision: revision of the manifest's key, zero if absent
    """

    manifest: Manifest
    configuration: Configuration
    payloads: dict[str, bytes]
    store_revision: int


class Draft(msgspec.Struct, frozen=True):
    """A changed configuration that is not committed yet."""

    command: Command
    command_id: str
    configuration: Configuration

    def to_record(self, revision: int) -> CommandRecord:
        """Return the record of the change for the manifest."""
        return CommandRecord(
            self.command_id,
            self.command.operator,
            self.command.statement,
            revision,
            time.time(),
        )


class ConfigurationRepository:
    """Reads and writes the stored configuration.

    :param store: the key-value service
    :param prefix: prefix of all keys of this fleet
    """

    def __init__(self, store: KeyValueStore, prefix: str) -> None:
        """Hold the store, the keys and a cache of shards."""
        self.store = store
        self.manifest_key = f'{prefix}configuration/manifest'
        self.shard_prefix = f'{prefix}configuration/shards/'
        self.payloads: dict[str, bytes] = {}

    async def load(self) -> StoredConfiguration:
        """Read the latest revision; cached shards are not read again.

        :raises StoreError: the service did not respond
        """
        for _ in range(MAX_ATTEMPTS):
            loaded = await self._load_once()
            if loaded:
                return loaded
        raise StoreConflictError(
            'shards are replaced faster than they can be read',
            step='load',
        )

    async def commit(self, command: Command, change: Change) -> CommandRecord:
        """Apply a change to the latest revision and commit the result.

        A command that was already applied is not applied again. If another
        operator commits first, the change is applied to the new revision
        unless both change the same object.

        :raises ConfigurationError: the change is refused or conflicts with
            another
        :raises StoreError: nothing was changed
        :raises StoreUnknownError: the change may be committed; retry the
            same command to find out
        """
        command_id = command.command_id
        base: Configuration | None = None
        for _ in range(MAX_ATTEMPTS):
            loaded = await self.load()
            applied = loaded.manifest.find_command(command_id)
            if applied:
                return applied
            _check_expected_revision(command, loaded.manifest.revision)
            base = base or loaded.configuration
            changed = change(loaded.configuration)
            _check_conflicts(base, loaded.configuration, changed)
            draft = Draft(command, command_id, changed)
            with contextlib.suppress(StoreConflictError):
                return await self._commit_draft(loaded, draft)
        raise ConfigurationError(
            'too many operators write at once',
            step='commit',
            code=ErrorCode.CONFIGURATION_CONFLICT,
        )

    async def _load_once(self) -> StoredConfiguration | None:
        """Read manifest and shards; None if a shard was deleted meanwhile."""
        stored = await self.store.get(self.manifest_key)
        if stored is None:
            return StoredConfiguration(
                Manifest(0, ()), Configuration(), {}, NO_REVISION
            )
        manifest = decode_manifest(stored.payload)
        if not await self._fetch_missing(manifest):
            return None
        self.payloads = {name: self.payloads[name] for name in manifest.shards}
        return StoredConfiguration(
            manifest,
            join_shards(manifest.revision, self.payloads.values()),
            dict(self.payloads),
            stored.revision,
        )

    async def _commit_draft(
        self, loaded: StoredConfiguration, draft: Draft
    ) -> CommandRecord:
        """Write the new shards, then compare-and-swap the manifest."""
        revision = loaded.manifest.revision + 1
        configuration = msgspec.structs.replace(
            draft.configuration,
            revision=revision,
        )
        check_consistency(configuration)
        payloads = split_into_shards(configuration, loaded.payloads)
        for name, payload in payloads.items():
            if name not in loaded.payloads:
                await self.store.put(self.shard_prefix + name, payload)
        record = draft.to_record(revision)
        manifest = Manifest(
            revision,
            tuple(payloads),
            (record, *loaded.manifest.recent)[:MAX_RECENT_COMMANDS],
        )
        await put_with_readback(
            self.store,
            self.manifest_key,
            encode_manifest(manifest),
            loaded.store_revision,
        )
        await self._delete_unreferenced(loaded.manifest, manifest)
        return record

    async def _fetch_missing(self, manifest: Manifest) -> bool:
        """Read uncached shards and return whether all were found."""
        for name in manifest.shards:
            if name in self.payloads:
                continue
            stored = await self.store.get(self.shard_prefix + name)
            if stored is None:
                return False
            self.payloads[name] = stored.payload
        return True

    async def _delete_unreferenced(
        self, before: Manifest, after: Manifest
    ) -> None:
        """Delete shards that the new revision no longer references."""
        for name in set(before.shards) - set(after.shards):
            with contextlib.suppress(StoreError):
                await self.store.delete(self.shard_prefix + name)


def _check_expected_revision(command: Command, revision: int) -> None:
    """Refuse a command that expects another revision."""
    expected = command.expected_revision
    if expected is not None and expected != revision:
        raise ConfigurationError(
            f'expected revision {expected}, found {revision}',
            step='commit',
            code=ErrorCode.CONFIGURATION_CONFLICT,
        )


def _check_conflicts(
    base: Configuration,
    latest: Configuration,
    changed: Configuration,
) -> None:
    """Refuse a change to an object that changed since the base revision."""
    theirs = find_changes(base, latest)
    ours = find_changes(latest, changed)
    conflicts = sorted(f'{kind}.{name}' for kind, name in theirs & ours)
    if conflicts:
        raise ConfigurationError(
            f'another operator changed {", ".join(conflicts)} at the same time',
            step='commit',
            code=ErrorCode.CONFIGURATION_CONFLICT,
        )
