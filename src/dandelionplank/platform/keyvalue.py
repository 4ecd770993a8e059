"""Interface of the platform's key-value service, as the router uses it."""

from collections.abc import AsyncIterator
from typing import Protocol

import msgspec

from dandelionplank.errors import (
    StoreError,
    StoreOverwrittenError,
    StoreUnknownError,
)

NO_REVISION = 0


class StoredValue(msgspec.Struct, frozen=True):
    """A value and the revision of its latest write."""

    key: str
    payload: bytes
    revision: int


class KeyValueStore(Protocol):
    """A key-value service with compare-and-swap, leases and watches."""

    async def get(self, key: str) -> StoredValue | None:
        """Read one value.

        :raises StoreError: the service did not respond
        """

    async def scan(self, prefix: str) -> list[StoredValue]:
        """Read all values below a prefix, in the order of their keys."""

    async def put(
        self,
        key: str,
        payload: bytes,
        *,
        expected: int | None = None,
        lease: int = 0,
    ) -> int:
        """Write a value and return its revision.

        :param expected: current revision that the write requires, zero for
            an absent key, ``None`` for an unconditional write
        :param lease: lease that removes the value when it ends, zero for none
        :raises StoreConflictError: the key has another revision
        :raises StoreUnknownError: the write may have taken effect
        :raises StoreError: the write took no effect
        """

    async def delete(self, key: str, *, expected: int | None = None) -> None:
        """Remove a value; raises the same errors as :meth:`put`."""

    def watch(self, prefix: str) -> AsyncIterator[StoredValue]:
        """Iterate over writes below a prefix; ends when the watch breaks."""

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its id."""

    async def renew_lease(self, lease: int) -> float:
        """Renew a lease and return the seconds it has left, zero if expired."""

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and remove its values."""


async def put_with_readback(
    store: KeyValueStore,
    key: str,
    payload: bytes,
    expected: int,
) -> int:
    """Write by compare-and-swap; after a lost response, read the value back.

    The payload must be unique to this write, so that reading it back confirms
    that the write took effect.

    :return: revision of the write
    :raises StoreConflictError: another writer changed the value first
    :raises StoreOverwrittenError: another writer changed the value first, or
        after the write
    :raises StoreUnknownError: the outcome is still unknown
    """
    try:
        return await store.put(key, payload, expected=expected)
    except StoreUnknownError as lost:
        unknown = lost
    try:
        present = await store.get(key)
    except StoreError as error:
        raise unknown from error
    if present and present.payload == payload:
        return present.revision
    found = present.revision if present else NO_REVISION
    if found == expected:
        raise unknown
    raise StoreOverwrittenError(step='settle', peer=key) from unknown
