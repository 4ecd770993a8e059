"""Tests of the explanation of where a request would be sent.

Guards against an explanation that differs from the decision, and against one
that changes a later decision.
"""

import asyncio
import contextlib
import io
import json
import random
import time
from http import HTTPStatus

import msgspec
from nose2.tools import params

from bench.platform import HOST, MODEL_HEADERS
from dandelionplank.commands.check import app as check_app
from dandelionplank.fairness.waiting import WaitingRequest
from dandelionplank.fleet.coldowners import HANDOVER_S, ColdOwners
from dandelionplank.fleet.explainer import Explainer, QueryError, RequestQuery
from dandelionplank.fleet.owners import OwnerDirectory
from dandelionplank.fleet.peers import PeerLoadTable, PeerReport, TargetShare
from dandelionplank.fleet.view import FleetView
from dandelionplank.routing.coldstart import INFORMED_AGE_S
from dandelionplank.routing.explanation import (
    MIDDLE,
    QUEUED,
    REFUSED,
    SENT,
    TrialScheduler,
)
from dandelionplank.routing.pacing import FAILURES_TO_PACE, TargetPace
from dandelionplank.routing.ratelimit import RateStatement
from dandelionplank.routing.routes import (
    ColdLimit,
    ModelMemory,
    RequestLimits,
    RouteService,
    RouteTable,
)
from dandelionplank.routing.scheduler import Scheduler
from dandelionplank.routing.work import PromptPart, TokenWork
from dandelionplank.settings import Address
from dandelionplank.targets import Target
from tests.fixtures import only, run_async, wait_until
from tests.platformfleet import platform_fleet

NOW_S = 100.0
SLOTS = 4
SEEDS = range(20)
STEPS = 60
NAMES = ('e0', 'e1', 'e2')
COLD = ColdLimit(3.0, 5.9)
GOOD_QUERY = {'host': HOST, 'path': '/chat/1'}


def middle():
    """Return the random number that explanations assume."""
    return MIDDLE


def make_scheduler(peers=None):
    """Return a scheduler of one service with three engines."""
    targets = tuple(
        Target(name, 'llm', Address('127.0.0.1', 9), 'a', limit=SLOTS)
        for name in NAMES
    )
    scheduler = Scheduler(
        'a',
        lambda queue: targets if queue == 'llm' else (),
        peers or PeerLoadTable(),
        jitter=middle,
    )
    service = RouteService('llm', ModelMemory(SLOTS, 90_000), COLD)
    scheduler.cold.set_allowance(1.5, 5.0)
    scheduler.configure(
        RouteTable.from_routes(1, (), None, (service,), RequestLimits())
    )
    # Entries have just been read, so that no target is supposed to be cold.
    scheduler.cold.read_s = NOW_S
    scheduler.loads_of('llm')
    return scheduler


def make_request(
    now_s=NOW_S, tokens=300, part='own', account='x', objective_s=1.0
):
    """Return a request that has just arrived."""
    parts = (PromptPart('shared', 2000), PromptPart(part, tokens))
    work = TokenWork('m', 2000 + tokens, 20, parts)
    return WaitingRequest(
        part, account, objective_s, 'llm', work, now_s, now_s + 3, work.cost
    )


def explain_request(scheduler, now_s=NOW_S, **changes):
    """Return the decision on a request, on a copy."""
    trial = TrialScheduler(scheduler, 'llm')
    return trial.decide(make_request(now_s, **changes), now_s)


def reasons_of(scheduler, name='e0'):
    """Return why a target may not take a request."""
    decision = explain_request(scheduler)
    return only(
        [target.reasons for target in decision.targets if target.name == name],
    )


def pause(load, scheduler):
    """Let the target accept no connection."""
    load.health.record_unreachable(NOW_S)


def pause_for_a_time(load, scheduler):
    """Let the target state that it was not addressed."""
    load.health.pause_until(NOW_S + 0.5)


def leave(load, scheduler):
    """Let the target leave."""
    load.availability.record_leaving()


def close(load, scheduler):
    """Let the target turn this instance away."""
    load.availability.record_closed(NOW_S, 2, 0)


