"""Decisions at the worst load, replayed without sockets or clocks."""

import asyncio
import contextlib
import math
from unittest import mock

import msgspec
from hypothesis import example, given
from hypothesis import strategies as st
from nose2.tools import params

from bench.platform import configuration, entry_of
from dandelionplank.delivery.events import EventFramer
from dandelionplank.errors import StoreError
from dandelionplank.fairness.waiting import Waiting, WaitingRoom
from dandelionplank.fleet.clock import boot_time_s
from dandelionplank.fleet.follower import WATCH_WAIT_SHARE, StoreFollower
from dandelionplank.fleet.peers import (
    PeerBoard,
    PeerReport,
    PromptRead,
    ServiceLevels,
    TargetShare,
)
from dandelionplank.fleet.registry import TargetRegistry
from dandelionplank.fleet.view import (
    KEY_AGE_SHARE,
    READY_AGE_SHARE,
    FleetView,
)
from dandelionplank.fleet.vouching import WatcherRole
from dandelionplank.platform import headers
from dandelionplank.platform.documents import (
    decode_configuration,
    decode_target,
)
from dandelionplank.routing.admission import LatencyEstimate, misses_objective
from dandelionplank.routing.budget import RepeatLimits, WindowRetryBudget
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


def target(name, **changes):
    """Return an engine."""
    address = Address('127.0.0.1', 1)
    return Target(name, 'llm', address, 'a', limit=64, **changes)


