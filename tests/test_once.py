"""Intents: at most one run for a key, whatever the store does."""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from dandelionplank.errors import StoreError
from dandelionplank.once.intents import (
    Intent,
    IntentShard,
    IntentState,
    StoredAnswer,
    Verdict,
    claim,
    mark_unknown,
    release,
    settle,
)
from dandelionplank.router.intents import IntentTask
from dandelionplank.settings import LedgerSettings
from dandelionplank_standins.faults import Faults
from tests.fixtures import eventually, key_value_store, run_async

KEYS = ('k0', 'k1')
ANSWER = StoredAnswer(200, 'text/plain', b'ok', 'r-1', 10)


class IntentMachine(RuleBasedStateMachine):
    """Claims by many callers; each claim is written twice or once."""

    def __init__(self):
        super().__init__()
        self.shard = IntentShard()
        self.number = 0
        self.held = {}
        self.ran = set()

    @rule(
        key=st.sampled_from(KEYS),
        fingerprint=st.sampled_from(['f0', 'f1']),
        again=st.booleans(),
    )
    def claim(self, key, fingerprint, again):
        self.number += 1
        wanted = Intent(
            key, fingerprint, f'n{self.number}', 'r0', IntentState.CLAIMED, 0
        )
        for _ in range(1 + again):
            outcome = claim(self.shard, wanted)
            self.shard = outcome.shard
        if outcome.verdict is Verdict.RUN:
            assert key not in self.held, 'two callers hold the key'
            assert key not in self.ran, 'the key ran before'
            self.held[key] = wanted
        elif outcome.verdict is Verdict.REPEAT:
            assert outcome.intent.answer == ANSWER
            assert outcome.intent.fingerprint == fingerprint

    @rule(key=st.sampled_from(KEYS), again=st.booleans())
    def run_and_settle(self, key, again):
        held = self.held.pop(key, None)
        if held:
            self.ran.add(key)
            for _ in range(1 + again):
                self.shard = settle(self.shard, key, held.nonce, ANSWER)

    @rule(key=st.sampled_from(KEYS))
    def run_and_lose(self, key):
        held = self.held.pop(key, None)
        if held:
            self.ran.add(key)
            self.shard = mark_unknown(self.shard, key, held.nonce)

    @rule(key=st.sampled_from(KEYS))
    def refuse(self, key):
        held = self.held.pop(key, None)
        if held:
            self.shard = release(self.shard, key, held.nonce)

    @rule(key=st.sampled_from(KEYS))
    def late_release_of_another(self, key):
        self.shard = release(self.shard, key, 'n0')


def test_a_key_never_runs_twice():
    """No order of claims, repeats and outcomes runs a key twice."""
    run_state_machine_as_test(
        IntentMachine,
        settings=settings(max_examples=150, stateful_step_count=30),
    )


def make_task(store, holder='r0', alive=True):
    """Return a task that writes intents."""
    return IntentTask(store, 'test/', LedgerSettings(), holder, lambda _: alive)


@run_async
async def test_claims_of_many_instances_race():
    """Of many instances that claim a key at once, one may run."""
    async with key_value_store() as (_, store):
        tasks = [make_task(store, f'r{number}') for number in range(8)]
        outcomes = await asyncio.gather(
            *(task.claim('key', 'same') for task in tasks)
        )
        verdicts = [outcome.verdict for outcome in outcomes]
        assert verdicts.count(Verdict.RUN) == 1
        assert verdicts.count(Verdict.IN_PROGRESS) == 7


@run_async
async def test_many_claims_share_a_write():
    """Claims that wait together are committed by few writes."""
    async with key_value_store() as (standin, store):
        task = make_task(store)
        task.settings = LedgerSettings(intent_shards=1)
        await asyncio.gather(
            *(task.claim(f'key-{number}', 'same') for number in range(200))
        )
        assert standin.calls['txn'] <= 4


@run_async
async def test_claim_whose_write_is_lost_can_be_claimed_later():
    """A claim of unknown outcome is given up, so the key is not stuck."""
    async with key_value_store() as (standin, store):
        task = make_task(store)
        standin.injector.faults = Faults(down=True)
        try:
            await task.claim('key', 'same')
        except StoreError:
            standin.injector.faults = Faults()
        else:
            raise AssertionError('claimed while the store is out')

        async def claimed():
            outcome = await task.claim('key', 'same')
            return outcome.verdict is Verdict.RUN

        await eventually(claimed)


@run_async
async def test_key_of_a_dead_holder_is_unknown():
    """A claim whose holder has ended may have run, and is said so."""
    async with key_value_store() as (_, store):
        await make_task(store, 'dead').claim('key', 'same')
        task = make_task(store, 'r1', alive=False)
        outcome = await task.claim('key', 'same')
        assert outcome.verdict is Verdict.UNKNOWN
        await task.flush(5)
        again = await make_task(store, 'r2').claim('key', 'same')
        assert again.verdict is Verdict.UNKNOWN
