"""Adapter to a key-value service that speaks the etcd v3 JSON interface."""

import asyncio
import base64
import ssl
from collections.abc import AsyncIterator
from typing import Any, Self

import aiohttp
import msgspec

from dandelionplank.errors import (
    StoreConflictError,
    StoreError,
    StoreUnknownError,
)
from dandelionplank.metrics import METRICS
from dandelionplank.platform.keyvalue import StoredValue

Document = dict[str, Any]
SILENT_WATCH_S = 30.0


class EtcdStore:
    """A client of the key-value service.

    :param session: connections to use; the store closes it
    :param url: base URL of the service
    :param timeout_s: longest wait for an answer
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        timeout_s: float,
    ) -> None:
        """Keep the session; no call is made yet."""
        self.session = session
        self.url = url.rstrip('/')
        self.timeout_s = timeout_s

    @classmethod
    def from_url(
        cls,
        url: str,
        timeout_s: float,
        tls: ssl.SSLContext | None = None,
    ) -> Self:
        """Build a store with a session of its own.

        :param tls: whom to trust where the URL begins with ``https``
        """
        connector = aiohttp.TCPConnector(ssl=tls or True)
        session = aiohttp.ClientSession(connector=connector)
        return cls(session, url, timeout_s)

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def get(self, key: str) -> StoredValue | None:
        """Read one value."""
        answer = await self.call('kv/range', {'key': _encode(key)})
        found = answer.get('kvs', [])
        return _stored(found[0]) if found else None

    async def scan(self, prefix: str) -> list[StoredValue]:
        """Read all values below a prefix, in the order of their keys."""
        answer = await self.call(
            'kv/range',
            {'key': _encode(prefix), 'range_end': _range_end(prefix)},
        )
        return [_stored(found) for found in answer.get('kvs', [])]

    async def put(
        self,
        key: str,
        payload: bytes,
        *,
        expected: int | None = None,
        lease: int = 0,
    ) -> int:
        """Write a value and return its revision."""
        request: Document = {
            'key': _encode(key),
            'value': base64.b64encode(payload).decode(),
        }
        if lease:
            request['lease'] = str(lease)
        answer = await self._write({'requestPut': request}, key, expected)
        return int(answer['header']['revision'])

    async def delete(self, key: str, *, expected: int | None = None) -> None:
        """Remove a value."""
        request = {'requestDeleteRange': {'key': _encode(key)}}
        await self._write(request, key, expected)

    async def watch(self, prefix: str) -> AsyncIterator[StoredValue]:
        """Iterate over writes below a prefix; ends when the watch breaks."""
        request = {
            'create_request': {
                'key': _encode(prefix),
                'range_end': _range_end(prefix),
                'progress_notify': True,
            },
        }
        timeout = aiohttp.ClientTimeout(total=None, sock_read=SILENT_WATCH_S)
        METRICS.add('store_calls_total', call='watch')
        try:
            async with self.session.post(
                f'{self.url}/v3/watch',
                json=request,
                timeout=timeout,
            ) as response:
                async for line in response.content:
                    for event in _watch_events(line):  # noqa: WPS220
                        yield event  # noqa: WPS220
        except (aiohttp.ClientError, TimeoutError) as error:
            raise StoreError(
                str(error),
                step='watch',
                peer=self.url,
            ) from error

    async def grant_lease(self, ttl_s: int) -> int:
        """Return a new lease."""
        answer = await self.call('lease/grant', {'TTL': str(ttl_s)})
        return int(answer['ID'])

    async def keep_lease(self, lease: int) -> float:
        """Renew a lease and return the seconds it has left, zero if gone."""
        answer = await self.call('lease/keepalive', {'ID': str(lease)})
        return float(answer.get('result', {}).get('TTL', 0))

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and remove its values."""
        await self.call('lease/revoke', {'ID': str(lease)})

    async def call(
        self,
        path: str,
        request: Document,
        *,
        writes: bool = False,
    ) -> Document:
        """Send one call and return the decoded answer.

        :param path: path below ``/v3/``
        :param writes: a lost answer leaves the outcome unknown
        :raises StoreError: the call took no effect
        :raises StoreUnknownError: the call may have taken effect
        """
        METRICS.add('store_calls_total', call=path)
        try:
            return await asyncio.wait_for(
                self._exchange(path, request),
                self.timeout_s,
            )
        except aiohttp.ClientConnectorError as error:
            raise StoreError(
                str(error),
                step=path,
                peer=self.url,
            ) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            kind = StoreUnknownError if writes else StoreError
            raise kind(str(error), step=path, peer=self.url) from error

    async def _exchange(self, path: str, request: Document) -> Document:
        """Post a document and decode the answer."""
        async with self.session.post(
            f'{self.url}/v3/{path}',
            json=request,
        ) as response:
            body = await response.read()
            response.raise_for_status()
        document: Document = msgspec.json.decode(body)
        return document

    async def _write(
        self,
        operation: Document,
        key: str,
        expected: int | None,
    ) -> Document:
        """Run a write, guarded by the expected revision if there is one."""
        compare: list[Document] = []
        if expected is not None:
            compare.append(
                {
                    'key': _encode(key),
                    'target': 'MOD',
                    'result': 'EQUAL',
                    'mod_revision': str(expected),
                },
            )
        answer = await self.call(
            'kv/txn',
            {'compare': compare, 'success': [operation]},
            writes=True,
        )
        if not answer.get('succeeded'):
            raise StoreConflictError(step='kv/txn', peer=key)
        return answer


def _encode(key: str) -> str:
    """Return a key in base 64."""
    return base64.b64encode(key.encode()).decode()


def _range_end(prefix: str) -> str:
    """Return the first key behind all keys with a prefix, in base 64."""
    raw = prefix.encode()
    return base64.b64encode(raw[:-1] + bytes((raw[-1] + 1,))).decode()


def _stored(found: Document) -> StoredValue:
    """Decode one key-value pair."""
    return StoredValue(
        base64.b64decode(found['key']).decode(),
        base64.b64decode(found.get('value', '')),
        int(found['mod_revision']),
    )


def _watch_events(line: bytes) -> list[StoredValue]:
    """Decode the writes of one line of a watch."""
    if not line.strip():
        return []
    answer = msgspec.json.decode(line).get('result', {})
    return [
        _stored(event['kv'])
        for event in answer.get('events', [])
        if event.get('type', 'PUT') == 'PUT'
    ]
