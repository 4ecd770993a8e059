"""A short soak of gateways in processes, and the checks that it makes."""

import tempfile
from pathlib import Path

from bench.platformsoak import soak
from bench.promises import (
    Call,
    duplicate_runs,
    incorrect_responses,
    refused_runs,
    revoked_key_runs,
    unrequested_runs,
    unstructured_log_lines,
)
from dandelionplank_standins.platformengine import Run
from tests.fixtures import run_async

SEED = 1
SECONDS = 6


def run_of(request_id, body=None):
    """Return a run of a request."""
    sent = request_id.encode() if body is None else body
    return Run(request_id, 'POST', '/book/x', sent, {}, 0)


def call_of(request_id, prefix='/book/', **changes):
    """Return a caller's request."""
    given = {'key': 'k', 'gateway': 0, 'sent_s': 10, **changes}
    return Call(request_id, prefix, **given)


@run_async
async def test_a_short_soak_breaks_no_promise():
    """Gateways keep their promises under overlapping disturbances."""
    with tempfile.TemporaryDirectory() as directory:
        run = await soak(SEED, SECONDS, Path(directory))
    assert not run.violations, '\n'.join(run.trace)
    assert any(call.status == 200 for call in run.calls)


def test_the_soak_sees_runs_that_nobody_asked_for():
    """An unknown id or another body is found."""
    sent = {'a': call_of('a')}
    assert not unrequested_runs(sent, [run_of('a')])
    assert unrequested_runs(sent, [run_of('b')])
    assert unrequested_runs(sent, [run_of('a', b'other')])


def test_the_soak_sees_second_runs_and_false_refusals():
    """Only what may be repeated runs twice; 503 says that nothing ran."""
    sent = {
        'a': call_of('a', status=503),
        'b': call_of('b', '/look/', status=503),
    }
    assert duplicate_runs(sent, [run_of('a'), run_of('a')])
    assert not duplicate_runs(sent, [run_of('b'), run_of('b')])
    assert refused_runs(sent, [run_of('a')])
    assert not refused_runs(sent, [run_of('b')])


def test_the_soak_sees_runs_with_revoked_keys():
    """Only keyed requests that were sent too late count."""
    sent = {
        'late': call_of('late', '/mine/', sent_s=16),
        'soon': call_of('soon', '/mine/', sent_s=14),
        'public': call_of('public', '/look/', sent_s=16),
    }
    runs = [run_of(name) for name in sent]
    found = revoked_key_runs(sent, runs, {'k': 15})
    assert len(found) == 1
    assert found[0].startswith('late')


def test_the_soak_sees_foreign_answers_and_free_text_in_logs():
    """A success is the target's whole answer; log lines are JSON."""
    cut = call_of('a', '/chat/', status=200, body=b'id: 1\ndata: x\n\n')
    good = call_of('b', status=200, body=b'b')
    assert len(incorrect_responses([cut, good])) == 1
    with tempfile.TemporaryDirectory() as directory:
        log = Path(directory) / 'log'
        log.write_text('{"time":1}\nTraceback\n', encoding='utf-8')
        assert len(unstructured_log_lines([log])) == 1
