"""Client of the key-value service, tested against the stand-in over TCP."""

import asyncio

from dandelionplank.errors import (
    StoreConflictError,
    StoreError,
    StoreUnknownError,
)
from dandelionplank.platform.keyvalue import put_with_readback
from dandelionplank_standins.faults import Faults
from tests.fixtures import key_value_store, run_async


@run_async
async def test_put_conflicts_when_the_expected_revision_is_wrong():
    """A write that expects another revision changes nothing."""
    async with key_value_store() as (_, store):
        first = await store.put('key', b'one', expected=0)
        try:
            await store.put('key', b'two', expected=0)
        except StoreConflictError as error:
            assert error.peer == 'key'
        else:
            raise AssertionError('written twice')
        second = await store.put('key', b'two', expected=first)
        stored = await store.get('key')
        assert (stored.payload, stored.revision) == (b'two', second)


@run_async
async def test_write_is_confirmed_by_a_read_when_its_response_is_lost():
    """A write whose response is lost has still taken effect."""
    async with key_value_store() as (standin, store):
        standin.injector.faults = Faults(lose_answers=1.0)
        try:
            await put_with_readback(store, 'key', b'unique', 0)
        except StoreUnknownError as error:
            assert error.step == 'kv/txn'
        standin.injector.faults = Faults()
        stored = await store.get('key')
        assert stored.payload == b'unique'
        again = await put_with_readback(store, 'key', b'next', stored.revision)
        assert again > stored.revision


@run_async
async def test_outage_is_reported_as_unavailable_and_not_as_a_conflict():
    """An unreachable service has another error than one that refuses."""
    async with key_value_store() as (standin, store):
        standin.injector.faults = Faults(down=True)
        try:
            await store.get('key')
        except StoreConflictError as error:
            raise AssertionError from error
        except StoreError as error:
            assert error.code.name == 'STORE_UNAVAILABLE'
        else:
            raise AssertionError('read from a service that is down')


@run_async
async def test_values_are_removed_when_their_lease_expires_or_is_revoked():
    """Renewing an expired lease reports that no time is left."""
    async with key_value_store() as (_, store):
        lease = await store.grant_lease(1)
        await store.put('leader', b'r0', expected=0, lease=lease)
        assert await store.renew_lease(lease) == 1
        await asyncio.sleep(1.5)
        assert await store.get('leader') is None
        assert await store.renew_lease(lease) == 0
        other = await store.grant_lease(5)
        await store.put('leader', b'r1', expected=0, lease=other)
        await store.revoke_lease(other)
        assert await store.get('leader') is None


@run_async
async def test_watch_reports_writes_below_a_prefix():
    """A watch yields these writes in order and no others."""
    async with key_value_store() as (_, store):
        seen = []

        async def watch():
            async for stored in store.watch('wanted/'):
                seen.append(stored.key)

        watch_task = asyncio.create_task(watch())
        await asyncio.sleep(0.2)
        for key in ('wanted/a', 'other/b', 'wanted/c'):
            await store.put(key, b'x')
        await asyncio.sleep(0.2)
        watch_task.cancel()
        assert seen == ['wanted/a', 'wanted/c']
