"""Tests of tasks that fail again and again."""

import asyncio
from unittest import mock

from bench.platform import configuration
from dandelionplank.delivery.dispatch import Dispatcher
from dandelionplank.events import Event
from dandelionplank.fleet import supervision
from dandelionplank.fleet.supervision import FAILING_ERRORS, Supervisor
from tests.fixtures import count_events, only, run_async, wait_until
from tests.platformfleet import platform_fleet


async def fail():
    """Fail as a task does whose input it cannot handle."""
    raise RecursionError('nested too deeply')


def short_pauses():
    """Shorten the pauses between the starts of a task."""
    return mock.patch.multiple(
        supervision, LONGEST_RESTART_S=0.001, SOUND_AFTER_S=0.05
    )


@run_async
async def test_a_task_that_always_fails_does_not_end_the_daemon():
    """All instances would end in the same way; requests are still served."""
    with short_pauses():
        async with platform_fleet() as fleet:
            gateway = only(fleet.gateways)
            gateway.supervisor.spawn('fail', fail)
            await wait_until(lambda: 'fail' in gateway.supervisor.failing)
            assert not gateway.stopping.is_set()
            assert (await fleet.call('/look/x'))[0] == 200
            ready = gateway.settings.listen.readiness
            async with fleet.session.get(f'http://{ready}/v1/ready') as page:
                assert page.status == 200


@run_async
async def test_an_instance_whose_dispatch_fails_is_not_ready():
    """Its callers connect to another instance."""
    async with platform_fleet() as fleet:
        gateway = only(fleet.gateways)
        name = Dispatcher.run.__qualname__
        gateway.supervisor.errors[name] = FAILING_ERRORS
        ready = gateway.settings.listen.readiness
        async with fleet.session.get(f'http://{ready}/v1/ready') as page:
            assert page.status == 503


@run_async
async def test_a_failing_task_is_logged_seldom_and_recovers():
    """A task that has run for a while without an error is sound again."""
    attempts = []

    async def fail_for_a_while():
        attempts.append(len(attempts))
        if len(attempts) < 40:
            raise ValueError('malformed')
        await asyncio.sleep(10)

    events = (Event.TASK_FAILED, Event.TASK_FAILING, Event.TASK_RECOVERED)
    before = list(map(count_events, events))
    supervisor = Supervisor()
    with short_pauses():
        supervisor.spawn('task', fail_for_a_while)
        await wait_until(lambda: supervisor.failing)
        await wait_until(lambda: not supervisor.failing)
        await supervisor.cancel()
    logged = [
        count - earlier
        for count, earlier in zip(
            map(count_events, events), before, strict=True
        )
    ]
    assert logged == [FAILING_ERRORS - 1, 1, 1]


@run_async
async def test_a_change_that_cannot_be_applied_does_not_stop_the_others():
    """An unexpected error concerns one document."""
    async with platform_fleet() as fleet:
        gateway = only(fleet.gateways)
        gateway.view.listeners.insert(0, mock.Mock(side_effect=KeyError('x')))
        malformed_before = count_events(Event.DOCUMENT_MALFORMED)
        fleet.store.put('op/config', configuration(2))
        await fleet.start_target('plain-9', 'plain')
        targets = gateway.view.registry.targets
        await wait_until(lambda: 'plain-9' in targets)
        assert count_events(Event.DOCUMENT_MALFORMED) == malformed_before + 1
        assert not gateway.supervisor.errors
