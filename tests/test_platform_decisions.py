"""Tests of decisions under overload and faults, without sockets or clocks."""

import asyncio
import contextlib
import math
from unittest import mock

import msgspec
from hypothesis import example, given
from hypothesis import strategies as st
from nose2.tools import params

from bench.platform import configuration, target_entry
from dandelionplank.delivery.events import EventFramer
from dandelionplank.errors import StoreError
from dandelionplank.fairness.waiting import WaitingQueue, WaitingRequest
from dandelionplank.fleet.clock import boot_time_s
from dandelionplank.fleet.confirmation import WATCH_WAIT_SHARE, WatcherRole
from dandelionplank.fleet.follower import StoreFollower
from dandelionplank.fleet.peers import (
    PeerLoadTable,
    PeerReport,
    PrefillReport,
    ServiceLevels,
    TargetShare,
)
from dandelionplank.fleet.registry import TargetRegistry
from dandelionplank.fleet.view import (
    KEY_AGE_SHARE,
    READY_AGE_SHARE,
    FleetView,
)
from dandelionplank.platform import headers
from dandelionplank.platform.documents import (
    decode_configuration,
    decode_target,
)
from dandelionplank.routing.admission import LatencyEstimate, misses_objective
from dandelionplank.routing.budget import RetryLimits, WindowRetryBudget
from dandelionplank.routing.health import TargetHealth
from dandelionplank.routing.routes import (
    ModelMemory,
    RequestKind,
    RequestLimits,
    Route,
    RouteService,
    RouteTable,
    WeightedService,
)
from dandelionplank.routing.scheduler import Scheduler
from dandelionplank.routing.work import PromptPart, TokenWork
from dandelionplank.settings import Address
from dandelionplank.targets import Target, TargetState
from tests.fixtures import only, run_async

ROUTE = Route(
    'chat',
    'h',
    '/',
    RequestKind.STREAM,
    (WeightedService('llm', 1),),
    timeout_s=10,
    objective_s=1.0,
)


def make_target(name, **changes):
    """Return a target."""
    address = Address('127.0.0.1', 1)
    return Target(name, 'llm', address, 'a', limit=64, **changes)


def make_scheduler(*names, peer_loads=None, slots=64):
    """Return a scheduler over engines."""
    engines = [make_target(name) for name in names]
    scheduler = Scheduler(
        'a',
        lambda service: engines,
        peer_loads or PeerLoadTable(),
        jitter=lambda: 0.5,
    )
    scheduler.configure(
        RouteTable.from_routes(
            1,
            (ROUTE,),
            {},
            (RouteService('llm', ModelMemory(slots, 500_000)),),
            RequestLimits(),
        ),
    )
    return scheduler


def make_work(prefix_id, own_id, shared_tokens=12_000, own_tokens=2000):
    """Return a prompt of a shared part and a part of its own."""
    return TokenWork(
        'm',
        shared_tokens + own_tokens,
        100,
        (PromptPart(prefix_id, shared_tokens), PromptPart(own_id, own_tokens)),
    )


def make_request(account, work, now_s=0.0, timeout_s=3.0):
    """Return a waiting request that arrives now."""
    return WaitingRequest(
        f'{account}-{now_s}',
        account,
        ROUTE.objective_s,
        'llm',
        work,
        now_s,
        now_s + timeout_s,
        cost=work.cost,
    )


def complete_requests(scheduler, grants, now_s):
    """Complete granted requests whose first event arrives at ``now_s``."""
    for grant in grants:
        grant.load.record_first_event(grant.sent, now_s)
        grant.load.record_end(grant.sent)


def test_requests_with_a_common_prefix_go_to_the_engine_that_caches_it():
    """Requests with a common prefix go to one engine while it has capacity."""
    scheduler = make_scheduler('a', 'b', 'c')
    used = set()
    for number in range(20):
        now_s = float(number)
        waiting = make_request(
            'x', make_work('subject', f'own-{number}'), now_s
        )
        assert scheduler.submit(waiting, now_s) is None
        grant = only(scheduler.run_pass('llm', now_s))
        used.add(grant.load.target.name)
        complete_requests(scheduler, [grant], now_s + 0.4)
    assert len(used) == 1


