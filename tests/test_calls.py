"""Tests of calls through routers: responses, refusals and faults."""

import asyncio
import contextlib

from bench.callers import chat, chat_document
from tests.fixtures import (
    count_deposit_runs,
    eventually,
    post_deposit,
    read_metric,
    with_fleet,
)

CHAT = '/v1/chat/completions'
BEARER = {'Authorization': 'Bearer key-of-small'}


async def post(fleet, path, document, headers=None, router=0):
    """Post to a router and return status and document."""
    async with fleet.session.post(
        f'{fleet.routers[router].url}{path}',
        json=document,
        headers=BEARER if headers is None else headers,
    ) as response:
        return response.status, await response.json(content_type=None)


async def is_fleet_idle(fleet):
    """Return whether no router has an open call or a slot in use."""
    for router in fleet.routers:
        if await read_metric(fleet, router, 'open_calls'):
            return False
        if await read_metric(fleet, router, 'target_in_flight'):
            return False
    return True


@with_fleet()
async def test_responses_are_complete_and_charged(fleet):
    """Streams and complete documents carry usage, receipt and charge."""
    url = fleet.routers[0].url
    outcome = await chat(fleet.session, url, 'small', 'hello there', 20)
    assert outcome.is_complete and not outcome.has_mismatch
    assert outcome.charge == 20 + 0.25 * 3
    status, document = await post(
        fleet, CHAT, chat_document('hello there', 5, stream=False)
    )
    assert status == 200
    text = document['choices'][0]['message']['content']
    assert len(text.split()) == 5
    assert document['usage']['completion_tokens'] == 5
    assert document['receipt']['charge'] == 5 + 0.25 * 3
    status, headers, _ = await post_deposit(fleet, fleet.routers[1])
    assert status == 200
    assert float(headers['X-Charge']) == 10
    assert headers['X-Receipt-Id'] != outcome.receipt
    await asyncio.sleep(2.5)
    table = await fleet.run_statement('SHOW USE BY ACCOUNT SINCE 1h')
    assert table['rows'] == [['small', 3, 6, 25, 25 + 1.5 + 10]]


@with_fleet()
async def test_malformed_requests_are_refused_with_code_and_step(fleet):
    """Every refusal names code, step and outcome; logs contain no key."""
    valid = chat_document('hello', 3)
    cases = (
        ({**valid, 'model': 'nothing'}, BEARER, 404, 'unknown_service'),
        ({'model': 'standin'}, BEARER, 400, 'bad_request'),
        ([1], BEARER, 400, 'bad_request'),
        (valid, {'Authorization': 'Bearer wrong'}, 401, 'unauthenticated'),
        (valid, {}, 401, 'unauthenticated'),
    )
    for document, headers, expected_status, error_type in cases:
        status, body = await post(fleet, CHAT, document, headers)
        assert (status, body['error']['type']) == (expected_status, error_type)
        assert body['error']['outcome'] == 'not_run'
        assert body['error']['step']
    status, body = await post(fleet, CHAT, chat_document('x' * 5_000_000, 3))
    assert (status, body['error']['type']) == (413, 'too_large')
    logs = [router.log_path.read_text() for router in fleet.routers]
    assert not any('key-of-' in text or 'wrong' in text for text in logs)
    status, body = await post(fleet, '/services/none/x', {})
    assert (status, body['error']['type']) == (404, 'unknown_service')
    await eventually(lambda: is_fleet_idle(fleet))


@with_fleet()
async def test_slot_is_freed_when_the_caller_disconnects(fleet):
    """A disconnect frees the slot and cancels the call at the target."""
    url = f'{fleet.routers[0].url}{CHAT}'
    for _ in range(20):
        response = await fleet.session.post(
            url, json=chat_document('long', 5000), headers=BEARER
        )
        await response.content.readany()
        response.close()
    await eventually(lambda: is_fleet_idle(fleet))

    async def are_engines_idle():
        loads = [
            await fleet.get(f'{target}/load')
            for target in fleet.targets['assistant']
        ]
        return not any(load['active'] for load in loads)

    await eventually(are_engines_idle)
    outcome = await chat(fleet.session, fleet.routers[1].url, 'large', 'x', 5)
    assert outcome.is_complete


