"""Tests of the readiness of instances that are overloaded."""

import dataclasses
import random
from unittest import mock

import msgspec
from nose2.tools import params

from bench.platform import gateway_settings
from dandelionplank.fleet.exchange import PeerExchange
from dandelionplank.fleet.peers import PeerLoadTable, PeerReport
from dandelionplank.fleet.rotation import SMALL_CORES, RotationTask
from dandelionplank.fleet.settings import GatewayLimits
from dandelionplank.fleet.view import FleetView
from dandelionplank.ingress.loopdelay import SAMPLE_PERIOD_S
from dandelionplank.ingress.overload import RELIEVING_REQUESTS, OverloadControl
from dandelionplank.ingress.readiness import (
    ANNOUNCED_S,
    LONGEST_S,
    OVERLOAD_CONNECTION_SHARE,
    OVERLOAD_DELAY_S,
    REST_S,
    SHORTEST_S,
    WITHDRAWN_PART,
    InstanceState,
    LoadReadiness,
)
from dandelionplank.routing.coldstart import ColdTargets
from tests.fixtures import run_async, wait_until
from tests.fleetsimulation import run_in_virtual_time
from tests.platformfleet import platform_fleet
from tests.stormsimulation import KEY, SECONDS, STORM_S, simulate_storm

LATE_S = 0.4
FROZEN_S = 20.0
# Time within which an instance that is overloaded withdraws.
EARLY_S = 2.0
OTHERS = tuple(InstanceState(f'peer-{each}') for each in range(7))
REPORT_LOSS = 0.1
# Time after which an instance whose loop is late reads a report.
REPORT_DELAY_S = 0.6
# Most of the steady time in which an instance may be withdrawn.
WITHDRAWN_SHARE = 0.5
# Shares of the requests of an account: served in the last seconds of a storm
# before the change, and with it, and after the storm.
COLLAPSED_SHARE = 0.1
SERVED_SHARE = 0.6
CALM_SHARE = 0.95


def samples(*parts):
    """Return the delays of a loop.

    :param parts: how many samples in a row have which delay
    """
    return [delay_s for count, delay_s in parts for _ in range(count)]


def run_load(readiness, delays, others=OTHERS, start_s=0.0):
    """Yield the times and states of an instance with some delays of its loop.

    :param delays: delay of each sample of its loop, in seconds
    """
    now_s = start_s
    for delay_s in delays:
        now_s += SAMPLE_PERIOD_S + delay_s
        readiness.record_delay(delay_s, now_s)
        readiness.update(others, now_s)
        yield now_s, readiness.is_withdrawn


def first_withdrawn_s(delays, others=OTHERS):
    """Return when an instance is withdrawn, None if it never is."""
    states = run_load(LoadReadiness('small'), delays, others)
    return next((now_s for now_s, is_out in states if is_out), None)


def test_a_loop_that_stays_late_withdraws_the_instance_early():
    """It read the requests of 1,272 new connections after their time."""
    withdrawn_s = first_withdrawn_s(samples((20, 0), (40, LATE_S)))
    assert ANNOUNCED_S <= withdrawn_s < 1 + EARLY_S


def test_delays_that_do_not_last_withdraw_nothing():
    """An instance that was frozen left the rotation as it resumed."""
    assert first_withdrawn_s(samples((20, 0), (1, FROZEN_S), (100, 0))) is None
    assert first_withdrawn_s(samples((1, FROZEN_S), (100, 0))) is None
    short = (100, OVERLOAD_DELAY_S / 2)
    assert first_withdrawn_s(samples((1, LATE_S), (2, 0), short)) is None


@params(0, 1, 2)
def test_an_instance_without_peers_stays_ready(count):
    """Without others that take its callers, it serves what it can."""
    assert first_withdrawn_s(samples((100, LATE_S)), OTHERS[:count]) is None


def test_instances_that_leave_count_as_withdrawn():
    """Half of a data centre would be out during a planned stop."""
    leaving = dataclasses.replace(OTHERS[0], is_leaving=True)
    both = (leaving, dataclasses.replace(leaving, name='other'))
    late = samples((100, LATE_S))
    assert first_withdrawn_s(late, (leaving, *OTHERS[1:])) is not None
    assert first_withdrawn_s(late, (*both, *OTHERS[2:])) is None


