"""Adapter to a key-value service with the etcd v3 JSON interface."""

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
WATCH_IDLE_TIMEOUT_S = 30.0


class EtcdStore:
    """A client of the key-value service.

    :param session: connections to use; the store closes it
    :param url: base URL of the service
    :param timeout_s: longest wait for a response
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        timeout_s: float,
    ) -> None:
        """Hold the session and the URL; no call is made yet."""
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
        """Build a store with its own session.

        :param tls: TLS context for an ``https`` URL, ``None`` for the default
        """
        connector = aiohttp.TCPConnector(ssl=tls or True)
        session = aiohttp.ClientSession(connector=connector)
        return cls(session, url, timeout_s)

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def get(self, key: str) -> StoredValue | None:
        """Read one value."""
        response = await self.call('kv/range', {'key': _encode_key(key)})
        found = response.get('kvs', [])
        return _stored_value(found[0]) if found else None

    async def scan(self, prefix: str) -> list[StoredValue]:
        """Read all values below a prefix, in the order of their keys."""
        response = await self.call(
            'kv/range',
            {'key': _encode_key(prefix), 'range_end': _range_end(prefix)},
        )
        return [_stored_value(found) for found in response.get('kvs', [])]

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
            'key': _encode_key(key),
            'value': base64.b64encode(payload).decode(),
        }
        if lease:
            request['lease'] = str(lease)
        response = await self._write({'requestPut': request}, key, expected)
        return int(response['header']['revision'])

    async def delete(self, key: str, *, expected: int | None = None) -> None:
        """Remove a value."""
        request = {'requestDeleteRange': {'key': _encode_key(key)}}
        await self._write(request, key, expected)

    async def watch(self, prefix: str) -> AsyncIterator[StoredValue]:
        """Iterate over writes below a prefix; ends when the watch breaks."""
        request = {
            'create_request': {
                'key': _encode_key(prefix),
                'range_end': _range_end(prefix),
                'progress_notify': True,
            },
        }
        timeout = aiohttp.ClientTimeout(
            total=None, sock_read=WATCH_IDLE_TIMEOUT_S
        )
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
        """Create a lease and return its id."""
        response = await self.call('lease/grant', {'TTL': str(ttl_s)})
        return int(response['ID'])

    async def renew_lease(self, lease: int) -> float:
        """Renew a lease and return the seconds it has left, zero if expired."""
        response = await self.call('lease/keepalive', {'ID': str(lease)})
        return float(response.get('result', {}).get('TTL', 0))

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and remove its values."""
        await self.call('lease/revoke', {'ID': str(lease)})

    async def call(
        self,
        path: str,
        request: Document,
        *,
        writes: bool = False,
    ) -> Document:
        """Send one call and return the decoded response.

        :param path: path below ``/v3/``
        :param writes: whether a lost response leaves the outcome unknown
        :raises StoreError: the call took no effect
        :raises StoreUnknownError: the call may have taken effect
        """
        METRICS.add('store_calls_total', call=path)
        try:
            return await asyncio.wait_for(
                self._post(path, request),
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

    async def _post(self, path: str, request: Document) -> Document:
        """Post a document and decode the response."""
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
        """Run a write, conditional on the expected revision if there is one."""
        compare: list[Document] = []
        if expected is not None:
            compare.append(
                {
                    'key': _encode_key(key),
                    'target': 'MOD',
                    'result': 'EQUAL',
                    'mod_revision': str(expected),
                },
            )
        response = await self.call(
            'kv/txn',
            {'compare': compare, 'success': [operation]},
            writes=True,
        )
        if not response.get('succeeded'):
            raise StoreConflictError(step='kv/txn', peer=key)
        return response


def _encode_key(key: str) -> str:
    """Return a key in base64."""
    return base64.b64encode(key.encode()).decode()


def _range_end(prefix: str) -> str:
    """Return the first key after all keys with a prefix, in base64."""
    raw = prefix.encode()
    return base64.b64encode(raw[:-1] + bytes((raw[-1] + 1,))).decode()


def _stored_value(found: Document) -> StoredValue:
    """Decode one key-value pair."""
    return StoredValue(
        base64.b64decode(found['key']).decode(),
        base64.b64decode(found.get('value', '')),
        int(found['mod_revision']),
    )


def _watch_events(line: bytes) -> list[StoredValue]:
    """Decode the writes in one line of a watch stream."""
    if not line.strip():
        return []
    response = msgspec.json.decode(line).get('result', {})
    return [
        _stored_value(event['kv'])
        for event in response.get('events', [])
        if event.get('type', 'PUT') == 'PUT'
    ]
