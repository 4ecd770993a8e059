"""Intents: a key is executed at most once, also when the store fails."""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from dandelionplank.errors import StoreError, StoreUnknownError
from dandelionplank.idempotency.intents import (
    Intent,
    IntentShard,
    IntentState,
    StoredResponse,
    Verdict,
    claim,
    mark_unknown,
    record_response,
    release,
)
from dandelionplank.router.intents import IntentTask
from dandelionplank.settings import LedgerSettings
from dandelionplank_standins.faults import Faults
from tests.fixtures import eventually, key_value_store, run_async

KEYS = ('k0', 'k1')
RESPONSE = StoredResponse(200, 'text/plain', b'ok', 'r-1', 10)


class IntentMachine(RuleBasedStateMachine):
    """Claims, settles and releases keys; some updates are applied twice."""

    def __init__(self):
        super().__init__()
        self.shard = IntentShard()
        self.claim_count = 0
        self.claimed = {}
        self.executed = set()

    @rule(
        key=st.sampled_from(KEYS),
        fingerprint=st.sampled_from(['f0', 'f1']),
        apply_twice=st.booleans(),
    )
    def claim(self, key, fingerprint, apply_twice):
        self.claim_count += 1
        requested = Intent(
            key,
            fingerprint,
            f'n{self.claim_count}',
            'r0',
            IntentState.CLAIMED,
            0,
        )
        for _ in range(1 + apply_twice):
            outcome = claim(self.shard, requested)
            self.shard = outcome.shard
        if outcome.verdict is Verdict.RUN:
            assert key not in self.claimed, 'two callers have claimed the key'
            assert key not in self.executed, 'the key was executed before'
            self.claimed[key] = requested
        elif outcome.verdict is Verdict.REPLAY:
            assert outcome.intent.answer == RESPONSE
            assert outcome.intent.fingerprint == fingerprint

    @rule(key=st.sampled_from(KEYS), apply_twice=st.booleans())
    def run_and_settle(self, key, apply_twice):
        intent = self.claimed.pop(key, None)
        if intent:
            self.executed.add(key)
            for _ in range(1 + apply_twice):
                self.shard = record_response(
                    self.shard, key, intent.nonce, RESPONSE
                )

    @rule(key=st.sampled_from(KEYS))
    def run_and_mark_unknown(self, key):
        intent = self.claimed.pop(key, None)
        if intent:
            self.executed.add(key)
            self.shard = mark_unknown(self.shard, key, intent.nonce)

    @rule(key=st.sampled_from(KEYS))
    def release_unexecuted(self, key):
        intent = self.claimed.pop(key, None)
        if intent:
            self.shard = release(self.shard, key, intent.nonce)

    @rule(key=st.sampled_from(KEYS))
    def late_release_of_another_claim(self, key):
        self.shard = release(self.shard, key, 'n0')


def test_key_is_executed_at_most_once_in_any_order():
    """No order of claims, duplicates and outcomes executes a key twice."""
    run_state_machine_as_test(
        IntentMachine,
        settings=settings(max_examples=150, stateful_step_count=30),
    )


def make_task(store, holder='r0', is_alive=True):
    """Return an intent task that considers other holders alive or not."""
    return IntentTask(
        store, 'test/', LedgerSettings(), holder, lambda _: is_alive
    )


@run_async
async def test_one_claim_is_granted_when_instances_claim_a_key_at_once():
    """One of 8 instances may execute the call, 7 find it in progress."""
    async with key_value_store() as (_, store):
        tasks = [make_task(store, f'r{number}') for number in range(8)]
        outcomes = await asyncio.gather(
            *(task.claim('key', 'same') for task in tasks)
        )
        verdicts = [outcome.verdict for outcome in outcomes]
        assert verdicts.count(Verdict.RUN) == 1
        assert verdicts.count(Verdict.IN_PROGRESS) == 7