def test_uncached_prefixes_spread_over_all_engines():
    """A burst of new prefixes fills all engines, not only the preferred."""
    scheduler = make_scheduler('a', 'b', 'c', 'd')
    for number in range(8):
        waiting = make_request('x', make_work(f's{number}', f'o{number}'))
        scheduler.submit(waiting, 0.0)
    granted = scheduler.run_pass('llm', 0.0)
    assert len({grant.load.target.name for grant in granted}) == 4


def test_a_prefill_reported_by_a_peer_decides_the_placement():
    """Prefixes that a peer sent to an engine count as cached there."""
    scheduler = make_scheduler('a', 'b', 'c')
    scheduler.submit(make_request('x', make_work('other', 'o')), 0.0)
    scheduler.run_pass('llm', 0.0)
    for name in ('a', 'b', 'c'):
        receiver = make_scheduler('a', 'b', 'c')
        for each in ('a', 'b', 'c'):
            receiver.load_of(make_target(each))
        receiver.record_prefill_reports(
            [PrefillReport(name, (('subject', 12_000),))]
        )
        receiver.submit(make_request('x', make_work('subject', 'own')), 0.0)
        grant = only(receiver.run_pass('llm', 0.0))
        assert grant.load.target.name == name
        assert grant.sent.uncached_tokens == 2000


def test_an_engines_own_queue_stays_short():
    """A burst waits in the scheduler instead of in the engine."""
    scheduler = make_scheduler('a')
    for number in range(30):
        work = make_work('s', f'o{number}', own_tokens=3000)
        waiting = make_request('x', work)
        waiting.deadline_s = 100
        scheduler.queues.setdefault('llm', WaitingQueue()).add(waiting)
    granted = scheduler.run_pass('llm', 0.0)
    load = scheduler.loads['a']
    assert granted
    assert load.prefill_s(load.pending_prefill_tokens) < ROUTE.objective_s


def test_a_request_is_not_granted_just_before_its_deadline():
    """Its response was cut off after some milliseconds."""
    scheduler = make_scheduler('a')
    waiting = make_request('x', make_work('s', 'own'), timeout_s=3.0)
    scheduler.queues.setdefault('llm', WaitingQueue()).add(waiting)
    assert not scheduler.expire(2.8)
    assert only(scheduler.expire(2.98)).waiting is waiting
    assert not scheduler.run_pass('llm', 2.98)


def test_a_request_with_a_short_deadline_waits_until_it():
    """One that may still meet its objective can be answered in less time."""
    scheduler = make_scheduler('a')
    waiting = make_request('x', make_work('s', 'own'), timeout_s=0.1)
    scheduler.queues.setdefault('llm', WaitingQueue()).add(waiting)
    assert not scheduler.expire(0.05)
    assert scheduler.run_pass('llm', 0.05)


def test_requests_that_would_miss_their_objective_are_rejected_at_once():
    """At three times the capacity, requests are rejected on arrival."""
    scheduler = make_scheduler('a')
    rejections = []
    for number in range(60):
        now_s = number * 0.02
        waiting = make_request('x', make_work('s', f'o{number}'), now_s)
        rejection = scheduler.submit(waiting, now_s)
        if rejection:
            rejections.append(rejection)
        scheduler.run_pass('llm', now_s)
    assert rejections
    assert all(each.retry_after_s > 0 for each in rejections)


def test_a_burst_of_one_account_does_not_delay_a_small_account():
    """One account's burst does not delay the first request of another."""
    queue = WaitingQueue()
    for number in range(50):
        queue.add(make_request('flood', make_work('s', f'o{number}')))
    late = make_request('small', make_work('t', 'p'), now_s=0.5)
    queue.add(late)
    service_levels = {'flood': 500_000, 'small': 1000}
    order = list(queue.in_fair_order(service_levels, 0.6))
    assert order[0] is late
    assert len(order) == 51