def limit_rate(load, scheduler):
    """Let the target state a request rate, of which nothing is left."""
    load.limit.learn(RateStatement(4.0, NOW_S), NOW_S, is_own=True)


def begin_cold(load, scheduler):
    """Let the target become cold."""
    entry = msgspec.structs.replace(load.target, cold_left_s=2.0)
    scheduler.cold.learn_entry(entry, NOW_S)


def begin_cold_at_other(load, scheduler):
    """Let the target become cold while another instance assigns it."""
    scheduler.cold.is_in_charge = lambda queue, now_s: False
    begin_cold(load, scheduler)


def begin_pace(load, scheduler):
    """Let the target fail until it is paced, with its window in use."""
    state = scheduler.cold.state_of(load.target)
    for number in range(FAILURES_TO_PACE):
        state.record_failure(NOW_S + number / 1000, 1, NOW_S)
    state.pace.window = 2.0
    load.running = 2


def fill_slots(load, scheduler):
    """Use all slots of the target."""
    load.running = SLOTS


def fill_queue(load, scheduler):
    """Let prompts wait inside the target."""
    load.running = 1
    load.pending_prefill_tokens = 45_000.0


@params(
    (pause, 'unreachable, paused for 0.25 s'),
    (pause_for_a_time, 'paused for 0.50 s'),
    (leave, 'leaving'),
    (close, 'closed for 2.00 s'),
    (limit_rate, 'request rate 4/s reached for 0.25 s'),
    (begin_cold, 'cold for 2.00 s, allowance 0.00 at 5.90/s'),
    (begin_cold_at_other, 'cold for 2.00 s, not assigned by this instance'),
    (begin_pace, 'paced: 2 in flight, window 2'),
    (fill_slots, '4 of 4 slots used'),
    (fill_queue, 'prefill queue full: 1.00 s pending, limit 0.25 s'),
)
def test_each_reason_is_stated(change, reason):
    """A target that may take nothing must not be stated without its cause."""
    scheduler = make_scheduler()
    assert not reasons_of(scheduler)
    change(scheduler.loads['e0'], scheduler)
    assert reasons_of(scheduler) == (reason,)
    decision = explain_request(scheduler)
    assert decision.outcome == SENT
    assert decision.target != 'e0'


def test_all_reasons_of_a_target_are_stated():
    """One cause must not hide another that lasts longer."""
    scheduler = make_scheduler()
    for change in (close, fill_slots, fill_queue):
        change(scheduler.loads['e0'], scheduler)
    scheduler.loads['e0'].running = SLOTS
    assert len(reasons_of(scheduler)) == 3


def test_load_of_other_instances_counts():
    """Slots that other instances use must not be stated as free."""
    peers = PeerLoadTable()
    share = TargetShare(0, SLOTS, 0, 0)
    peers.receive(
        PeerReport('p', 1, 1, 1, 1, 0, False, {'e0': share}, {}), NOW_S
    )
    assert reasons_of(make_scheduler(peers)) == ('4 of 4 slots used',)


def test_paused_targets_are_used_if_all_are_paused():
    """Such a target is considered, so its pause is no reason."""
    scheduler = make_scheduler()
    for load in scheduler.loads.values():
        pause(load, scheduler)
    assert not reasons_of(scheduler)
    assert explain_request(scheduler).outcome == SENT


def test_refusal_states_its_retry_after():
    """A refused request must be explained with reason and Retry-After."""
    scheduler = make_scheduler()
    for load in scheduler.loads.values():
        close(load, scheduler)
    decision = explain_request(scheduler)
    assert (decision.outcome, decision.target) == (REFUSED, '')
    assert decision.reason == 'no sound target'
    # The time until they open, and half of a second.
    assert round(decision.retry_after_s * 10) == 25


def test_queued_request_states_its_target():
    """A request that would wait must not be stated as sent."""
    scheduler = make_scheduler()
    for load in scheduler.loads.values():
        fill_slots(load, scheduler)
    decision = explain_request(scheduler)
    assert decision.outcome == QUEUED
    assert decision.target in NAMES


