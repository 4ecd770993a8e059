"""Client of the platform's store: ranges, watches, transactions, leases."""

import base64
import dataclasses
import types
from http import HTTPStatus
from typing import Any, Self

import aiohttp
import msgspec

from dandelionplank.errors import (
    ErrorCode,
    StoreConflictError,
    StoreError,
    StoreUnknownError,
)
from dandelionplank.platform import names

STEP = 'store'
CONNECT_TIMEOUT_S = 1.0
_ENCODER = msgspec.json.Encoder()


class HistoryLostError(StoreError):
    """A watch asks for changes that the store has dropped."""

    default_code = ErrorCode.STORE_CONFLICT


class LeaseEndedError(StoreError):
    """The lease does not exist any more."""

    default_code = ErrorCode.STORE_CONFLICT


# What a status says of a call. Where a status is not listed, the call may
# have run.
_ERRORS: types.MappingProxyType[int, type[StoreError]] = types.MappingProxyType(
    {
        HTTPStatus.GONE: HistoryLostError,
        HTTPStatus.PRECONDITION_FAILED: StoreConflictError,
        HTTPStatus.NOT_FOUND: LeaseEndedError,
        HTTPStatus.TOO_MANY_REQUESTS: StoreError,
        HTTPStatus.SERVICE_UNAVAILABLE: StoreError,
    },
)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredItem:
    """A key as a change left it.

    :param document: none if the key was removed
    """

    key: str
    revision: int
    document: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReading:
    """Items and the store's revision when they were read."""

    entries: tuple[StoredItem, ...]
    revision: int


class PlatformStore:
    """Calls the store; every error says whether the call may have run."""

    def __init__(self, address: str, timeout_s: float) -> None:
        """Prepare; the connection is opened by the first call.

        :param address: ``ip:port``
        :param timeout_s: longest wait for an answer beyond a watch's own
        """
        self.base = f'http://{address}'
        self.timeout_s = timeout_s
        self.session: aiohttp.ClientSession | None = None

    @classmethod
    def from_address(cls, address: str, timeout_s: float) -> Self:
        """Build a client for the store at an address."""
        return cls(address, timeout_s)

    async def read_range(self, prefix: str) -> StoreReading:
        """Read all items under a prefix; the revision is the first page's.

        :raises StoreError: the store did not answer
        """
        found: list[StoredItem] = []
        revision = 0
        query = {'Prefix': prefix}
        while True:
            page = await self._call('GET', '/v1/kv-range', query=query)
            found.extend(map(_stored_item, page['Items']))
            revision = revision or page['AsOf']
            if not page.get('HasMore') or not found:
                return StoreReading(tuple(found), revision)
            query['After'] = found[-1].key

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
    ) -> StoreReading:
        """Wait for changes after a revision.

        :raises HistoryLostError: the changes are not known any more
        :raises StoreError: the store did not answer
        """
        answer = await self._call(
            'GET',
            '/v1/kv-watch',
            query={
                'Prefix': prefix,
                'After': str(after),
                'WaitMs': str(int(wait_s * names.MILLISECONDS)),
            },
            wait_s=wait_s,
        )
        return StoreReading(
            tuple(map(_stored_item, answer['events'])),
            answer['AsOf'],
        )

    async def grant_lease(self, ttl_s: float) -> int:
        """Return the number of a new lease.

        :raises StoreError: the store did not answer
        """
        answer = await self._call(
            'POST',
            '/v1/kv-lease',
            body={'TtlMs': int(ttl_s * names.MILLISECONDS)},
        )
        lease: int = answer['Lease']
        return lease

    async def keep_lease(self, lease: int) -> None:
        """Renew a lease.

        :raises LeaseEndedError: it has ended
        :raises StoreError: the store did not answer
        """
        await self._call('POST', f'/v1/kv-keep/{lease}')

    async def end_lease(self, lease: int) -> None:
        """End a lease; its keys are removed.

        :raises StoreError: the store did not answer
        """
        await self._call('DELETE', f'/v1/kv-lease-end/{lease}')

    async def put(self, key: str, document: bytes, lease: int = 0) -> None:
        """Write one key under a lease.

        :raises LeaseEndedError: there is no such lease
        :raises StoreUnknownError: the write may have taken effect
        :raises StoreError: it did not take effect
        """
        await self._call(
            'POST',
            '/v1/kv-txn',
            body={
                'Expected': [],
                'Writes': [
                    {
                        'Key': key,
                        'Value': base64.b64encode(document).decode(),
                        'Lease': lease,
                    },
                ],
                'Delete': [],
            },
        )

    async def close(self) -> None:
        """Close the connections."""
        if self.session:
            await self.session.close()

    async def _call(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, str] | None = None,
        body: dict[str, Any] | None = None,
        wait_s: float = 0,
    ) -> Any:
        """Make one call and return the decoded body."""
        if self.session is None:
            self.session = aiohttp.ClientSession()
        try:
            async with self.session.request(
                method,
                self.base + path,
                params=query,
                data=None if body is None else _ENCODER.encode(body),
                headers={'Content-Type': 'application/json'},
                timeout=aiohttp.ClientTimeout(
                    total=wait_s + self.timeout_s,
                    sock_connect=CONNECT_TIMEOUT_S,
                ),
            ) as response:
                raw = await response.read()
                self._check(response.status, path)
                return msgspec.json.decode(raw) if raw else {}
        except aiohttp.ClientConnectorError as error:
            raise StoreError(repr(error), step=STEP, peer=path) from error
        except (
            aiohttp.ClientError,
            TimeoutError,
            msgspec.DecodeError,
        ) as error:
            raise StoreUnknownError(
                repr(error),
                step=STEP,
                peer=path,
            ) from error

    def _check(self, status: int, path: str) -> None:
        """Raise the error that a status stands for."""
        if status != HTTPStatus.OK:
            error = _ERRORS.get(status, StoreUnknownError)
            raise error(f'status {status}', step=STEP, peer=path)


def _stored_item(entry: dict[str, Any]) -> StoredItem:
    """Decode one item or event."""
    document = None
    if not entry.get('Tombstone'):
        document = base64.b64decode(entry.get('Value') or '')
    return StoredItem(entry['Key'], entry['Rev'], document)