@run_async
async def test_concurrent_claims_are_batched_into_few_writes():
    """Claims of one shard that are made at once share compare-and-swaps."""
    async with key_value_store() as (standin, store):
        task = make_task(store)
        task.settings = LedgerSettings(intent_shards=1)
        await asyncio.gather(
            *(task.claim(f'key-{number}', 'same') for number in range(200))
        )
        assert standin.calls['txn'] <= 4


@run_async
async def test_key_can_be_claimed_again_after_a_failed_write():
    """A claim of unknown outcome is released so that the key is usable."""
    async with key_value_store() as (standin, store):
        task = make_task(store)
        standin.injector.faults = Faults(down=True)
        try:
            await task.claim('key', 'same')
        except StoreError:
            standin.injector.faults = Faults()
        else:
            raise AssertionError('claimed while the store is down')

        async def claimed():
            outcome = await task.claim('key', 'same')
            return outcome.verdict is Verdict.RUN

        await eventually(claimed)


class OverwrittenStore:
    """Loses the response of the first write, which another writer follows.

    :param overwrite: changes the value before the first write is read back
    :param failing_read: number of the read that gets no response, from one
    """

    def __init__(self, store, overwrite, failing_read):
        """Hold the store that takes the calls."""
        self.store = store
        self.overwrite = overwrite
        self.failing_read = failing_read
        self.reads = 0
        self.writes = 0

    async def get(self, key):
        """Read one value."""
        self.reads += 1
        if self.reads == self.failing_read:
            raise StoreError(step='kv/range')
        return await self.store.get(key)

    async def put(self, key, payload, *, expected=None, lease=0):
        """Write a value."""
        self.writes += 1
        revision = await self.store.put(
            key, payload, expected=expected, lease=lease
        )
        if self.writes == 1:
            await self.overwrite()
            raise StoreUnknownError(step='kv/txn')
        return revision


async def claim_over_lost_write(store, failing_read):
    """Claim a key while another instance changes its shard.

    :return: verdict, or the error of the claim
    """
    one_shard = LedgerSettings(intent_shards=1)
    other = make_task(store, 'r1')
    task = make_task(
        OverwrittenStore(
            store, lambda: other.claim('other', 'same'), failing_read
        )
    )
    for each in (other, task):
        each.settings = one_shard
    try:
        outcome = await task.claim('key', 'same')
    except StoreError as error:
        return error
    return outcome.verdict


@run_async
async def test_claim_is_granted_when_another_write_follows_its_lost_write():
    """The claim is in the value that the other instance wrote."""
    async with key_value_store() as (_, store):
        outcome = await claim_over_lost_write(store, failing_read=0)
        assert outcome is Verdict.RUN


@run_async
async def test_key_is_released_when_reads_fail_after_a_lost_write():
    """The claim was stored, so a failed read after it must not keep it.

    Reads: the shard, the read-back, the shard again, its confirmation.
    """
    for failing_read in (2, 3, 4):
        async with key_value_store() as (_, store):
            outcome = await claim_over_lost_write(store, failing_read)
            assert isinstance(outcome, StoreUnknownError)
            task = make_task(store, 'r2')
            task.settings = LedgerSettings(intent_shards=1)

            async def claimed(claimant=task):
                later = await claimant.claim('key', 'same')
                return later.verdict is Verdict.RUN

            await eventually(claimed)


@run_async
async def test_claim_is_unknown_when_its_holder_has_stopped():
    """The stopped holder may have executed the call, so it is not retried."""
    async with key_value_store() as (_, store):
        await make_task(store, 'dead').claim('key', 'same')
        task = make_task(store, 'r1', is_alive=False)
        outcome = await task.claim('key', 'same')
        assert outcome.verdict is Verdict.UNKNOWN
        await task.flush(5)
        later = await make_task(store, 'r2').claim('key', 'same')
        assert later.verdict is Verdict.UNKNOWN