def test_chosen_target_has_the_lowest_cost():
    """The stated costs must be those that decide."""
    scheduler = make_scheduler()
    scheduler.loads['e1'].prefix_cache.record_prefill(make_request().work.parts)
    decision = explain_request(scheduler)
    costs = {target.name: target.cost for target in decision.targets}
    uncached = {
        target.name: target.uncached_tokens for target in decision.targets
    }
    assert decision.target == 'e1' == min(costs, key=costs.get)
    assert uncached == {'e0': 2300, 'e1': 0, 'e2': 2300}


def test_unknown_targets_stay_unknown():
    """An explanation must not create the load of a target."""
    scheduler = make_scheduler()
    scheduler.loads.clear()
    assert explain_request(scheduler).outcome == SENT
    assert not scheduler.loads
    assert not scheduler.queues
    assert not scheduler.policies
    assert not scheduler.snapshots


def test_old_knowledge_of_cold_targets_counts():
    """A target that may be cold unnoticed must not be stated as usable.

    The knowledge of the store is part of the decision.
    """
    scheduler = make_scheduler()
    scheduler.cold.is_informed = lambda now_s: False
    assert not reasons_of(scheduler)
    scheduler.cold.read_s = NOW_S - INFORMED_AGE_S
    assert reasons_of(scheduler)[0].startswith('cold for 0.50 s')
    assert not scheduler.cold.states


def test_owners_are_looked_up_without_effect():
    """Must not renew what an instance remembers of the owners of pools."""
    view = FleetView(5)
    view.peers.update(dict.fromkeys('ab', Address('127.0.0.1', 9)))
    peers = PeerLoadTable()
    report = PeerReport('b', 1, 1, 1000, 1, 0, False, {}, {})
    peers.receive(report, NOW_S)
    owners = OwnerDirectory('a', view, peers)
    found = owners.current_owners('llm', NOW_S)
    assert sorted(found) == ['a', 'b']
    assert not owners.ranked
    assert owners.owners_of('llm', NOW_S) == found
    cold_owners = ColdOwners('a', view, peers)
    before = visible_state(cold_owners)
    for now_s in (NOW_S, NOW_S + HANDOVER_S):
        cold_owners.detached().is_in_charge('llm#0', now_s)
    assert visible_state(cold_owners) == before


def visible_state(thing, seen=None):
    """Return all attributes and members of an object, by thing."""
    seen = seen or ()
    if id(thing) in seen:
        return 'again'
    seen = (*seen, id(thing))
    if isinstance(thing, dict):
        return [
            (repr(key), visible_state(each, seen))
            for key, each in thing.items()
        ]
    if isinstance(thing, list | tuple) or type(thing).__name__ == 'deque':
        return [visible_state(each, seen) for each in thing]
    names = getattr(thing, '__dict__', None) or {
        name: getattr(thing, name) for name in getattr(thing, '__slots__', ())
    }
    if callable(thing) or not names:
        return repr(thing)
    return visible_state(dict(names), seen)


