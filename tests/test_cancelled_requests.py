"""Tests of requests that are cancelled as they are decided."""

import asyncio
import contextlib

from dandelionplank.delivery.dispatch import Dispatcher
from dandelionplank.errors import ErrorCode, RefusalError
from dandelionplank.fleet.peers import PeerLoadTable
from dandelionplank.routing.scheduler import Scheduler
from tests.fixtures import only, run_async
from tests.test_pool_owners import make_engine, make_waiting, make_work

REFUSAL = RefusalError('late', step='queue', code=ErrorCode.QUEUE_TIMEOUT)


@run_async
async def test_a_request_that_is_refused_as_it_is_cancelled_stays_cancelled():
    """Its refusal replaced the cancellation, and nobody received it."""
    engine = make_engine('only')
    dispatcher = Dispatcher(Scheduler('a', lambda _: [engine], PeerLoadTable()))
    load = dispatcher.scheduler.load_of(engine)
    load.running = load.slots
    waiting = make_waiting(make_work('shared', 'own'))
    acquiring = asyncio.ensure_future(dispatcher.acquire(waiting))
    await asyncio.sleep(0)
    only(list(dispatcher.futures.values())).set_exception(REFUSAL)
    acquiring.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await acquiring
    assert acquiring.cancelled()