def test_cached_prompts_are_charged_in_full():
    """Cached prompts are charged in full, so they earn no extra service."""
    scheduler = make_scheduler('a')
    for number, cached in enumerate((False, True)):
        account = f'account-{number}'
        waiting = make_request(account, make_work('s', f'o{number}'))
        scheduler.submit(waiting, 0.0)
        grant = only(scheduler.run_pass('llm', 0.0))
        assert (grant.sent.uncached_tokens < 12_000) is cached
        complete_requests(scheduler, [grant], 0.4)
    levels = scheduler.local_service_levels.levels
    assert math.isclose(levels['account-0'], levels['account-1'])


def test_requests_that_missed_their_objective_need_an_idle_engine():
    """A request that missed its objective waits until no prefill is pending."""
    scheduler = make_scheduler('a')
    scheduler.submit(
        make_request('x', make_work('s', 'o1', own_tokens=500)), 0.0
    )
    first = only(scheduler.run_pass('llm', 0.0))
    scheduler.queues['llm'].add(make_request('y', make_work('s', 'o2'), -1.5))
    assert not scheduler.run_pass('llm', 0.1)
    complete_requests(scheduler, [first], 0.2)
    assert len(scheduler.run_pass('llm', 0.2)) == 1


def test_accounts_with_equal_levels_alternate_by_cost():
    """Accounts with equal levels alternate, weighted by request cost."""
    queue = WaitingQueue()
    for number in range(4):
        queue.add(
            make_request('a', make_work('s', f'a{number}', shared_tokens=0))
        )
        queue.add(
            make_request('b', make_work('s', f'b{number}', shared_tokens=9000))
        )
    order = [each.account for each in queue.in_fair_order({}, 0.1)]
    assert order[:4].count('a') >= 2
    assert order.index('b') < 2


def test_requests_that_missed_their_objective_are_served_last():
    """A late request is served after one of an account with a high level."""
    queue = WaitingQueue()
    late = make_request('a', make_work('s', 'x'), now_s=0.0)
    punctual = make_request('b', make_work('s', 'y'), now_s=2.0)
    queue.add(late)
    queue.add(punctual)
    assert list(queue.in_fair_order({'b': 10**9}, 2.1)) == [punctual, late]


@given(
    charges=st.lists(
        st.tuples(st.sampled_from('abcd'), st.floats(1, 50_000)),
        max_size=40,
    ),
)
def test_the_fair_order_contains_every_request_once(charges):
    """The order contains each request once, whatever the levels are."""
    queue = WaitingQueue()
    waiting = [
        make_request(account, make_work('s', str(number)), now_s=number / 10)
        for number, (account, _) in enumerate(charges)
    ]
    for each in waiting:
        queue.add(each)
    order = list(queue.in_fair_order(dict(charges), 1.5))
    assert len(order) == len(waiting)
    assert {id(each) for each in order} == {id(each) for each in waiting}
    for each in waiting:
        assert queue.remove(each)
    assert queue.count == 0
    assert not queue.costs


@params((0.2, 1.0, False), (1.5, 1.0, True), (0.99, 0.5, True))
def test_admission_depends_on_the_time_left_for_the_objective(
    wait_s, left_s, expected
):
    """A request misses its objective if the estimate exceeds the time left."""
    estimate = LatencyEstimate(wait_s - 0.15, 0)
    assert misses_objective(estimate, left_s) is expected


@given(
    events=st.lists(st.integers(1, 10**6), max_size=12),
    cuts=st.lists(st.integers(0, 600), max_size=20),
    newline=st.sampled_from(['\n', '\r\n']),
)
def test_events_are_complete_for_any_split_of_the_stream(events, cuts, newline):
    """However the bytes are split, each event is returned once, complete."""
    raw = [
        f'id: {number}{newline}data: x{newline}{newline}'.encode()
        for number in events
    ]
    joined = b''.join(raw)
    framer = EventFramer()
    edges = sorted({0, len(joined), *(cut % (len(joined) + 1) for cut in cuts)})
    found = []
    for start, stop in zip(edges, edges[1:], strict=False):
        found.extend(framer.feed(joined[start:stop]))
    assert [event.raw for event in found] == raw
    assert [event.event_id for event in found] == events
    assert not framer.remainder