class Play:
    """Random requests and events at a scheduler, in steps of time."""

    def __init__(self, seed, *, is_explained):
        """Begin with three engines.

        :param is_explained: an explanation precedes each step
        """
        self.random = random.Random(seed)
        self.scheduler = make_scheduler()
        self.is_explained = is_explained
        self.now_s = NOW_S
        self.running = []
        self.log = []
        self.seen = set()

    def step(self, number):
        """Let time pass, change something and submit a request."""
        self.now_s += self.random.choice((0.011, 0.03, 0.2))
        self.scheduler.cold.read_s = self.now_s
        self._change()
        request = make_request(
            self.now_s,
            self.random.choice((10, 3000, 9000)),
            f'own{self.random.randrange(4)}',
            self.random.choice('xy'),
            self.random.choice((0.4, 2.0)),
        )
        expected = None
        if self.is_explained:
            before = visible_state(self.scheduler)
            trial = TrialScheduler(self.scheduler, 'llm')
            expected = trial.decide(request, self.now_s)
            assert visible_state(self.scheduler) == before
        actual = self._submit(request)
        if expected:
            self._compare(expected, actual)
        self.log.append(actual)

    def _submit(self, request):
        """Return outcome, target and Retry-After of a request."""
        rejection = self.scheduler.submit(request, self.now_s)
        if rejection:
            return REFUSED, '', rejection.retry_after_s
        outcome = QUEUED
        for grant in self.scheduler.run_pass('llm', self.now_s):
            self.running.append(grant)
            if grant.waiting is request:
                outcome = SENT
                name = grant.load.target.name
        if outcome == QUEUED:
            name = request.assigned_target
        return outcome, name, None

    def _compare(self, expected, actual):
        """Check that an explanation is that of the decision."""
        assert (
            expected.outcome,
            expected.target,
            expected.retry_after_s,
        ) == actual
        self.seen.add(expected.outcome)
        if expected.outcome == SENT and not expected.waiting:
            assert only(
                [
                    target.may_take
                    for target in expected.targets
                    if target.name == expected.target
                ],
            )

    def _change(self):
        """End requests, or change a target."""
        load = self.scheduler.loads[self.random.choice(NAMES)]
        changes = (self._change_rate, self._begin_cold, self._begin_pace)
        kind = self.random.randrange(9)
        if kind < len(changes):
            changes[kind](load)
        elif kind == 3:
            load.health.record_unreachable(self.now_s)
        elif kind == 4:
            load.availability.record_closed(self.now_s, 0.3, 0)
        elif self.running:
            grant = self.running.pop(0)
            grant.load.record_first_event(grant.sent, self.now_s)
            grant.load.record_end(grant.sent)
        self.scheduler.expire(self.now_s)

    def _change_rate(self, load):
        """Let a target state a request rate, or none."""
        rate = self.random.choice((5.0, float('inf')))
        statement = RateStatement(rate, self.now_s)
        load.limit.learn(statement, self.now_s, is_own=True)

    def _begin_cold(self, load):
        """Let a target become cold."""
        entry = msgspec.structs.replace(load.target, cold_left_s=0.4)
        self.scheduler.cold.learn_entry(entry, self.now_s)

    def _begin_pace(self, load):
        """Let a target recover."""
        state = self.scheduler.cold.state_of(load.target)
        state.pace = TargetPace(self.now_s)
        # A window of all slots would end at once.
        state.pace.window = SLOTS / 2


def test_explanations_equal_decisions_and_change_none():
    """Compares plays of the same events with and without explanations.

    Guards against a copy that shares state with the scheduler.
    """
    seen = set()
    for seed in SEEDS:
        explained = Play(seed, is_explained=True)
        plain = Play(seed, is_explained=False)
        for number in range(STEPS):
            explained.step(number)
            plain.step(number)
        assert explained.log == plain.log, seed
        seen |= explained.seen
    assert seen == {SENT, QUEUED, REFUSED}


@params(
    {},
    {'host': HOST},
    {**GOOD_QUERY, 'prompt': 'many'},
    {**GOOD_QUERY, 'prompt': '-1'},
    {**GOOD_QUERY, 'output': '9999999999'},
    {**GOOD_QUERY, 'output': '٣'},
    {**GOOD_QUERY, 'parts': 'ab'},
    {**GOOD_QUERY, 'parts': 'a b:3'},
    {**GOOD_QUERY, 'parts': f'ab:{"9" * 1000}'},
    {**GOOD_QUERY, 'parts': f'a:1{",a:1" * 64}'},
    {**GOOD_QUERY, 'path': '/' * 2049},
    {**GOOD_QUERY, 'other': ''},
)
def test_malformed_query_is_an_error(texts):
    """Input without bound must not reach the decision."""
    try:
        RequestQuery.from_texts(texts)
    except QueryError:
        return
    raise AssertionError(texts)


def test_query_states_the_work():
    """Parts, sizes and host must be read as the gateway reads them."""
    query = RequestQuery.from_texts(
        {
            'host': 'Shop.Example:80',
            'path': '/chat/1',
            'prompt': '300',
            'output': '20',
            'parts': 'ab:200,cd:100',
        },
    )
    parts = (PromptPart('ab', 200), PromptPart('cd', 100))
    assert query.host == 'shop.example'
    assert query.work == TokenWork('', 300, 20, parts)
    assert RequestQuery.from_texts(GOOD_QUERY).work is None


def test_instance_without_knowledge_explains_nothing():
    """Must not state that there is no route before the routes are known."""
    page = Explainer(FleetView(5), None, None).page(GOOD_QUERY, NOW_S)
    assert page.status == HTTPStatus.SERVICE_UNAVAILABLE


