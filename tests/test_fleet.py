"""The fleet as a whole: shares, keys, configuration and shutdown."""

import asyncio
import signal

from bench.callers import chat
from tests.fixtures import (
    ACCOUNTS,
    deposit,
    deposit_runs,
    eventually,
    metric,
    with_fleet,
)

TOKENS = 30


async def keep_asking(fleet, account, routers, until, counts):
    """Chat without a pause and count the tokens that were received."""
    number = 0
    while not until.is_set():
        number += 1
        router = fleet.routers[routers[number % len(routers)]]
        prompt = f'{account} {id(asyncio.current_task())} {number}'
        outcome = await chat(fleet.session, router.url, account, prompt, TOKENS)
        assert not outcome.wrong
        if outcome.whole and not until.is_set():
            counts[account] += outcome.tokens


async def run_backlogged(fleet, seconds, during=None):
    """Keep all accounts backlogged and return what each received."""
    until = asyncio.Event()
    counts = {account.name: 0 for account in ACCOUNTS}
    uneven = {'small': (0,), 'middle': (0, 1), 'large': (2,)}
    tasks = [
        asyncio.create_task(
            keep_asking(
                fleet, account.name, uneven[account.name], until, counts
            )
        )
        for account in ACCOUNTS
        for _ in range(25)
    ]
    await asyncio.sleep(seconds / 2)
    if during:
        await during()
    await asyncio.sleep(seconds / 2)
    until.set()
    await asyncio.gather(*tasks)
    return counts


@with_fleet()
async def test_shares_hold_across_routers(fleet):
    """Shares 1:2:4 get service in these ratios, however callers spread."""
    counts = await run_backlogged(fleet, 6)
    total = sum(counts.values())
    in_flight = 12 * TOKENS
    for account in ACCOUNTS:
        expected = total * account.share / 7
        assert abs(counts[account.name] - expected) <= 2 * in_flight


@with_fleet()
async def test_one_key_sent_to_all_routers_runs_once(fleet):
    """A key runs once however often and wherever it is sent."""
    calls = [
        deposit(fleet, fleet.routers[n % 3], f'key-{n % 20}', f'd{n % 20}')
        for n in range(120)
    ]
    answers = await asyncio.gather(*calls)
    assert {status for status, _, _ in answers} <= {200, 409}
    runs = await deposit_runs(fleet)
    assert runs == {f'd{number}': 1 for number in range(20)}
    await eventually(lambda: _replayed(fleet))
    status, _, body = await deposit(fleet, fleet.routers[1], 'key-0', 'other')
    assert (status, body['error']['type']) == (422, 'key_reused')
    await asyncio.sleep(2.5)
    table = await fleet.run_statement('SHOW USE BY ACCOUNT SINCE 1h')
    assert table['rows'][0][1] == 20, 'each deposit is charged once'


async def _replayed(fleet):
    """Tell whether a used key gives the stored answer on every router."""
    answers = [
        await deposit(fleet, router, 'key-0', 'd0') for router in fleet.routers
    ]
    return all(
        status == 200 and headers.get('X-Replayed') == 'true'
        for status, headers, _ in answers
    )


@with_fleet()
async def test_lost_answers_of_the_store_cause_no_second_run(fleet):
    """Writes whose answers are lost are settled by reading back."""
    await fleet.set_faults(fleet.store_url, lose_answers=0.3)
    for _ in range(4):
        calls = [
            deposit(fleet, fleet.routers[n % 3], f'key-{n}', f'd{n}')
            for n in range(20)
        ]
        await asyncio.gather(*calls)
    await fleet.set_faults(fleet.store_url)
    runs = await deposit_runs(fleet)
    assert max(runs.values()) == 1

    async def all_settled():
        calls = [
            deposit(fleet, fleet.routers[0], f'key-{n}', f'd{n}')
            for n in range(20)
        ]
        answers = await asyncio.gather(*calls)
        return {status for status, _, _ in answers} == {200}

    await eventually(all_settled)
    assert await deposit_runs(fleet) == {f'd{n}': 1 for n in range(20)}


@with_fleet()
async def test_lost_answers_of_the_store_lose_no_change(fleet):
    """A change sent again with its id is made once and not lost."""
    await fleet.set_faults(fleet.store_url, lose_answers=0.5)

    async def change(number):
        statement = f'CREATE ACCOUNT new-{number} OWNER dobrescu SHARE 3'
        answer = await fleet.run_statement(
            statement, number % 3, command_id=f'command-{number}'
        )
        return 'rows' in answer

    for number in range(6):
        await eventually(lambda n=number: change(n))
    await fleet.set_faults(fleet.store_url)
    history = (await fleet.run_statement('SHOW HISTORY'))['rows']
    commands = [row[4] for row in history]
    assert len(commands) == len(set(commands))
    assert {f'command-{number}' for number in range(6)} <= set(commands)
    for number in range(3):
        await eventually(lambda n=number: _knows(fleet, n, 'new-5'))


async def _knows(fleet, router, account):
    """Tell whether a router has an account in force."""
    table = await fleet.run_statement('SHOW ACCOUNTS', router)
    return any(row[0] == account for row in table['rows'])