def test_retries_stay_within_the_budget_of_the_fleet():
    """Four instances together stay within the retry budget in every window."""
    budgets = [WindowRetryBudget(RetryLimits(0.2, 56, 10)) for _ in range(4)]
    retries = []
    for step in range(4000):
        now_s = step / 100
        budget = budgets[step % 4]
        budget.record_request(now_s)
        if budget.take(now_s, 4):
            retries.append(now_s)
    for start in range(30):
        inside = [at for at in retries if start <= at < start + 10]
        assert len(inside) <= 0.2 * 1000 + 56


def make_report(sender, sequence, incarnation=1, **targets):
    """Return a peer report."""
    return PeerReport(
        sender,
        incarnation,
        sequence,
        0.1,
        1,
        0.5,
        False,
        targets,
        {'x': 100.0},
    )


def test_duplicate_and_reordered_peer_reports_are_ignored():
    """Only the latest report of an incarnation counts, until it expires."""
    peer_loads = PeerLoadTable()
    assert peer_loads.receive(make_report('p', 2, t=TargetShare(10, 1, 0)), 0.0)
    assert not peer_loads.receive(
        make_report('p', 1, t=TargetShare(99, 9, 0)), 0.1
    )
    assert not peer_loads.receive(
        make_report('p', 2, t=TargetShare(99, 9, 0)), 0.1
    )
    assert peer_loads.share_of('t').running == 1
    assert peer_loads.receive(
        make_report('p', 1, incarnation=2, t=TargetShare(5, 2, 0)), 0.2
    )
    assert peer_loads.share_of('t').running == 2
    assert math.isclose(peer_loads.min_view_age_s(0.4), 0.7)
    assert peer_loads.expire(5.0) == ('p',)
    assert peer_loads.share_of('t').running == 0
    assert not peer_loads.service_levels(5.0)
    assert not peer_loads.shares


def test_service_levels_decay():
    """The level of an account that is no longer served decays to nothing."""
    levels = ServiceLevels()
    levels.charge('a', 1000, 0.0)
    assert 300 < levels.decay_to(2.0)['a'] < 400
    assert not levels.decay_to(60.0)


def test_draining_is_final_for_one_incarnation():
    """Only a later start, not an older entry, restores a drained target."""
    registry = TargetRegistry()
    registry.put(make_target('t', started_ms=5))
    registry.put(make_target('t', started_ms=5, state=TargetState.DRAINING))
    assert not registry.put(make_target('t', started_ms=5))
    assert not registry.of_service('llm')
    assert registry.put(make_target('t', started_ms=6))
    assert not registry.put(make_target('t', started_ms=4))


def test_a_missing_target_stays_until_its_grace_has_passed():
    """A target whose entry expired in an outage may be listed again."""
    registry = TargetRegistry()
    registry.put(make_target('t'))
    registry.put(make_target('u'))
    registry.mark_missing('t', 2.0)
    assert not registry.expire(1.9)
    assert len(registry.of_service('llm')) == 2
    registry.put(make_target('t'))
    assert not registry.expire(2.1)
    registry.mark_missing('t', 3.0)
    assert registry.expire(3.1) == ('t',)


def test_pauses_of_an_unreachable_target_grow_until_it_responds():
    """Each pause is longer than the last, until the target responds."""
    health = TargetHealth()
    health.record_unreachable(0.0)
    first_s = health.paused_until_s
    health.record_unreachable(first_s)
    assert health.paused_until_s - first_s > first_s
    health.record_response(first_s, is_success=True)
    assert not health.is_paused(health.paused_until_s)