def scheduler_of(*names, board=None, slots=64):
    """Return a scheduler over engines."""
    engines = [target(name) for name in names]
    scheduler = Scheduler(
        'a',
        lambda service: engines,
        board or PeerBoard(),
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


def work_of(subject, own, shared=12_000, own_tokens=2000):
    """Return a prompt with one shared part."""
    return TokenWork(
        'm',
        shared + own_tokens,
        100,
        (PromptPart(subject, shared), PromptPart(own, own_tokens)),
    )


def ticket(account, work, now_s=0.0, patience_s=3.0):
    """Return a request that arrives now."""
    return Waiting(
        f'{account}-{now_s}',
        account,
        ROUTE,
        'llm',
        work,
        now_s,
        now_s + patience_s,
        cost=work.cost,
    )


def read_at_once(scheduler, grants, now_s):
    """Let all granted prompts be read, at the speed that is expected."""
    for grant in grants:
        grant.load.note_first_event(grant.sent, now_s)
        grant.load.note_end(grant.sent)


def test_a_subject_stays_where_its_prefix_is_kept():
    """Requests on one subject go to one engine while it has room."""
    scheduler = scheduler_of('a', 'b', 'c')
    used = set()
    for number in range(20):
        now_s = float(number)
        waiting = ticket('x', work_of('subject', f'own-{number}'), now_s)
        assert scheduler.submit(waiting, now_s) is None
        grant = only(scheduler.run_pass('llm', now_s))
        used.add(grant.load.target.name)
        read_at_once(scheduler, [grant], now_s + 0.4)
    assert len(used) == 1


def test_cold_subjects_spread_over_the_engines():
    """A burst of new subjects fills all engines, not their homes alone."""
    scheduler = scheduler_of('a', 'b', 'c', 'd')
    for number in range(8):
        waiting = ticket('x', work_of(f's{number}', f'o{number}'))
        waiting.route = ROUTE
        scheduler.submit(waiting, 0.0)
    granted = scheduler.run_pass('llm', 0.0)
    assert len({grant.load.target.name for grant in granted}) == 4


def test_a_prefix_read_by_another_instance_is_known_here():
    """What a peer sent to an engine decides the placement here too."""
    scheduler = scheduler_of('a', 'b', 'c')
    scheduler.submit(ticket('x', work_of('other', 'o')), 0.0)
    scheduler.run_pass('llm', 0.0)
    for name in ('a', 'b', 'c'):
        keeper = scheduler_of('a', 'b', 'c')
        for each in ('a', 'b', 'c'):
            keeper.load_of(target(each))
        keeper.note_reads([PromptRead(name, (('subject', 12_000),))])
        keeper.submit(ticket('x', work_of('subject', 'own')), 0.0)
        grant = only(keeper.run_pass('llm', 0.0))
        assert grant.load.target.name == name
        assert grant.sent.read_tokens == 2000


def test_an_engines_own_queue_stays_short():
    """A burst waits here instead of inside the engine."""
    scheduler = scheduler_of('a')
    for number in range(30):
        work = work_of('s', f'o{number}', own_tokens=3000)
        waiting = ticket('x', work)
        waiting.ends_s = 100
        scheduler.rooms.setdefault('llm', WaitingRoom()).add(waiting)
    granted = scheduler.run_pass('llm', 0.0)
    load = scheduler.loads['a']
    assert granted
    assert load.prefill_s(load.unread_tokens) < ROUTE.objective_s


def test_what_cannot_be_served_in_time_is_refused_at_once():
    """At three times the capacity, refusals come on arrival."""
    scheduler = scheduler_of('a')
    refused = []
    for number in range(60):
        now_s = number * 0.02
        waiting = ticket('x', work_of('s', f'o{number}'), now_s)
        turndown = scheduler.submit(waiting, now_s)
        if turndown:
            refused.append(turndown)
        scheduler.run_pass('llm', now_s)
    assert refused
    assert all(each.retry_after_s > 0 for each in refused)


def test_small_accounts_pass_a_flood():
    """One account's flood does not delay the first request of another."""
    room = WaitingRoom()
    for number in range(50):
        room.add(ticket('flood', work_of('s', f'o{number}')))
    late = ticket('small', work_of('t', 'p'), now_s=0.5)
    room.add(late)
    levels = {'flood': 500_000, 'small': 1000}
    order = list(room.in_order(levels, 0.6))
    assert order[0] is late
    assert len(order) == 51


def test_cached_prompts_count_as_service_received():
    """An account whose prompts are cached does not get more for it."""
    scheduler = scheduler_of('a')
    for number, cached in enumerate((False, True)):
        account = f'account-{number}'
        waiting = ticket(account, work_of('s', f'o{number}'))
        scheduler.submit(waiting, 0.0)
        grant = only(scheduler.run_pass('llm', 0.0))
        assert (grant.sent.read_tokens < 12_000) is cached
        read_at_once(scheduler, [grant], 0.4)
    levels = scheduler.received.levels
    assert math.isclose(levels['account-0'], levels['account-1'])


def test_late_requests_do_not_delay_those_in_time():
    """What is late anyway waits until its engine reads nothing else."""
    scheduler = scheduler_of('a')
    scheduler.submit(ticket('x', work_of('s', 'o1', own_tokens=500)), 0.0)
    first = only(scheduler.run_pass('llm', 0.0))
    scheduler.rooms['llm'].add(ticket('y', work_of('s', 'o2'), -1.5))
    assert not scheduler.run_pass('llm', 0.1)
    read_at_once(scheduler, [first], 0.2)
    assert len(scheduler.run_pass('llm', 0.2)) == 1


def test_accounts_take_turns_by_cost():
    """With equal levels, turns alternate; dear requests count for more."""
    room = WaitingRoom()
    for number in range(4):
        room.add(ticket('a', work_of('s', f'a{number}', shared=0)))
        room.add(ticket('b', work_of('s', f'b{number}', shared=9000)))
    order = [each.account for each in room.in_order({}, 0.1)]
    assert order[:4].count('a') >= 2
    assert order.index('b') < 2


def test_late_requests_wait_behind_those_in_time():
    """What has missed its objective yields to what can still meet it."""
    room = WaitingRoom()
    late = ticket('a', work_of('s', 'x'), now_s=0.0)
    fresh = ticket('b', work_of('s', 'y'), now_s=2.0)
    room.add(late)
    room.add(fresh)
    assert list(room.in_order({'b': 10**9}, 2.1)) == [fresh, late]


@given(
    charges=st.lists(
        st.tuples(st.sampled_from('abcd'), st.floats(1, 50_000)),
        max_size=40,
    ),
)
def test_every_waiting_request_gets_exactly_one_turn(charges):
    """The order names each request once, whatever the levels are."""
    room = WaitingRoom()
    waiting = [
        ticket(account, work_of('s', str(number)), now_s=number / 10)
        for number, (account, _) in enumerate(charges)
    ]
    for each in waiting:
        room.add(each)
    order = list(room.in_order(dict(charges), 1.5))
    assert len(order) == len(waiting)
    assert {id(each) for each in order} == {id(each) for each in waiting}
    for each in waiting:
        assert room.remove(each)
    assert room.count == 0
    assert not room.costs


@params((0.2, 1.0, False), (1.5, 1.0, True), (0.99, 0.5, True))
def test_admission_follows_the_objective(wait_s, left_s, expected):
    """Only what can still meet its objective is admitted."""
    estimate = LatencyEstimate(wait_s - 0.15, 0)
    assert misses_objective(estimate, left_s) is expected


@given(
    events=st.lists(st.integers(1, 10**6), max_size=12),
    cuts=st.lists(st.integers(0, 600), max_size=20),
    newline=st.sampled_from(['\n', '\r\n']),
)
def test_events_are_cut_out_of_any_pieces(events, cuts, newline):
    """However the bytes arrive, each event comes out once and whole."""
    raw = [
        f'id: {number}{newline}data: x{newline}{newline}'.encode()
        for number in events
    ]
    whole = b''.join(raw)
    framer = EventFramer()
    edges = sorted({0, len(whole), *(cut % (len(whole) + 1) for cut in cuts)})
    found = []
    for start, stop in zip(edges, edges[1:], strict=False):
        found.extend(framer.feed(whole[start:stop]))
    assert [event.raw for event in found] == raw
    assert [event.event_id for event in found] == events
    assert not framer.remainder


def test_repeats_stay_inside_the_fleets_budget():
    """Four instances together stay under ratio and extra in any window."""
    budgets = [WindowRetryBudget(RepeatLimits(0.2, 56, 10)) for _ in range(4)]
    taken = []
    for step in range(4000):
        now_s = step / 100
        budget = budgets[step % 4]
        budget.note_request(now_s)
        if budget.take(now_s, 4):
            taken.append(now_s)
    for start in range(30):
        inside = [at for at in taken if start <= at < start + 10]
        assert len(inside) <= 0.2 * 1000 + 56


def report(sender, sequence, boot=1, **targets):
    """Return a peer's report."""
    return PeerReport(
        sender,
        boot,
        sequence,
        0.1,
        1,
        0.5,
        False,
        targets,
        {'x': 100.0},
    )


def test_repeated_and_reordered_reports_do_no_harm():
    """Only the newest report of a boot counts, and silence ends it."""
    board = PeerBoard()
    assert board.receive(report('p', 2, t=TargetShare(10, 1, 0)), 0.0)
    assert not board.receive(report('p', 1, t=TargetShare(99, 9, 0)), 0.1)
    assert not board.receive(report('p', 2, t=TargetShare(99, 9, 0)), 0.1)
    assert board.share_of('t').running == 1
    assert board.receive(report('p', 1, boot=2, t=TargetShare(5, 2, 0)), 0.2)
    assert board.share_of('t').running == 2
    assert math.isclose(board.min_view_age_s(0.4), 0.7)
    assert board.expire(5.0) == ('p',)
    assert board.share_of('t').running == 0
    assert not board.service(5.0)
    assert not board.shares


def test_service_fades():
    """An account's level falls to nothing when it is served no more."""
    levels = ServiceLevels()
    levels.charge('a', 1000, 0.0)
    assert 300 < levels.settle(2.0)['a'] < 400
    assert not levels.settle(60.0)


def test_draining_is_final_for_one_start():
    """An older entry brings no drained target back; a new start does."""
    registry = TargetRegistry()
    registry.put(target('t', started_ms=5))
    registry.put(target('t', started_ms=5, state=TargetState.DRAINING))
    assert not registry.put(target('t', started_ms=5))
    assert not registry.of_service('llm')
    assert registry.put(target('t', started_ms=6))
    assert not registry.put(target('t', started_ms=4))


def test_entries_that_lapsed_in_an_outage_have_a_grace():
    """A target that is not listed stays until the grace is over."""
    registry = TargetRegistry()
    registry.put(target('t'))
    registry.put(target('u'))
    registry.mark_missing('t', 2.0)
    assert not registry.expire(1.9)
    assert len(registry.of_service('llm')) == 2
    registry.put(target('t'))
    assert not registry.expire(2.1)
    registry.mark_missing('t', 3.0)
    assert registry.expire(3.1) == ('t',)


def test_a_target_without_connections_rests_longer_each_time():
    """Pauses grow, and one answer ends them."""
    health = TargetHealth()
    health.note_unreachable(0.0)
    first_s = health.paused_until_s
    health.note_unreachable(first_s)
    assert health.paused_until_s - first_s > first_s
    health.note_answer(first_s, is_good=True)
    assert not health.is_paused(health.paused_until_s)


def test_a_view_ages_with_the_clock_that_counts_suspension():
    """Without a proof, no key is admitted and nothing is denied."""
    view = FleetView(5.0)
    assert not view.may_admit_keys
    assert not view.may_deny
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
def test_malformed_entries_name_no_target(document):
    """Whatever another writer leaves raises one kind of error."""
    for decode in (lambda raw: decode_target('t', raw), decode_configuration):
        try:
            decode(document)
        except StoreError:
            continue
        raise AssertionError(document)


@given(document=st.binary(max_size=200))
def test_no_bytes_of_the_store_break_the_decoder(document):
    """Random bytes are decoded or refused, never anything else."""
    for decode in (lambda raw: decode_target('t', raw), decode_configuration):
        with contextlib.suppress(StoreError):
            decode(document)


def test_documents_become_our_types():
    """Routes, keys and targets carry the project's names and units."""
    table = decode_configuration(msgspec.json.encode(configuration(4)))
    route = table.find('shop.example', '/draft/a')
    assert (route.kind, route.can_resume) == (RequestKind.STREAM, True)
    assert math.isclose(route.timeout_s, 3)
    assert table.accounts == {'key-a': 'account-a'}
    assert table.services['llm'].memory.tokens == 90_000
    entry = msgspec.json.encode(entry_of('t', 's', '10.0.0.1:80', New=1))
    assert decode_target('t', entry).address.text == '10.0.0.1:80'


def test_the_longest_prefix_wins():
    """Routes of a host are tried from the longest prefix on."""
    routes = [
        Route(name, 'h', prefix, RequestKind.SAFE, (), 1, 1)
        for name, prefix in (('a', '/x/'), ('b', '/x/y/'), ('c', '/'))
    ]
    table = RouteTable.from_routes(1, tuple(routes), {}, (), RequestLimits())
    found = [table.find('h', path).name for path in ('/x/y/z', '/x/q', '/q')]
    assert found == ['b', 'a', 'c']
    assert table.find('other', '/') is None


def test_headers_of_the_fleet_cannot_be_forged():
    """Reserved and hop-by-hop headers of a caller never reach a target."""
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
def test_no_header_breaks_the_decoder(text):
    """Any text in a header is decoded or ignored."""
    facts = headers.request_facts(
        {
            'Dandelionplank-Token-Usage': text,
            'Dandelionplank-Prefix-Hash': text,
            'Dandelionplank-Deadline-Ms': text,
        },
    )
    assert facts.key == ''
    headers.answer_marks(200, {'Dandelionplank-Engine-Load': text})


def full_scheduler(engines, waiting):
    """Return a scheduler whose engines are full while requests wait."""
    scheduler = scheduler_of(*(f'e{number}' for number in range(engines)))
    room = scheduler.rooms.setdefault('llm', WaitingRoom())
    for number in range(engines + waiting):
        work = work_of(f's{number}', f'o{number}', own_tokens=14_000)
        room.add(ticket('x', work, patience_s=9))
    while scheduler.run_pass('llm', 0.0):
        assert room.count >= waiting
    assert room.count == waiting
    return scheduler


def placements_of(scheduler, moments):
    """Count the placements of passes at given times."""
    policy = scheduler.policies['llm']
    choose = policy.choose
    with mock.patch.object(policy, 'choose', side_effect=choose) as counted:
        for now_s in moments:
            scheduler.run_pass('llm', now_s)
    return counted.call_count


def test_a_pass_does_not_place_again_what_waits_for_full_targets():
    """Many events in a large, full fleet cost one placement a request."""
    scheduler = full_scheduler(engines=70, waiting=40)
    events = [0.051 + number * 0.0002 for number in range(200)]
    assert placements_of(scheduler, events) == 40


def test_a_waiting_request_goes_once_its_target_has_room():
    """Room at the target ends the wait before the next placement is due."""
    scheduler = full_scheduler(engines=2, waiting=2)
    assert not scheduler.run_pass('llm', 0.051)
    for load in scheduler.loads.values():
        load.unread_tokens = 0
    assert scheduler.run_pass('llm', 0.052)


def test_a_watch_that_waits_keeps_the_view_young_enough():
    """A watch proves the view at its start; the next one waits as long."""
    assert 2 * WATCH_WAIT_SHARE <= READY_AGE_SHARE < KEY_AGE_SHARE


def test_an_account_that_received_less_sees_more_room():
    """A flood elsewhere fills each place; small accounts still get in."""
    board = PeerBoard()
    shares = {'a': TargetShare(4000, 4, 90_000)}
    service = {'flood': 500_000.0, 'small': 1000.0}
    report = PeerReport('p', 1, 1, 1.0, 1, 0.1, False, shares, service)
    granted = {}
    for account in ('flood', 'small'):
        scheduler = scheduler_of('a', board=board)
        board.receive(report, 0.0)
        scheduler.submit(ticket(account, work_of('s', 'o')), 0.0)
        granted[account] = scheduler.run_pass('llm', 0.0)
    assert not granted['flood']
    assert granted['small']


class BusyStore:
    """A store in which something has changed each time it is asked."""

    def __init__(self):
        """Start without calls."""
        self.calls = 0

    async def resync(self, sink):
        """Answer at once."""
        sink.configured(
            decode_configuration(msgspec.json.encode(configuration(1)))
        )
        return frozenset(), 1

    async def follow(self, sink, revision, wait_s):
        """Answer at once."""
        self.calls += 1
        await asyncio.sleep(0)
        return revision + 1


@run_async
async def test_changes_in_quick_succession_are_read_together():
    """Targets that start one by one do not cost a call each."""
    store = BusyStore()
    view = FleetView(5.0)
    alone = mock.Mock(
        watcher_role=WatcherRole('a', ('a',), is_shared=False),
        ask=mock.AsyncMock(return_value=None),
    )
    follower = StoreFollower(view, store, 1.2, lambda names: None, alone)
    task = asyncio.ensure_future(follower.run())
    await asyncio.sleep(0.7)
    task.cancel()
    assert 1 <= store.calls <= 3


def test_a_burst_of_new_subjects_fills_a_large_fleet_at_once():
    """Only some engines are weighed for each prompt, but none stays idle."""
    scheduler = scheduler_of(*(f'e{number}' for number in range(70)))
    for number in range(70):
        work = work_of(f's{number}', f'o{number}')
        assert scheduler.submit(ticket('x', work), 0.0) is None
    granted = scheduler.run_pass('llm', 0.0) + scheduler.run_pass('llm', 0.0)
    assert len({grant.load.target.name for grant in granted}) == 70


def test_a_busy_engine_that_keeps_the_subject_is_weighed_in_a_large_fleet():
    """The idlest engines are not all that count."""
    scheduler = scheduler_of(*(f'e{number:02}' for number in range(70)))
    for number in range(70):
        scheduler.load_of(target(f'e{number:02}'))
    scheduler.note_reads([PromptRead('e69', (('subject', 12_000),))])
    scheduler.loads['e69'].unread_tokens = 4000
    scheduler.submit(ticket('x', work_of('subject', 'own')), 0.0)
    grant = only(scheduler.run_pass('llm', 0.0))
    assert grant.load.target.name == 'e69'


def test_a_target_that_fails_at_once_does_not_draw_the_requests():
    """It looks idle, but few requests are lost to it; later it is tried."""
    scheduler = scheduler_of('good', 'bad')
    scheduler.configure(
        RouteTable.from_routes(
            1,
            (ROUTE,),
            {},
            (RouteService('llm'),),
            RequestLimits(),
        ),
    )
    lost = 0
    for number in range(100):
        now_s = number * 0.02
        waiting = Waiting(
            f'r{number}', '', ROUTE, 'llm', None, now_s, now_s + 3, cost=0
        )
        scheduler.submit(waiting, now_s)
        grant = only(scheduler.run_pass('llm', now_s))
        is_good = grant.load.target.name == 'good'
        lost += not is_good
        grant.load.health.note_answer(now_s, is_good=is_good)
        if not is_good:
            grant.load.note_end(grant.sent)
        elif grant.load.running > 5:
            grant.load.running -= 1
    assert lost < 10
    odds = scheduler.loads['bad'].health.failure_odds
    assert odds(2) * 10 > 1
    assert odds(30) * 100 < 1
