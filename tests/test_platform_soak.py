"""A short soak of gateway processes, and tests of the checks it makes."""

import asyncio
import contextlib
import tempfile
from pathlib import Path

from bench.fleet import reserve_ports
from bench.guarantees import (
    EVACUATED_AFTER_S,
    UNSTABLE_STORE_S,
    Call,
    Evacuation,
    duplicate_runs,
    evacuated_runs,
    incorrect_responses,
    joined_streams,
    refused_runs,
    revoked_key_runs,
    unrequested_runs,
    unstructured_log_lines,
)
from bench.links import LinkRelay
from bench.platformsoak import soak
from dandelionplank_standins.hostiletarget import HostileTarget
from dandelionplank_standins.platformtarget import ExecutedRequest
from tests.fixtures import run_async

SEED = 1
SECONDS = 6


def make_run(request_id, body=None):
    """Return a run of a request, whose body is its id by default."""
    received = request_id.encode() if body is None else body
    return ExecutedRequest(request_id, 'POST', '/book/x', received, {}, 0)


def make_call(request_id, prefix='/book/', **changes):
    """Return a caller's request."""
    fields = {'key': 'k', 'gateway': 0, 'sent_s': 10, **changes}
    return Call(request_id, prefix, **fields)


@run_async
async def test_a_short_soak_violates_no_guarantee():
    """Gateways keep their guarantees under overlapping faults."""
    with tempfile.TemporaryDirectory() as directory:
        run = await soak(SEED, SECONDS, Path(directory))
    assert not run.violations, '\n'.join(run.trace)
    assert any(call.status == 200 for call in run.calls)


def test_the_soak_detects_runs_that_no_caller_requested():
    """A run with an unknown id or a changed body is a violation."""
    sent = {'a': make_call('a')}
    assert not unrequested_runs(sent, [make_run('a')])
    assert unrequested_runs(sent, [make_run('b')])
    assert unrequested_runs(sent, [make_run('a', b'other')])


def test_the_soak_detects_second_runs_and_false_refusals():
    """Only retryable requests run twice; a 503 means not executed."""
    sent = {
        'a': make_call('a', status=503),
        'b': make_call('b', '/look/', status=503),
    }
    assert duplicate_runs(sent, [make_run('a'), make_run('a')])
    assert not duplicate_runs(sent, [make_run('b'), make_run('b')])
    assert refused_runs(sent, [make_run('a')])
    assert not refused_runs(sent, [make_run('b')])


def test_the_soak_detects_runs_with_revoked_keys():
    """Only keyed requests sent after the last use of a key are violations."""
    sent = {
        'late': make_call('late', '/mine/', sent_s=16),
        'soon': make_call('soon', '/mine/', sent_s=14),
        'public': make_call('public', '/look/', sent_s=16),
    }
    runs = [make_run(name) for name in sent]
    found = revoked_key_runs(sent, runs, {'k': 15})
    assert len(found) == 1
    assert found[0].startswith('late')


def test_the_soak_detects_runs_in_evacuated_data_centers():
    """Neither before the bound nor after the end of an order, or elsewhere."""
    in_force_s = 100 + EVACUATED_AFTER_S + UNSTABLE_STORE_S
    evacuation = Evacuation('a', 100, in_force_s + 2)
    runs = [
        ExecutedRequest(name, 'POST', '/book/x', b'', {}, started_at_s)
        for name, started_at_s in (
            ('before', 99),
            ('soon', in_force_s - 1),
            ('late', in_force_s + 1),
            ('after', in_force_s + 3),
        )
    ]
    found = evacuated_runs({'a': runs, 'b': runs}, [evacuation])
    assert len(found) == 1
    assert found[0].startswith('late')
    assert len(evacuated_runs({'a': runs}, [Evacuation('a', 100)])) == 2


def test_the_soak_detects_streams_of_two_versions():
    """A stream that brought no event may begin again at any version."""
    sent = {name: make_call(name, '/draft/') for name in ('joined', 'anew')}
    runs = [
        ExecutedRequest(name, 'POST', '/draft/x', b'', headers, at_s, version)
        for name, headers, at_s, version in (
            ('joined', {}, 1, '1'),
            ('joined', {'Last-Event-Id': '2'}, 2, '2'),
            ('anew', {}, 1, '1'),
            ('anew', {}, 2, '2'),
            ('anew', {'Last-Event-Id': '2'}, 3, '2'),
        )
    ]
    assert joined_streams(sent, runs) == ['joined went on at 2 after 1']


def test_the_soak_detects_wrong_responses_and_unstructured_logs():
    """A success needs a complete response; log lines must be JSON."""
    truncated = make_call('a', '/chat/', status=200, body=b'id: 1\ndata: x\n\n')
    complete = make_call('b', status=200, body=b'b')
    assert len(incorrect_responses([truncated, complete])) == 1
    with tempfile.TemporaryDirectory() as directory:
        log = Path(directory) / 'log'
        log.write_text('{"time":1}\nTraceback\n', encoding='utf-8')
        assert len(unstructured_log_lines([log])) == 1


async def read_through_relay(port, *, is_reset):
    """Return what a target sends through a relay before its connection ends."""

    async def respond(exchange):
        await exchange.write(b'half')
        await asyncio.sleep(0.02)
        exchange.end(is_reset=is_reset)

    server = await asyncio.start_server(
        HostileTarget(respond).serve, '127.0.0.1', port
    )
    relay = LinkRelay(reserve_ports(1)[0], port, 0)
    await relay.start()
    try:
        reader, writer = await asyncio.open_connection('127.0.0.1', relay.port)
        writer.write(b'GET / HTTP/1.1\r\n\r\n')
        received = await reader.read()
        writer.close()
    finally:
        await relay.stop()
        server.close()
    return received


@run_async
async def test_a_relay_passes_resets_on():
    """A relayed reset does not become a close, which may be a proper end."""
    port = reserve_ports(1)[0]
    assert await read_through_relay(port, is_reset=False) == b'half'
    with contextlib.suppress(ConnectionResetError):
        await read_through_relay(port, is_reset=True)
        raise AssertionError('the connection was closed, not reset')