def test_the_age_of_a_view_includes_time_in_suspension():
    """Without a recent confirmation, keys are neither admitted nor rejected.

    The age is measured in boot time, which includes time in suspension.
    """
    view = FleetView(5.0)
    assert not view.may_admit_keys
    assert not view.may_reject_unknown
    view.confirm(boot_time_s())
    assert view.may_admit_keys
    view.confirmed_s = boot_time_s() - 4.5
    assert not view.may_admit_keys


@params(
    b'',
    b'\xff',
    b'[]',
    b'{}',
    b'"text"',
    b'{"Service":"s","Addr":7,"Zone":"a","Slots":8,"State":"ready"}',
    b'{"Service":"s","Addr":"x","Zone":"a","Slots":8,"State":"ready"}',
    b'{"Service":"s","Addr":"1.1.1.1:1","Zone":"a","Slots":"8","State":"ready"}',
    b'{"Service":"s","Addr":"1.1.1.1:1","Zone":"a","Slots":8,"State":"odd"}',
)
def test_malformed_documents_raise_store_errors(document):
    """Documents of other writers that cannot be decoded raise StoreError."""
    for decode in (lambda raw: decode_target('t', raw), decode_configuration):
        try:
            decode(document)
        except StoreError:
            continue
        raise AssertionError(document)


@given(document=st.binary(max_size=200))
def test_random_documents_are_decoded_or_raise_store_errors(document):
    """Random bytes raise no other error than StoreError."""
    for decode in (lambda raw: decode_target('t', raw), decode_configuration):
        with contextlib.suppress(StoreError):
            decode(document)


def test_documents_are_converted_to_internal_types():
    """Routes, keys and targets get the internal names and units."""
    table = decode_configuration(msgspec.json.encode(configuration(4)))
    route = table.find('shop.example', '/draft/a')
    assert (route.kind, route.can_resume) == (RequestKind.STREAM, True)
    assert math.isclose(route.timeout_s, 3)
    assert table.accounts == {'key-a': 'account-a'}
    assert table.services['llm'].memory.tokens == 90_000
    entry = msgspec.json.encode(target_entry('t', 's', '10.0.0.1:80', New=1))
    assert decode_target('t', entry).address.text == '10.0.0.1:80'


def test_the_route_with_the_longest_prefix_matches():
    """Routes of a host are tried from the longest to the shortest prefix."""
    routes = [
        Route(name, 'h', prefix, RequestKind.SAFE, (), 1, 1)
        for name, prefix in (('a', '/x/'), ('b', '/x/y/'), ('c', '/'))
    ]
    table = RouteTable.from_routes(1, tuple(routes), {}, (), RequestLimits())
    found = [table.find('h', path).name for path in ('/x/y/z', '/x/q', '/q')]
    assert found == ['b', 'a', 'c']
    assert table.find('other', '/') is None


def test_reserved_and_hop_by_hop_headers_are_not_forwarded():
    """A caller cannot forge the headers that a gateway adds."""
    received = [
        ('Connection', 'close, X-Hop'),
        ('X-Hop', '1'),
        ('X-Kept', '2'),
        ('dandelionplank-tenant', 'forged'),
        ('Kv-From', '1.1.1.1:1/2'),
        ('Dandelionplank-Hold', '3'),
        ('Transfer-Encoding', 'chunked'),
    ]
    sent = headers.target_headers(
        received,
        target='t',
        account='a',
        time_left_s=1.5,
    )
    assert dict(sent) == {
        'X-Kept': '2',
        'Dandelionplank-Expect-Instance': 't',
        'Dandelionplank-Deadline-Ms': '1500',
        'Dandelionplank-Tenant': 'a',
    }


@given(text=st.text(max_size=60))
@example(text='²,²')
@example(text='nan')
@example(text='1,2,nan,inf')
def test_any_header_value_is_decoded_or_ignored(text):
    """Malformed values of the reserved headers raise no error."""
    request_metadata = headers.request_metadata(
        {
            'Dandelionplank-Token-Usage': text,
            'Dandelionplank-Prefix-Hash': text,
            'Dandelionplank-Deadline-Ms': text,
        },
    )
    assert request_metadata.key == ''
    headers.response_metadata(200, {'Dandelionplank-Engine-Load': text})


