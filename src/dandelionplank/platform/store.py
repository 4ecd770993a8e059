"""Client of the platform's store: ranges, watches, transactions, leases."""

import base64
import dataclasses
import types
from http import HTTPStatus
from typing import Annotated, Any, Generic, Self, TypeVar

import aiohttp
import msgspec

from dandelionplank.decoding import DECODE_ERRORS, parse_count
from dandelionplank.errors import (
    ErrorCode,
    StoreConflictError,
    StoreError,
    StoreUnknownError,
)
from dandelionplank.fleet.changes import StoredChange, StoreRevision
from dandelionplank.platform import names
from dandelionplank.platform.bodies import NOT_ENCODED, read_bounded

STEP = 'store'
CONNECT_TIMEOUT_S = 1.0
NO_BODY = b'{}'
# A page of items, or the changes since the last call, with values in base64.
MAX_RESPONSE_BYTES = 33_554_432
_ENCODER = msgspec.json.Encoder()

Body = TypeVar('Body')
# Revisions and eras are sent to other instances.
MAX_REVISION = 9_223_372_036_854_775_807
Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]


class RevisionCompactedError(StoreError):
    """A watch requests changes that are no longer in the store's history."""

    default_code = ErrorCode.STORE_CONFLICT


class LeaseEndedError(StoreError):
    """The lease has expired or was revoked."""

    default_code = ErrorCode.STORE_CONFLICT


# Error for each status; after a status that is not listed, the call may have
# taken effect.
_ERRORS: types.MappingProxyType[int, type[StoreError]] = types.MappingProxyType(
    {
        HTTPStatus.GONE: RevisionCompactedError,
        HTTPStatus.PRECONDITION_FAILED: StoreConflictError,
        HTTPStatus.NOT_FOUND: LeaseEndedError,
        HTTPStatus.TOO_MANY_REQUESTS: StoreError,
        HTTPStatus.SERVICE_UNAVAILABLE: StoreError,
    },
)


@dataclasses.dataclass(frozen=True, slots=True)
class ItemBatch:
    """Items that were read or changed, and the store's revision then."""

    entries: tuple[StoredChange, ...]
    revision: StoreRevision


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLease:
    """A lease; after a restoration its number may be that of another one."""

    number: int
    era: int


class _StoredItem(msgspec.Struct, frozen=True, rename='pascal'):
    """An item as it was written, or the removal of one.

    :param text: its value in base64
    """

    key: str
    rev: Revision
    text: str | None = msgspec.field(name='Value', default=None)
    tombstone: bool = False

    def to_change(self) -> StoredChange:
        """Return the item as a change.

        A value that is no base64 text is an empty document, which no decoder
        accepts, so that the other items of its page hold.
        """
        if self.tombstone:
            return StoredChange(self.key, self.rev, None)
        try:
            document = base64.b64decode(self.text or '')
        except ValueError:
            document = b''
        return StoredChange(self.key, self.rev, document)


class _Page(msgspec.Struct, frozen=True, rename='pascal'):
    """Response to the read of a range."""

    entries: tuple[_StoredItem, ...] = msgspec.field(name='Items')
    as_of: Revision
    has_more: bool = False


class _Changes(msgspec.Struct, frozen=True, rename='pascal'):
    """Response to a watch."""

    as_of: Revision
    events: tuple[_StoredItem, ...] = msgspec.field(name='events')


class _GrantedLease(msgspec.Struct, frozen=True, rename='pascal'):
    """Response to the grant of a lease."""

    lease: int


