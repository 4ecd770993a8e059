"""Tests of a fleet: shares, keys, configuration and shutdown."""

import asyncio
import errno
import signal
import socket
from http import HTTPStatus

import aiohttp

from bench.callers import chat, chat_document
from tests.fixtures import (
    ACCOUNTS,
    count_deposit_runs,
    eventually,
    post_deposit,
    read_metric,
    reserve_ports,
    run_on_both_loops,
    with_fleet,
)

TOKENS = 30


async def send_chats(fleet, account, routers, stopped, counts):
    """Send chats one after the other and count the tokens received."""
    number = 0
    while not stopped.is_set():
        number += 1
        router = fleet.routers[routers[number % len(routers)]]
        prompt = f'{account} {id(asyncio.current_task())} {number}'
        outcome = await chat(fleet.session, router.url, account, prompt, TOKENS)
        assert not outcome.has_mismatch
        if outcome.is_complete and not stopped.is_set():
            counts[account] += outcome.tokens


async def run_backlogged(fleet, seconds, halfway=None):
    """Keep all accounts backlogged and return the tokens each received."""
    stopped = asyncio.Event()
    counts = {account.name: 0 for account in ACCOUNTS}
    routers_of = {'small': (0,), 'middle': (0, 1), 'large': (2,)}
    tasks = [
        asyncio.create_task(
            send_chats(
                fleet, account.name, routers_of[account.name], stopped, counts
            )
        )
        for account in ACCOUNTS
        for _ in range(25)
    ]
    await asyncio.sleep(seconds / 2)
    if halfway:
        await halfway()
    await asyncio.sleep(seconds / 2)
    stopped.set()
    await asyncio.gather(*tasks)
    return counts


@with_fleet()
async def test_shares_hold_when_accounts_use_different_routers(fleet):
    """Accounts with shares 1:2:4 receive tokens in this ratio."""
    counts = await run_backlogged(fleet, 6)
    total = sum(counts.values())
    in_flight = 12 * TOKENS
    for account in ACCOUNTS:
        expected = total * account.share / 7
        assert abs(counts[account.name] - expected) <= 2 * in_flight


@with_fleet()
async def test_call_is_executed_once_when_all_routers_receive_its_key(fleet):
    """A call with a key is executed once; its stored response is replayed."""
    calls = [
        post_deposit(fleet, fleet.routers[n % 3], f'key-{n % 20}', f'd{n % 20}')
        for n in range(120)
    ]
    responses = await asyncio.gather(*calls)
    assert {status for status, _, _ in responses} <= {200, 409}
    runs = await count_deposit_runs(fleet)
    assert runs == {f'd{number}': 1 for number in range(20)}
    await eventually(lambda: _is_replayed(fleet))
    status, _, body = await post_deposit(
        fleet, fleet.routers[1], 'key-0', 'other'
    )
    assert (status, body['error']['type']) == (422, 'key_reused')
    await asyncio.sleep(2.5)
    table = await fleet.run_statement('SHOW USE BY ACCOUNT SINCE 1h')
    assert table['rows'][0][1] == 20, 'each deposit is charged once'


async def _is_replayed(fleet):
    """Return whether every router replays the stored response of a key."""
    responses = [
        await post_deposit(fleet, router, 'key-0', 'd0')
        for router in fleet.routers
    ]
    return all(
        status == 200 and headers.get('X-Replayed') == 'true'
        for status, headers, _ in responses
    )


@with_fleet()
async def test_calls_are_executed_once_when_store_responses_are_lost(fleet):
    """Store writes whose responses are lost are settled by reading back."""
    await fleet.set_faults(fleet.store_url, lose_answers=0.3)
    for _ in range(4):
        calls = [
            post_deposit(fleet, fleet.routers[n % 3], f'key-{n}', f'd{n}')
            for n in range(20)
        ]
        await asyncio.gather(*calls)
    await fleet.set_faults(fleet.store_url)
    runs = await count_deposit_runs(fleet)
    assert max(runs.values()) == 1

    async def all_settled():
        calls = [
            post_deposit(fleet, fleet.routers[0], f'key-{n}', f'd{n}')
            for n in range(20)
        ]
        responses = await asyncio.gather(*calls)
        return {status for status, _, _ in responses} == {200}

    await eventually(all_settled)
    assert await count_deposit_runs(fleet) == {f'd{n}': 1 for n in range(20)}