def full_scheduler(engines, waiting):
    """Return a scheduler whose engines are full while requests wait."""
    scheduler = make_scheduler(*(f'e{number}' for number in range(engines)))
    queue = scheduler.queues.setdefault('llm', WaitingQueue())
    for number in range(engines + waiting):
        work = make_work(f's{number}', f'o{number}', own_tokens=14_000)
        queue.add(make_request('x', work, timeout_s=9))
    while scheduler.run_pass('llm', 0.0):
        assert queue.count >= waiting
    assert queue.count == waiting
    return scheduler


def count_placements(scheduler, times):
    """Count the placements of passes at given times."""
    policy = scheduler.policies['llm']
    choose = policy.choose
    with mock.patch.object(policy, 'choose', side_effect=choose) as counted:
        for now_s in times:
            scheduler.run_pass('llm', now_s)
    return counted.call_count


def test_passes_do_not_place_requests_again_while_targets_are_full():
    """Many events in a large, full fleet cost one placement per request."""
    scheduler = full_scheduler(engines=70, waiting=40)
    events = [0.051 + number * 0.0002 for number in range(200)]
    assert count_placements(scheduler, events) == 40


def test_a_waiting_request_is_granted_once_its_target_has_capacity():
    """Free capacity ends the wait before the next placement is due."""
    scheduler = full_scheduler(engines=2, waiting=2)
    assert not scheduler.run_pass('llm', 0.051)
    for load in scheduler.loads.values():
        load.pending_prefill_tokens = 0
    assert scheduler.run_pass('llm', 0.052)


def test_the_view_stays_recent_enough_during_a_watch():
    """Two watches in a row fit in the maximum view age.

    Each watch confirms the view only as of its start.
    """
    assert 2 * WATCH_WAIT_SHARE <= READY_AGE_SHARE < KEY_AGE_SHARE


def test_an_account_with_less_service_gets_a_higher_queue_limit():
    """Another instance's burst must not keep out the small accounts."""
    peer_loads = PeerLoadTable()
    shares = {'a': TargetShare(4000, 4, 90_000)}
    service = {'flood': 500_000.0, 'small': 1000.0}
    peer_report = PeerReport('p', 1, 1, 1.0, 1, 0.1, False, shares, service)
    granted = {}
    for account in ('flood', 'small'):
        scheduler = make_scheduler('a', peer_loads=peer_loads)
        peer_loads.receive(peer_report, 0.0)
        scheduler.submit(make_request(account, make_work('s', 'o')), 0.0)
        granted[account] = scheduler.run_pass('llm', 0.0)
    assert not granted['flood']
    assert granted['small']


class ChangingStore:
    """A store that reports a change at every call."""

    def __init__(self):
        """Initialise the number of calls."""
        self.calls = 0

    async def resync(self, sink):
        """Return a configuration without targets at once."""
        sink.configured(
            decode_configuration(msgspec.json.encode(configuration(1)))
        )
        return frozenset(), 1

    async def follow(self, sink, revision, wait_s):
        """Return the next revision at once."""
        self.calls += 1
        await asyncio.sleep(0)
        return revision + 1


@run_async
async def test_changes_in_quick_succession_are_read_together():
    """Targets that start one after another do not cost a store call each."""
    store = ChangingStore()
    view = FleetView(5.0)
    confirmer = mock.Mock(
        watcher_role=WatcherRole('a', ('a',), is_shared=False),
        query=mock.AsyncMock(return_value=None),
    )
    follower = StoreFollower(view, store, 1.2, lambda names: None, confirmer)
    task = asyncio.ensure_future(follower.run())
    await asyncio.sleep(0.7)
    task.cancel()
    assert 1 <= store.calls <= 3


