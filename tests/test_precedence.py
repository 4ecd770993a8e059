"""Tests of the order of accounts that decides where a request is placed."""

from dandelionplank.fairness.precedence import BEHIND_RANK, AccountPrecedence
from dandelionplank.fleet.peers import PeerLoadTable
from dandelionplank.routing.routes import ModelMemory
from dandelionplank.routing.scheduler import Scheduler
from tests.test_pool_owners import make_engine, make_waiting, make_work

NOW_S = 100.0
HIGHEST_LEVEL = 1_000_000


def make_scheduler(levels):
    """Return a scheduler of two engines, for accounts at given levels."""
    engines = [make_engine('cached'), make_engine('cold')]
    scheduler = Scheduler('a', lambda _: engines, PeerLoadTable())
    scheduler.engine_memory = {'llm': ModelMemory(16, 400_000)}
    for account, level in levels.items():
        scheduler.local_service_levels.charge(account, level, NOW_S)
    return scheduler


def fill(scheduler, name, account):
    """Put a second of work of an account into the queue of an engine."""
    load = next(
        load for load in scheduler.loads_of('llm') if load.target.name == name
    )
    load.pending_prefill_tokens = load.tokens_per_s
    load.start_waiting(account, load.tokens_per_s)
    return load


def test_queues_of_accounts_ahead_do_not_keep_a_prompt_from_a_target():
    """An account behind waited for the engine of its prefix alone.

    It counted the requests of others as ahead of its own, though these are
    served later.
    """
    work = make_work('shared', 'own', shared_tokens=500)
    for behind_level, expected in ((0, 'cold'), (HIGHEST_LEVEL, 'cached')):
        scheduler = make_scheduler(
            {'ahead': HIGHEST_LEVEL, 'behind': behind_level}
        )
        cached = fill(scheduler, 'cached', 'behind')
        cached.prefix_cache.record_prefill(work.parts[:-1])
        fill(scheduler, 'cold', 'ahead')
        waiting = make_waiting(work, objective_s=10, account='behind')
        assert scheduler.submit(waiting, NOW_S) is None
        assert waiting.assigned_target == expected


def test_no_account_precedes_one_within_the_stated_error():
    """Levels that differ less are equal; no two accounts precede each other."""
    levels = {'high': 100, 'near': 100 * BEHIND_RANK + 1, 'low': 10}
    expected = {'high': set(), 'near': set(), 'low': {'high', 'near'}}
    for account, preceded in expected.items():
        precedence = AccountPrecedence.from_levels(account, levels)
        assert preceded == set(filter(precedence.precedes, levels))
    low = AccountPrecedence.from_levels('low', levels)
    assert low.yielding_tokens({'high': 7, 'low': 2, 'unknown': 1}) == 7