@with_fleet()
async def test_changes_are_applied_once_when_store_responses_are_lost(fleet):
    """A change that is retried with its id is applied once and not lost."""
    await fleet.set_faults(fleet.store_url, lose_answers=0.5)

    async def apply_change(number):
        statement = f'CREATE ACCOUNT new-{number} OWNER dobrescu SHARE 3'
        response = await fleet.run_statement(
            statement, number % 3, command_id=f'command-{number}'
        )
        return 'rows' in response

    for number in range(6):
        await eventually(lambda n=number: apply_change(n))
    await fleet.set_faults(fleet.store_url)
    history = (await fleet.run_statement('SHOW HISTORY'))['rows']
    commands = [row[4] for row in history]
    assert len(commands) == len(set(commands))
    assert {f'command-{number}' for number in range(6)} <= set(commands)
    for number in range(3):
        await eventually(lambda n=number: _has_account(fleet, n, 'new-5'))


async def _has_account(fleet, router, account):
    """Return whether a router has applied the creation of an account."""
    table = await fleet.run_statement('SHOW ACCOUNTS', router)
    return any(row[0] == account for row in table['rows'])


@with_fleet()
async def test_only_calls_with_a_key_are_refused_during_a_store_outage(fleet):
    """Calls with a key need the store; all others are served."""
    await fleet.set_faults(fleet.store_url, down=True)
    status, _, body = await post_deposit(fleet, fleet.routers[0], 'k1', 'keyed')
    assert status == 503
    assert body['error']['outcome'] == 'not_run'
    url = fleet.routers[1].url
    assert (
        await chat(fleet.session, url, 'small', 'still here', 5)
    ).is_complete
    assert (await post_deposit(fleet, fleet.routers[0], body='bare'))[0] == 200
    assert await count_deposit_runs(fleet) == {'bare': 1}
    await fleet.set_faults(fleet.store_url)

    async def is_executed():
        response = await post_deposit(fleet, fleet.routers[0], 'k1', 'keyed')
        return response[0] == 200

    await eventually(is_executed)
    assert (await count_deposit_runs(fleet))['keyed'] == 1


@with_fleet()
async def test_router_gets_the_configuration_of_peers_in_a_store_outage(fleet):
    """A router that starts in the outage has the latest configuration."""
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
    """Return whether a router has applied a share of the small account."""
    table = await fleet.run_statement('SHOW ACCOUNTS', router)
    return ['small', 'dobrescu', share] in [row[:3] for row in table['rows']]


@with_fleet()
async def test_streams_complete_when_the_dispatcher_shuts_down(fleet):
    """Streams complete and are charged while the pools are handed over."""
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
    assert all(each.is_complete and not each.has_mismatch for each in outcomes)
    assert await leaving.process.wait() == 0
    remaining = [each for each in fleet.routers if each is not leaving]
    outcome = await chat(fleet.session, remaining[0].url, 'small', 'after', 5)
    assert outcome.is_complete
    number = fleet.routers.index(remaining[0])
    pools = (await fleet.run_statement('SHOW POOLS', number))['rows']
    assert dispatcher not in {row[3] for row in pools}

    async def all_charged():
        table = await fleet.run_statement(
            'SHOW USE FOR ACCOUNT large SINCE 1h', number
        )
        return table['rows'] and table['rows'][0][1] == len(outcomes)

    await eventually(all_charged)