def test_connections_near_their_bound_withdraw_the_instance():
    """Its loop is in time while it has no descriptor left."""
    readiness = LoadReadiness('small')
    readiness.figures.connection_share = OVERLOAD_CONNECTION_SHARE
    assert any(is_out for _, is_out in run_load(readiness, samples((100, 0))))


def test_a_relieved_instance_returns_after_two_checks():
    """A shorter withdrawal never reaches the balancer."""
    readiness = LoadReadiness('small')
    delays = samples((8, LATE_S), (200, 0))
    out_s = [now_s for now_s, is_out in run_load(readiness, delays) if is_out]
    assert SHORTEST_S - EARLY_S < out_s[-1] - out_s[0] < LONGEST_S


@params(1, 2, 3)
def test_an_overloaded_instance_is_withdrawn_for_a_bounded_time(seed):
    """An instance that is never relieved would leave for ever."""
    source = random.Random(seed)
    delays = [source.uniform(0, 2 * LATE_S) for _ in range(1000)]
    states = list(run_load(LoadReadiness('small'), delays))
    changes = [
        now_s
        for (_, before), (now_s, after) in zip(states, states[1:], strict=False)
        if before != after
    ]
    step_s = SAMPLE_PERIOD_S + 2 * LATE_S
    assert len(changes) > 2
    for begin_s, end_s in zip(changes[::2], changes[1::2], strict=False):
        assert end_s - begin_s <= LONGEST_S + step_s
    for end_s, begin_s in zip(changes[1::2], changes[2::2], strict=False):
        assert begin_s - end_s >= REST_S


def run_fleet(seed, count, report_delay_s, loss):
    """Return the most instances withdrawn at once, all of them overloaded.

    :param report_delay_s: time that a report takes
    :param loss: part of the reports of a change that are lost
    """
    source = random.Random(seed)
    fleet = [LoadReadiness(f'instance-{each}') for each in range(count)]
    known = {each.name: {} for each in fleet}
    pending = []
    most = 0
    for step in range(600):
        now_s = step * SAMPLE_PERIOD_S
        arrived = [each for each in pending if each[0] <= now_s]
        pending = [each for each in pending if each[0] > now_s]
        for _, receiver, state in arrived:
            known[receiver][state.name] = state
        for each in fleet:
            each.record_delay(source.uniform(0.1, LATE_S), now_s)
            is_changed = each.update(list(known[each.name].values()), now_s)
            # Periodic reports repeat what was lost.
            if is_changed or step % 20 == 0:
                pending.extend(
                    (now_s + report_delay_s, other.name, each.state)
                    for other in fleet
                    if other is not each and source.random() >= loss
                )
        most = max(most, sum(each.is_withdrawn for each in fleet))
    return most


@params(1, 2, 3, 4)
def test_few_instances_of_a_data_centre_are_withdrawn_at_once(seed):
    """All of them are overloaded at once if a storm reaches them all."""
    for count in (1, 3, 4, 8, 22, 30):
        most = run_fleet(seed, count, REPORT_DELAY_S, 0)
        assert most <= count // WITHDRAWN_PART
        assert most or count < WITHDRAWN_PART


@params(1, 2, 3, 4)
def test_half_of_a_data_centre_stays_ready_if_reports_are_lost(seed):
    """The balancer uses all instances once fewer than half are ready."""
    for count in (4, 8, 22, 30):
        most = run_fleet(seed, count, REPORT_DELAY_S, REPORT_LOSS)
        assert most <= count // 2


def rotation_of(processor_cores, share=0.0):
    """Return a rotation task of an instance, and what it reports."""
    settings = gateway_settings(0, '127.0.0.1:1', '127.0.0.1:2')
    limits = GatewayLimits(processor_share=1, processor_speed=processor_cores)
    settings = msgspec.structs.replace(settings, limits=limits)
    scheduler = mock.Mock(
        loads={}, cold=ColdTargets(), shares=dict, prefill_reports=[]
    )
    scheduler.local_service_levels.decay_to.return_value = {}
    exchange = PeerExchange('front-0', FleetView(5), PeerLoadTable(), scheduler)
    readiness = LoadReadiness('front-0')
    return RotationTask(
        settings, readiness, OverloadControl(), exchange, lambda: share
    )