@with_fleet()
async def test_mismatched_response_is_not_forwarded(fleet):
    """A response with the id of another attempt is not forwarded."""
    for target in fleet.targets['assistant']:
        await fleet.set_faults(target, crossed=True)
    outcome = await chat(fleet.session, fleet.routers[0].url, 'small', 'q', 9)
    assert outcome.tokens == 0
    assert outcome.refusal['type'] == 'answer_mismatch'
    for target in fleet.targets['booking']:
        await fleet.set_faults(target, crossed=True)
    status, _, body = await post_deposit(fleet, fleet.routers[0])
    assert (status, body['error']['type']) == (502, 'answer_mismatch')
    assert body['error']['outcome'] == 'outcome_unknown'


@with_fleet()
async def test_truncated_streams_are_resumed_or_end_in_an_error(fleet):
    """A truncated stream resumes at its offset, without gap or repetition.

    A stream that is truncated too often ends in an error.
    """
    for target in fleet.targets['assistant']:
        await fleet.set_faults(target, cut_after=20)
    url = fleet.routers[0].url
    outcome = await chat(fleet.session, url, 'small', 'resume me', 50)
    assert outcome.is_complete and not outcome.has_mismatch
    outcome = await chat(fleet.session, url, 'small', 'too often', 500)
    assert not outcome.is_complete and not outcome.has_mismatch
    assert outcome.refusal['type'] == 'target_failed'
    assert outcome.refusal['outcome'] == 'outcome_unknown'
    await eventually(lambda: is_fleet_idle(fleet))


@with_fleet()
async def test_not_run_is_reported_only_for_calls_not_executed(fleet):
    """A call refused as ``not_run`` was not executed, despite target faults."""
    first, second = fleet.targets['booking']
    await fleet.set_faults(first, refuse=0.6)
    await fleet.set_faults(second, lose_answers=0.6)
    reported = {}

    async def send(number):
        status, _, body = await post_deposit(
            fleet, fleet.routers[number % 3], body=f'deposit-{number}'
        )
        reported[f'deposit-{number}'] = (
            'run' if status == 200 else body['error']['outcome']
        )

    await asyncio.gather(*map(send, range(60)))
    runs = await count_deposit_runs(fleet)
    for label, outcome in reported.items():
        if outcome == 'not_run':
            assert runs.get(label, 0) == 0
        assert runs.get(label, 0) <= 1
        if outcome == 'run':
            assert runs[label] == 1
    assert set(reported.values()) >= {'run', 'outcome_unknown'}


@with_fleet()
async def test_put_is_not_retried_when_its_response_is_lost(fleet):
    """The HTTP client library does not retry a PUT by itself.

    The target may have executed the call whose response is lost.
    """
    for target in fleet.targets['booking']:
        await fleet.set_faults(target, lose_answers=1.0)
    async with fleet.session.put(
        f'{fleet.routers[0].url}/services/booking/slot',
        data='put-once',
        headers=BEARER,
    ) as response:
        assert response.status == 502
    assert (await count_deposit_runs(fleet))['put-once'] == 1


@with_fleet()
async def test_flood_of_one_account_does_not_delay_others(fleet):
    """The calls of a flooding account wait in its own queue."""
    flood = [
        asyncio.create_task(
            chat(fleet.session, fleet.routers[n % 3].url, 'small', f'f{n}', 40)
        )
        for n in range(400)
    ]
    await asyncio.sleep(1)
    completed_before = sum(task.done() for task in flood)
    for number in range(10):
        outcome = await chat(
            fleet.session, fleet.routers[1].url, 'large', f'l{number}', 5
        )
        assert outcome.is_complete
    completed_meanwhile = sum(task.done() for task in flood) - completed_before
    for task in flood:
        task.cancel()
    await asyncio.gather(*flood, return_exceptions=True)
    slots = 12
    assert completed_meanwhile <= 10 * 2 * slots


@with_fleet()
async def test_connection_is_closed_when_its_header_is_not_completed(fleet):
    """A connection that never completes its header is closed."""
    port = fleet.routers[0].port
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(b'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n')
    async with asyncio.timeout(14):
        response = await reader.read()
    assert response.startswith(b'HTTP/1.1 408')
    writer.close()
    with contextlib.suppress(ConnectionError):
        await writer.wait_closed()