class _Confirmation(msgspec.Struct, frozen=True):
    """Response of which no field is used."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreResponse(Generic[Body]):
    """Decoded body of a response, and the era in which it was given."""

    body: Body
    era: int


class PlatformStore:
    """Client whose errors state whether a failed call may have taken effect."""

    def __init__(self, address: str, timeout_s: float) -> None:
        """Hold the address; the first call opens the connection.

        :param address: ``ip:port``
        :param timeout_s: limit for a response, in addition to a watch's wait
        """
        self.base_url = f'http://{address}'
        self.timeout_s = timeout_s
        self.session: aiohttp.ClientSession | None = None
        self.era = 0

    @classmethod
    def from_address(cls, address: str, timeout_s: float) -> Self:
        """Build a client for the store at an address."""
        return cls(address, timeout_s)

    async def read_range(self, prefix: str) -> ItemBatch:
        """Read all items under a prefix and return the first page's revision.

        :raises StoreError: a call failed, or the pages are of two eras
        """
        found: list[StoredChange] = []
        revision: StoreRevision | None = None
        query = {'Prefix': prefix}
        while True:
            page = await self._call('GET', '/v1/kv-range', _Page, query=query)
            found.extend(entry.to_change() for entry in page.body.entries)
            revision = revision or StoreRevision(page.era, page.body.as_of)
            if page.era != revision.era:
                raise StoreError('restored between two pages', step=STEP)
            if not page.body.has_more or not found:
                return ItemBatch(tuple(found), revision)
            query['After'] = found[-1].key

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
    ) -> ItemBatch:
        """Wait for changes after a revision.

        :raises RevisionCompactedError: the store no longer has these changes
        :raises StoreError: the call failed
        """
        response = await self._call(
            'GET',
            '/v1/kv-watch',
            _Changes,
            query={
                'Prefix': prefix,
                'After': str(after),
                'WaitMs': str(int(wait_s * names.MS_PER_SECOND)),
            },
            wait_s=wait_s,
        )
        return ItemBatch(
            tuple(event.to_change() for event in response.body.events),
            StoreRevision(response.era, response.body.as_of),
        )

    async def grant_lease(self, ttl_s: float) -> StoreLease:
        """Create a lease and return it.

        :raises StoreError: the call failed
        """
        response = await self._call(
            'POST',
            '/v1/kv-lease',
            _GrantedLease,
            body={'TtlMs': int(ttl_s * names.MS_PER_SECOND)},
        )
        return StoreLease(response.body.lease, response.era)

    async def renew_lease(self, lease: StoreLease) -> None:
        """Renew a lease.

        :raises LeaseEndedError: the lease does not exist
        :raises StoreError: the call failed
        """
        if lease.era == self.era:
            await self._call(
                'POST', f'/v1/kv-keep/{lease.number}', _Confirmation
            )
        self._check_era(lease)

    async def revoke_lease(self, lease: StoreLease) -> None:
        """Revoke a lease, which removes its keys.

        One of an earlier era is left to expire.

        :raises StoreError: the call failed
        """
        if lease.era == self.era:
            await self._call(
                'DELETE', f'/v1/kv-lease-end/{lease.number}', _Confirmation
            )

    async def put(
        self,
        key: str,
        document: bytes,
        lease: StoreLease | None = None,
        *,
        expected_revision: int | None = None,
    ) -> None:
        """Write one key.

        :param lease: lease that removes the key when it ends, if any
        :param expected_revision: write it only if this is the number of its
            last change, zero if it does not exist
        :raises StoreConflictError: it has another one
        :raises LeaseEndedError: there is no such lease
        :raises StoreUnknownError: the write may have taken effect
        :raises StoreError: it did not take effect
        """
        expected = []
        if expected_revision is not None:
            expected.append({'Key': key, 'Rev': expected_revision})
        await self._call(
            'POST',
            '/v1/kv-txn',
            _Confirmation,
            body={
                'Expected': expected,
                'Writes': [
                    {
                        'Key': key,
                        'Value': base64.b64encode(document).decode(),
                        'Lease': lease.number if lease else 0,
                    },
                ],
                'Delete': [],
            },
        )
        if lease:
            self._check_era(lease)

    async def close(self) -> None:
        """Close the connections."""
        if self.session:
            await self.session.close()

    async def _call(
        self,
        method: str,
        path: str,
        form: type[Body],
        *,
        query: dict[str, str] | None = None,
        body: dict[str, Any] | None = None,
        wait_s: float = 0,
    ) -> StoreResponse[Body]:
        """Make one call and return the decoded response.

        :param form: type of the response's body
        :raises StoreError: the call failed, or its response is malformed
        """
        if self.session is None:
            self.session = aiohttp.ClientSession(auto_decompress=False)
        try:
            async with self.session.request(
                method,
                self.base_url + path,
                params=query,
                data=None if body is None else _ENCODER.encode(body),
                headers={'Content-Type': 'application/json', **NOT_ENCODED},
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=wait_s + self.timeout_s,
                    sock_connect=CONNECT_TIMEOUT_S,
                ),
            ) as response:
                raw = await read_bounded(response.content, MAX_RESPONSE_BYTES)
                era = self._record_era(response.headers.get(names.STORE_ERA))
                self._raise_for_status(response.status, path)
                return StoreResponse(_decode_body(raw, form, path), era)
        except aiohttp.ClientConnectorError as error:
            raise StoreError(repr(error), step=STEP, peer=path) from error
        except (
            aiohttp.ClientError,
            TimeoutError,
        ) as error:
            raise StoreUnknownError(
                repr(error),
                step=STEP,
                peer=path,
            ) from error

    def _check_era(self, lease: StoreLease) -> None:
        """Check that the store was not restored since it granted a lease.

        :raises LeaseEndedError: the lease and its keys may be missing
        """
        if lease.era != self.era:
            raise LeaseEndedError(
                f'lease of era {lease.era}, now {self.era}', step=STEP
            )

    def _record_era(self, text: str | None) -> int:
        """Return the era of a response, the last one if it states none."""
        era = parse_count(text or '', MAX_REVISION)
        if era is not None:
            self.era = era
        return self.era

    def _raise_for_status(self, status: int, path: str) -> None:
        """Raise the error for a status other than 200."""
        if status != HTTPStatus.OK:
            error = _ERRORS.get(status, StoreUnknownError)
            raise error(f'status {status}', step=STEP, peer=path)


def _decode_body(raw: bytes, form: type[Body], path: str) -> Body:
    """Decode the body of a response.

    :param path: path of the call
    :raises StoreUnknownError: the body is malformed; the call may have taken
        effect
    """
    try:
        return msgspec.json.decode(raw or NO_BODY, type=form)
    except DECODE_ERRORS as error:
        raise StoreUnknownError(repr(error), step=STEP, peer=path) from error
