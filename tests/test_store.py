"""The adapter to the key-value service, against the stand-in over TCP."""

import asyncio

from dandelionplank.errors import (
    StoreConflictError,
    StoreError,
    StoreUnknownError,
)
from dandelionplank.platform.keyvalue import put_settled
from dandelionplank_standins.faults import Faults
from tests.fixtures import key_value_store, run_async


@run_async
async def test_compare_and_swap():
    """A write with the wrong revision is a conflict and changes nothing."""
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
async def test_lost_answer_is_settled_by_reading_back():
    """A write whose answer is lost is known to have taken effect."""
    async with key_value_store() as (standin, store):
        standin.injector.faults = Faults(lose_answers=1.0)
        try:
            await put_settled(store, 'key', b'unique', 0)
        except StoreUnknownError as error:
            assert error.step == 'kv/txn'
        standin.injector.faults = Faults()
        stored = await store.get('key')
        assert stored.payload == b'unique'
        again = await put_settled(store, 'key', b'next', stored.revision)
        assert again > stored.revision


@run_async
async def test_outage_is_an_error_of_its_own():
    """A service that cannot be reached is told from one that refuses."""
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
async def test_a_lapsed_lease_takes_its_values_along():
    """A holder that does not renew loses its lease, and is told so."""
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
    """A watch yields the writes in order and nothing else."""
    async with key_value_store() as (_, store):
        seen = []

        async def watch():
            async for stored in store.watch('wanted/'):
                seen.append(stored.key)

        watching = asyncio.create_task(watch())
        await asyncio.sleep(0.2)
        for key in ('wanted/a', 'other/b', 'wanted/c'):
            await store.put(key, b'x')
        await asyncio.sleep(0.2)
        watching.cancel()
        assert seen == ['wanted/a', 'wanted/c']