def test_a_burst_of_new_prefixes_fills_a_large_fleet_at_once():
    """Only some engines are candidates for a prompt, but none stays idle."""
    scheduler = make_scheduler(*(f'e{number}' for number in range(70)))
    for number in range(70):
        work = make_work(f's{number}', f'o{number}')
        assert scheduler.submit(make_request('x', work), 0.0) is None
    granted = scheduler.run_pass('llm', 0.0) + scheduler.run_pass('llm', 0.0)
    assert len({grant.load.target.name for grant in granted}) == 70


def test_a_busy_engine_with_the_cached_prefix_is_a_candidate_in_a_large_fleet():
    """The candidates are not only the engines with the least load."""
    scheduler = make_scheduler(*(f'e{number:02}' for number in range(70)))
    for number in range(70):
        scheduler.load_of(make_target(f'e{number:02}'))
    scheduler.record_prefill_reports(
        [PrefillReport('e69', (('subject', 12_000),))]
    )
    scheduler.loads['e69'].pending_prefill_tokens = 4000
    scheduler.submit(make_request('x', make_work('subject', 'own')), 0.0)
    grant = only(scheduler.run_pass('llm', 0.0))
    assert grant.load.target.name == 'e69'


def test_a_target_that_fails_at_once_does_not_attract_requests():
    """A failing target looks idle, but gets few requests.

    This holds until its failures have decayed.
    """
    scheduler = make_scheduler('good', 'bad')
    scheduler.configure(
        RouteTable.from_routes(
            1,
            (ROUTE,),
            {},
            (RouteService('llm'),),
            RequestLimits(),
        ),
    )
    failures = 0
    for number in range(100):
        now_s = number * 0.02
        waiting = WaitingRequest(
            f'r{number}',
            '',
            ROUTE.objective_s,
            'llm',
            None,
            now_s,
            now_s + 3,
            cost=0,
        )
        scheduler.submit(waiting, now_s)
        grant = only(scheduler.run_pass('llm', now_s))
        is_success = grant.load.target.name == 'good'
        failures += not is_success
        grant.load.health.record_response(now_s, is_success=is_success)
        if not is_success:
            grant.load.record_end(grant.sent)
        elif grant.load.running > 5:
            grant.load.running -= 1
    assert failures < 10
    odds = scheduler.loads['bad'].health.failure_odds
    assert odds(2) * 10 > 1
    assert odds(30) * 100 < 1


def test_a_prompt_longer_than_its_objective_is_served_late_not_never():
    """Refused at an idle engine, the largest prompts would never be served."""
    scheduler = make_scheduler('a', 'b')
    large = make_work('subject', 'own', own_tokens=60_000)
    assert scheduler.submit(make_request('x', large), 0.0) is None
    assert scheduler.run_pass('llm', 0.0)


def test_a_prompt_longer_than_its_objective_does_not_wait_for_long():
    """Where work waits already, it is refused like any other."""
    scheduler = make_scheduler('a')
    scheduler.load_of(make_target('a')).pending_prefill_tokens = 60_000
    large = make_work('subject', 'own', own_tokens=60_000)
    rejection = scheduler.submit(make_request('x', large), 0.0)
    assert rejection.retry_after_s > 0


def test_the_largest_prompts_are_served_at_the_crest():
    """Twice the demand that one engine can prefill, one prompt in ten large."""
    scheduler = make_scheduler('a')
    served = {True: 0, False: 0}
    for number in range(400):
        now_s = number * 0.1
        is_large = number % 10 == 0
        work = make_work(
            'subject', f'o{number}', own_tokens=50_000 if is_large else 5000
        )
        scheduler.submit(make_request('x', work, now_s), now_s)
        for load in scheduler.loads.values():
            load.pending_prefill_tokens = max(
                0.0, load.pending_prefill_tokens - 4500
            )
        for grant in scheduler.run_pass('llm', now_s):
            served[grant.waiting.work.prompt_tokens > 30_000] += 1
            grant.load.running -= 1
        scheduler.expire(now_s)
    assert served[True] / 40 >= 0.5 * served[False] / 360, served
