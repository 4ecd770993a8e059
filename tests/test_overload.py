"""Tests of instances that get more requests than they can handle."""

import asyncio
import random
import time

from nose2.tools import params

from dandelionplank.ingress.loopdelay import SAMPLE_PERIOD_S, LoopDelayMeter
from dandelionplank.ingress.overload import (
    DELAY_WEIGHT,
    LATE_LOOP_S,
    RELIEVING_REQUESTS,
    OverloadControl,
)
from tests.fixtures import only, run_async, running, wait_until
from tests.platformfleet import platform_fleet

LATE_S = 1.0
SECONDS = 5
RATES_PER_S = {'large': 700, 'middle': 90, 'small': 7}
# Requests a second that a loop handles in time for some seconds, and then late.
USUAL_PER_S = 400
USUAL_TIME_S = 10.0
LATE_FOR_S = 6.0
# Largest part of the requests of small accounts that may be refused.
LARGEST_REFUSED_SHARE = 0.1


def requests_in(random_source, seconds):
    """Yield the accounts of requests in order, with their times."""
    arrivals = []
    for account, rate in RATES_PER_S.items():
        arrivals.extend(
            (random_source.uniform(0, seconds), account)
            for _ in range(rate * seconds)
        )
    return sorted(arrivals)


def admit_many(overload, account):
    """Admit as many requests as relieve a loop if they are refused."""
    for _ in range(2 * RELIEVING_REQUESTS):
        assert overload.admit(account)


@params(1, 2, 3)
def test_a_late_loop_refuses_the_accounts_with_most_requests(seed):
    """Others are served as before, and nothing is refused in time."""
    overload = OverloadControl()
    sampled_s = 0
    refused = dict.fromkeys(RATES_PER_S, 0)
    for now_s, account in requests_in(random.Random(seed), SECONDS):
        while sampled_s + SAMPLE_PERIOD_S < now_s:
            sampled_s += SAMPLE_PERIOD_S
            overload.record_delay(LATE_S if sampled_s > 1 else 0, sampled_s)
        if not overload.admit(account):
            assert now_s > 1
            refused[account] += 1
    assert refused['large'] > refused['middle']
    limit = RATES_PER_S['small'] * SECONDS * LARGEST_REFUSED_SHARE
    assert refused['small'] <= limit


def test_a_late_loop_takes_the_requests_of_an_account_that_is_behind():
    """An even share here is none, if the others are served elsewhere too."""
    overload = OverloadControl()
    for account in ('behind', 'ahead'):
        admit_many(overload, account)
    overload.record_delay(LATE_S, 0)
    levels = {'behind': 1000, 'ahead': 4000}
    assert overload.admit('behind', levels)
    assert not overload.admit('ahead', levels)
    even = dict.fromkeys(levels, 1000)
    assert not overload.admit('behind', even)


def test_a_late_loop_refuses_no_account_for_a_smaller_one():
    """One that sends little here is behind all others, and lacks nothing."""
    overload = OverloadControl()
    admit_many(overload, 'small')
    admit_many(overload, 'middle')
    for _ in range(4):
        admit_many(overload, 'large')
    overload.record_delay(LATE_S, 0)
    levels = {'small': 1000, 'middle': 9000, 'large': 9000}
    assert overload.admit('middle', levels)
    assert not overload.admit('large', levels)


def test_one_short_delay_refuses_nothing():
    """Instances stay open while they read a large configuration."""
    overload = OverloadControl()
    admit_many(overload, 'only')
    overload.record_delay(LATE_LOOP_S / DELAY_WEIGHT, 1)
    admit_many(overload, 'only')
    overload.record_delay(LATE_LOOP_S / DELAY_WEIGHT, 1 + SAMPLE_PERIOD_S)
    assert not overload.admit('only')
    assert overload.admit('other')


def test_a_late_loop_takes_what_it_handled_in_time():
    """It took twenty requests a second of an account, whatever delayed it."""
    overload = OverloadControl()
    now_s = 0.0
    taken = []
    while now_s < USUAL_TIME_S + LATE_FOR_S:
        now_s += SAMPLE_PERIOD_S
        is_late = now_s > USUAL_TIME_S
        overload.record_delay(LATE_S if is_late else 0, now_s)
        count = round(USUAL_PER_S * SAMPLE_PERIOD_S)
        admitted = sum(overload.admit('only') for _ in range(count))
        if is_late:
            taken.append(admitted)
    per_second = round(1 / SAMPLE_PERIOD_S)
    assert sum(taken[:per_second]) > USUAL_PER_S / 2
    # Requests relieve a loop that is late because of them.
    assert sum(taken[-per_second:]) < USUAL_PER_S / 2


@run_async
async def test_a_request_refused_by_a_late_instance_may_return_at_once():
    """It was not executed, and its instance serves it once it has caught up."""
    async with platform_fleet() as fleet:
        gateway = fleet.gateways[0].gateway
        await wait_until(lambda: gateway.overload.updated_s)
        status, _, _ = await fleet.call('/book/x')
        assert status == 200
        admit_many(gateway.overload, only(list(gateway.overload.recent)))
        gateway.overload.record_delay(LATE_S, time.monotonic())
        status, _, headers = await fleet.call('/book/x', data=b'1' * 9000)
        assert status == 503
        assert 0 < float(headers['Retry-After']) < SAMPLE_PERIOD_S * 5
        assert len(fleet.runs()) == 1
        await wait_until(lambda: not gateway.overload.is_late)
        status, _, _ = await fleet.call('/book/x')
        assert status == 200


@run_async
async def test_a_blocked_loop_is_measured():
    """The delay of a loop shows without any request."""
    overload = OverloadControl()
    meter = LoopDelayMeter(overload)
    async with running(meter.run()):
        await asyncio.sleep(0)
        time.sleep(SAMPLE_PERIOD_S + LATE_S)  # noqa: ASYNC251
        await wait_until(lambda: overload.is_late)
        assert meter.take_longest_s() >= LATE_S
        await wait_until(lambda: not overload.is_late)
        assert meter.take_longest_s() < LATE_S