def metrics_url(daemon):
    """Return the URL of the metrics port of a gateway."""
    listen = daemon.settings.listen
    ip = listen.callers.partition(':')[0]
    return f'http://{ip}:{listen.metrics_port}'


async def ask(fleet, gateway=0, **texts):
    """Return status and document of an instance's explanation."""
    url = metrics_url(fleet.gateways[gateway])
    async with fleet.session.get(f'{url}/explain', params=texts) as response:
        return response.status, json.loads(await response.read())


def print_explanation(url):
    """Return what the command prints."""
    command = (
        f'explain {url} --host {HOST} --path /chat/1 --account account-a '
        '--prompt 300 --output 20 --parts ab:200,cd:100'
    )
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed), contextlib.suppress(SystemExit):
        check_app(command.split(), exit_on_error=False)
    return printed.getvalue()


@run_async
async def test_instance_explains_over_http():
    """Page and command must state the decision without sending anything."""
    async with platform_fleet() as fleet:
        daemon = fleet.gateways[0]
        await wait_until(lambda: daemon.pages.listeners[1:])
        status, document = await ask(
            fleet, prompt='300', parts='ab:200,cd:100', **GOOD_QUERY
        )
        assert status == HTTPStatus.OK
        service = only(document['services'])
        assert service['service'] == service['queue'] == 'llm'
        assert service['is_decided_here']
        decision = service['decision']
        assert decision['outcome'] == SENT
        assert [each['reasons'] for each in decision['targets']] == [[], []]
        assert not daemon.scheduler.queues
        assert not fleet.runs()
        status, document = await ask(fleet, host=HOST)
        assert status == HTTPStatus.BAD_REQUEST
        assert document == {'error': 'path: missing'}
        status, _ = await ask(fleet, host='none.example', path='/')
        assert status == HTTPStatus.NOT_FOUND
        printed = await asyncio.to_thread(
            print_explanation, metrics_url(daemon)
        )
        assert f'outcome: sent to {decision["target"]}' in printed
        status, _, _ = await fleet.call('/chat/1', headers=MODEL_HEADERS)
        assert status == HTTPStatus.OK


async def check_targets_that_turn_away(fleet):
    """Check that an instance that all targets turned away decides alone."""
    client = fleet.gateways[0].pool_client
    scheduler = client.dispatcher.scheduler
    for load in scheduler.loads_of('llm'):
        load.availability.record_closed(time.monotonic(), 20, 0)
        client.avoided.record_closed(load)
    _, document = await ask(fleet, prompt='300', **GOOD_QUERY)
    service = only(document['services'])
    assert service['queue'] == 'llm'
    assert service['is_decided_here']
    assert service['decision']['outcome'] == REFUSED
    scheduler.loads.clear()
    client.avoided.closed.clear()


@run_async
async def test_owner_and_evacuation_are_explained():
    """Another owner must be named, and an evacuated target's cause stated."""
    async with platform_fleet(gateways=2) as fleet:
        for daemon in fleet.gateways:
            await wait_until(lambda daemon=daemon: daemon.pages.listeners[1:])
            await wait_until(lambda daemon=daemon: daemon.peer_loads.reports)
        documents = [
            (await ask(fleet, gateway, prompt='300', **GOOD_QUERY))[1]
            for gateway in (0, 1)
        ]
        services = [only(document['services']) for document in documents]
        assert services[0]['queue'] == services[1]['queue'] == 'llm#0'
        assert services[0]['owner'] == services[1]['owner']
        assert sorted(each['is_decided_here'] for each in services) == [
            False,
            True,
        ]
        await check_targets_that_turn_away(fleet)
        fleet.store.put('op/evacuate/a', {})
        view = fleet.gateways[0].view
        await wait_until(lambda: view.excluded_targets)
        service = only(
            (await ask(fleet, prompt='300', **GOOD_QUERY))[1]['services']
        )
        assert service['decision']['outcome'] == REFUSED
        assert [each['reasons'] for each in service['elsewhere']] == [
            ['in an evacuated data centre'],
            ['in an evacuated data centre'],
        ]