@with_fleet()
async def test_a_router_ends_though_callers_keep_their_connections(fleet):
    """Open connections would otherwise carry calls until the time limit."""
    leaving, other = fleet.routers[:2]
    callers = [
        asyncio.create_task(
            chat_until_told_to_close(leaving.url, other.url, tokens)
        )
        for tokens in (40, 50, 60, 70)
    ]
    await asyncio.sleep(0.5)
    leaving.process.send_signal(signal.SIGTERM)
    async with asyncio.timeout(15):
        assert await leaving.process.wait() == 0
    for status in await asyncio.gather(*callers):
        assert status == HTTPStatus.OK


async def chat_until_told_to_close(url, other_url, tokens):
    """Chat over one connection; at its end, once with another router.

    :return: the status of the last chat
    """
    document = chat_document(f'{tokens} tokens', tokens)
    headers = {'Authorization': 'Bearer key-of-large'}
    async with aiohttp.ClientSession(headers=headers) as session:
        is_open = True
        while is_open:
            chats = f'{url}/v1/chat/completions'
            async with session.post(chats, json=document) as response:
                assert '[DONE]' in await response.text()
                is_open = response.headers.get('Connection') != 'close'
        chats = f'{other_url}/v1/chat/completions'
        async with session.post(chats, json=document) as response:
            return response.status


@with_fleet()
async def test_streams_complete_when_the_dispatcher_is_killed(fleet):
    """Callers at the other routers are served while it is replaced."""
    pools = (await fleet.run_statement('SHOW POOLS'))['rows']
    dispatcher = next(row[3] for row in pools if row[1] == 'assistant')
    killed = next(each for each in fleet.routers if each.id == dispatcher)
    remaining = [each for each in fleet.routers if each is not killed]
    chats = [
        asyncio.create_task(
            chat(fleet.session, router.url, 'large', f'{router.id} {n}', 100)
        )
        for router in remaining
        for n in range(30)
    ]
    await asyncio.sleep(0.5)
    killed.process.kill()
    outcomes = await asyncio.gather(*chats)
    assert all(each.is_complete and not each.has_mismatch for each in outcomes)
    for router in remaining:
        assert not await read_metric(
            fleet, router, 'invariant_violations_total'
        )


@with_fleet()
async def test_drained_target_gets_no_new_work(fleet):
    """A drained target finishes its work and gets no more."""
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
async def test_target_listed_as_leaving_gets_no_new_work(fleet):
    """The state ``leaving`` in the instance list has the effect of a drain."""
    leaving = fleet.targets['assistant'][1]

    async def runs():
        return (await fleet.get(f'{leaving}/load'))['runs']

    async def leave():
        instance = {
            'id': 'assistant-1',
            'role': 'target',
            'address': leaving.removeprefix('http://'),
            'data_center': 'brasov-b',
            'region': 'loopback',
            'state': 'leaving',
        }
        await fleet.post(f'{fleet.list_url}/instances', [instance])
        await asyncio.sleep(3)
        fleet.runs_when_left = await runs()

    await run_backlogged(fleet, 4, leave)
    assert fleet.runs_when_left > 0
    assert await runs() == fleet.runs_when_left


@with_fleet()
async def test_change_is_applied_late_when_watches_are_dropped(fleet):
    """A watch that no longer reports anything is detected and replaced."""
    await fleet.set_faults(fleet.store_url, drop_watches=True)
    await fleet.run_statement('SET ACCOUNT small SHARE 7')
    for number in range(3):
        await eventually(lambda n=number: _has_share(fleet, n, 7))


@run_on_both_loops
async def test_reserved_ports_stay_free_until_their_server_binds_them():
    """Tests failed because another program had taken a reserved port."""
    port = reserve_ports(1)[0]
    with socket.socket() as other:
        is_taken = False
        try:
            other.bind(('127.0.0.1', port))
        except OSError as error:
            is_taken = error.errno == errno.EADDRINUSE
        assert is_taken
    loop = asyncio.get_running_loop()
    for _ in range(2):
        server = await loop.create_server(asyncio.Protocol, '127.0.0.1', port)
        server.close()
        await server.wait_closed()