def report_of(number, **fields):
    """Return a report of another instance of the same data centre."""
    return PeerReport(
        f'peer-{number}',
        1,
        1,
        1,
        1,
        0,
        False,
        {},
        {},
        **{'data_center': 'a', **fields},
    )


@params((0, False), (0.387, True), (SMALL_CORES, False), (1.07, False))
def test_only_small_instances_withdraw(cores, is_withdrawn):
    """Deployments that state no size, or a larger one, are as before."""
    rotation = rotation_of(cores, share=1.0)
    for number in range(7):
        rotation.exchange.peer_loads.receive(report_of(number), 0)
    rotation.exchange.peer_loads.receive(report_of(8, data_center='b'), 0)
    for step in range(20):
        rotation.update(step / 10)
    assert rotation.overload.connection_share == 1
    assert rotation.readiness.is_withdrawn == is_withdrawn
    report = rotation.exchange._report(())
    assert report.data_center == 'a'
    assert report.is_withdrawn == is_withdrawn
    assert bool(report.pressure) == is_withdrawn


def test_instances_of_other_data_centres_do_not_count():
    """Their callers reach other instances."""
    rotation = rotation_of(0.387, share=1.0)
    for number in range(20):
        report = report_of(number, data_center='b')
        rotation.exchange.peer_loads.receive(report, 0)
    for step in range(20):
        rotation.update(step / 10)
    assert not rotation.readiness.is_withdrawn


def test_reports_of_earlier_versions_are_read():
    """Instances of two versions run beside each other during a rollout."""
    fields = msgspec.to_builtins(report_of(1, pressure=1.5, is_withdrawn=True))
    decoder = msgspec.msgpack.Decoder(PeerReport)
    known = decoder.decode(msgspec.msgpack.encode(fields))
    assert (known.pressure, known.is_withdrawn) == (1.5, True)
    old = decoder.decode(msgspec.msgpack.encode(fields[:-3]))
    assert (old.data_center, old.pressure, old.is_withdrawn) == ('', 0, False)


def test_refusals_by_overload_are_a_share_of_the_recent_requests():
    """A few refusals beside a short delay are no reason to withdraw."""
    overload = OverloadControl()
    for _ in range(RELIEVING_REQUESTS):
        overload.admit('account')
    overload.delay_s = LATE_S
    for _ in range(RELIEVING_REQUESTS - 1):
        assert not overload.admit('account')
    assert not overload.refused_share
    assert not overload.admit('account')
    assert overload.refused_share == 1 / 2
    overload.record_delay(0, FROZEN_S)
    assert not overload.refused_share


@run_async
async def test_the_balancer_sees_that_an_instance_is_withdrawn():
    """Its readiness said nothing of its load."""
    async with platform_fleet(gateways=2) as fleet:
        daemon, other = fleet.gateways
        url = f'http://{daemon.settings.listen.readiness}/v1/ready'
        async with fleet.session.get(url) as response:
            assert response.status == 200
        daemon.gateway.readiness.is_withdrawn = True
        async with fleet.session.get(url) as response:
            assert response.status == 503
        name = daemon.settings.instance.id
        reports = other.peer_loads.reports
        await wait_until(
            lambda: name in reports and reports[name].report.is_withdrawn
        )
        assert (await fleet.call('/mine/x'))[0] == 200


@params(1, 2, 3)
def test_a_storm_at_a_small_instance_reaches_the_others(seed):
    """It served nothing until the end, while the others were idle."""
    begin_s, end_s = STORM_S
    late_storm = range(end_s - 4, end_s)
    before = run_in_virtual_time(simulate_storm(has_controls=False), seed)
    assert before.served_share(KEY[0], late_storm) < COLLAPSED_SHARE
    after = run_in_virtual_time(simulate_storm(has_controls=True), seed)
    assert after.served_share(KEY[0], late_storm) > SERVED_SHARE
    assert after.served_share(KEY[0], range(end_s, SECONDS)) > CALM_SHARE
    assert after.most_withdrawn <= len(after.instances) // WITHDRAWN_PART
    withdrawn_s = sum(each.was_withdrawn_s for each in after.instances)
    assert 0 < withdrawn_s < WITHDRAWN_SHARE * (end_s - begin_s)
