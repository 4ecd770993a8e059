"""Changes of the store, handed to the fleet as typed events."""

import msgspec

from dandelionplank.fleet.follower import ChangeSink
from dandelionplank.platform import names
from dandelionplank.platform.documents import (
    MalformedDocumentError,
    decode_configuration,
    decode_target,
)
from dandelionplank.platform.store import (
    HistoryLostError,
    PlatformStore,
    StoredItem,
)

EVERYTHING = ''


class StoreChanges:
    """Reads configuration, targets and peers by one range and one watch."""

    def __init__(self, store: PlatformStore) -> None:
        """Keep the client."""
        self.store = store

    async def resync(self, sink: ChangeSink) -> tuple[frozenset[str], int]:
        """Read everything; see :class:`ChangeSource`."""
        reading = await self.store.read_range(EVERYTHING)
        for item in reading.entries:
            _apply(item, sink)
        listed = frozenset(
            item.key.removeprefix(names.TARGET_PREFIX)
            for item in reading.entries
            if item.key.startswith(names.TARGET_PREFIX)
        )
        return listed, reading.revision

    async def follow(
        self,
        sink: ChangeSink,
        revision: int,
        wait_s: float,
    ) -> int | None:
        """Wait for changes; see :class:`ChangeSource`."""
        try:
            reading = await self.store.watch(EVERYTHING, revision, wait_s)
        except HistoryLostError:
            return None
        for item in reading.entries:
            _apply(item, sink)
        return max(revision, reading.revision)


def _apply(item: StoredItem, sink: ChangeSink) -> None:
    """Hand one change on as what it is."""
    try:
        if item.key == names.CONFIGURATION_KEY and item.document is not None:
            sink.configured(decode_configuration(item.document))
        elif item.key.startswith(names.TARGET_PREFIX):
            _apply_target(item, sink)
        elif item.key.startswith(names.PEER_PREFIX):
            _apply_peer(item, sink)
    except MalformedDocumentError as error:
        sink.malformed(item.key, error.reason)


def _apply_target(item: StoredItem, sink: ChangeSink) -> None:
    """Hand on a change of a target's entry."""
    name = item.key.removeprefix(names.TARGET_PREFIX)
    if item.document is None:
        sink.target_removed(name)
    else:
        sink.target_listed(decode_target(name, item.document))


def _apply_peer(item: StoredItem, sink: ChangeSink) -> None:
    """Hand on a change of another instance's entry."""
    name = item.key.removeprefix(names.PEER_PREFIX)
    if item.document is None:
        sink.peer_removed(name)
        return
    try:
        sink.peer_listed(name, msgspec.json.decode(item.document, type=str))
    except msgspec.DecodeError as error:
        sink.malformed(item.key, repr(error))


class StorePresence:
    """This instance's entry in the store, under a lease."""

    def __init__(self, store: PlatformStore, name: str, address: str) -> None:
        """Prepare; nothing is written.

        :param address: ``ip:port`` for reports of peers
        """
        self.store = store
        self.key = names.PEER_PREFIX + name
        self.document = msgspec.json.encode(address)
        self.lease = 0

    async def renew(self, ttl_s: float) -> None:
        """Write the entry, or renew its lease.

        :raises StoreError: the entry may not be there
        """
        if self.lease:
            lease, self.lease = self.lease, 0
            await self.store.keep_lease(lease)
            self.lease = lease
            return
        lease = await self.store.grant_lease(ttl_s)
        await self.store.put(self.key, self.document, lease)
        self.lease = lease

    async def leave(self) -> None:
        """Remove the entry.

        :raises StoreError: it stays until its lease ends
        """
        if self.lease:
            await self.store.end_lease(self.lease)