@with_fleet()
async def test_store_outage_refuses_keys_and_stops_nothing_else(fleet):
    """While the store is out keyed calls do not run; chats go on."""
    await fleet.set_faults(fleet.store_url, down=True)
    status, _, body = await deposit(fleet, fleet.routers[0], 'k1', 'keyed')
    assert status == 503
    assert body['error']['outcome'] == 'not_run'
    url = fleet.routers[1].url
    assert (await chat(fleet.session, url, 'small', 'still here', 5)).whole
    assert (await deposit(fleet, fleet.routers[0], body='bare'))[0] == 200
    assert await deposit_runs(fleet) == {'bare': 1}
    await fleet.set_faults(fleet.store_url)

    async def runs_again():
        answer = await deposit(fleet, fleet.routers[0], 'k1', 'keyed')
        return answer[0] == 200

    await eventually(runs_again)
    assert (await deposit_runs(fleet))['keyed'] == 1


@with_fleet()
async def test_router_that_restarts_in_an_outage_asks_its_peers(fleet):
    """A router that starts while the store is out gets the configuration."""
    await fleet.run_statement('SET ACCOUNT small SHARE 9')
    for number in range(3):
        await eventually(lambda n=number: _has_share(fleet, n, 9))
    await fleet.set_faults(fleet.store_url, down=True)
    router = fleet.routers[2]
    router.process.kill()
    await router.process.wait()
    await fleet.start_router(router)
    await fleet.wait_ready(router)
    assert await _has_share(fleet, 2, 9)


async def _has_share(fleet, router, share):
    """Tell whether a router has a share of the small account in force."""
    table = await fleet.run_statement('SHOW ACCOUNTS', router)
    return ['small', 'dobrescu', share] in [row[:3] for row in table['rows']]


@with_fleet()
async def test_graceful_shutdown_cuts_no_stream(fleet):
    """Streams in flight end whole while another router takes the pools."""
    pools = (await fleet.run_statement('SHOW POOLS'))['rows']
    dispatcher = next(row[3] for row in pools if row[1] == 'assistant')
    leaving = next(each for each in fleet.routers if each.id == dispatcher)
    chats = [
        asyncio.create_task(
            chat(fleet.session, router.url, 'large', f'{router.id} {n}', 200)
        )
        for router in fleet.routers
        for n in range(8)
    ]
    await asyncio.sleep(0.5)
    leaving.process.send_signal(signal.SIGTERM)
    outcomes = await asyncio.gather(*chats)
    assert all(each.whole and not each.wrong for each in outcomes)
    assert await leaving.process.wait() == 0
    rest = [each for each in fleet.routers if each is not leaving]
    outcome = await chat(fleet.session, rest[0].url, 'small', 'after', 5)
    assert outcome.whole
    number = fleet.routers.index(rest[0])
    pools = (await fleet.run_statement('SHOW POOLS', number))['rows']
    assert dispatcher not in {row[3] for row in pools}

    async def all_charged():
        table = await fleet.run_statement(
            'SHOW USE FOR ACCOUNT large SINCE 1h', number
        )
        return table['rows'] and table['rows'][0][1] == len(outcomes)

    await eventually(all_charged)


@with_fleet()
async def test_killed_dispatcher_is_replaced(fleet):
    """Callers at the other routers are served on after a crash."""
    pools = (await fleet.run_statement('SHOW POOLS'))['rows']
    dispatcher = next(row[3] for row in pools if row[1] == 'assistant')
    killed = next(each for each in fleet.routers if each.id == dispatcher)
    rest = [each for each in fleet.routers if each is not killed]
    chats = [
        asyncio.create_task(
            chat(fleet.session, router.url, 'large', f'{router.id} {n}', 100)
        )
        for router in rest
        for n in range(30)
    ]
    await asyncio.sleep(0.5)
    killed.process.kill()
    outcomes = await asyncio.gather(*chats)
    assert all(each.whole and not each.wrong for each in outcomes)
    for router in rest:
        assert not await metric(fleet, router, 'invariant_violations_total')


@with_fleet()
async def test_drained_target_gets_no_new_work(fleet):
    """A target that is drained finishes its work and gets no more."""
    drained = fleet.targets['assistant'][0]

    async def runs():
        return (await fleet.get(f'{drained}/load'))['runs']

    async def drain():
        await fleet.run_statement('DRAIN TARGET assistant-0')
        await asyncio.sleep(2)
        fleet.runs_when_drained = await runs()

    await run_backlogged(fleet, 4, drain)
    assert fleet.runs_when_drained > 0
    assert await runs() == fleet.runs_when_drained


@with_fleet()
async def test_target_leaving_in_the_list_gets_no_new_work(fleet):
    """The platform's word that a target leaves is enough."""
    leaving = fleet.targets['assistant'][1]

    async def runs():
        return (await fleet.get(f'{leaving}/load'))['runs']

    async def leave():
        line = {
            'id': 'assistant-1',
            'role': 'target',
            'address': leaving.removeprefix('http://'),
            'data_center': 'brasov-b',
            'region': 'loopback',
            'state': 'leaving',
        }
        await fleet.post(f'{fleet.list_url}/instances', [line])
        await asyncio.sleep(3)
        fleet.runs_when_left = await runs()

    await run_backlogged(fleet, 4, leave)
    assert fleet.runs_when_left > 0
    assert await runs() == fleet.runs_when_left


@with_fleet()
async def test_dropped_watches_delay_a_change_but_do_not_lose_it(fleet):
    """A watch that reports nothing any more is found and replaced."""
    await fleet.set_faults(fleet.store_url, drop_watches=True)
    await fleet.run_statement('SET ACCOUNT small SHARE 7')
    for number in range(3):
        await eventually(lambda n=number: _has_share(fleet, n, 7))
