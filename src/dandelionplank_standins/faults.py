"""Faults that a test switches on in a stand-in while it runs."""

import asyncio
import random
from typing import Self

import msgspec
from aiohttp import web

FAULTS_PATH = '/standin/faults'


class Faults(msgspec.Struct):
    """Faults of one stand-in.

    :param down: connections are dropped before anything is done
    :param delay_s: added to every answer
    :param lose_answers: probability that the work is done but not answered
    :param refuse: probability of a refusal without running the call
    :param slowdown: factor on the time per token or per call
    :param silent: streams stop sending but stay open
    :param cut_after: streams break after so many events, zero for never
    :param crossed: answers carry the id of another attempt
    :param drop_watches: watches stay open but report nothing
    """

    down: bool = False
    delay_s: float = 0
    lose_answers: float = 0
    refuse: float = 0
    slowdown: float = 1
    silent: bool = False
    cut_after: int = 0
    crossed: bool = False
    drop_watches: bool = False


class FaultSwitch:
    """Holds the present faults and serves the way to change them."""

    def __init__(self, seed: int = 1) -> None:
        """Start without faults."""
        self.faults = Faults()
        self.rng = random.Random(seed)

    @classmethod
    def attach(cls, application: web.Application) -> Self:
        """Build a switch and add its route to a stand-in."""
        switch = cls()
        application.router.add_post(FAULTS_PATH, switch.change)
        return switch

    async def change(self, request: web.Request) -> web.Response:
        """Replace the faults by those in the body."""
        self.faults = msgspec.json.decode(await request.read(), type=Faults)
        return web.Response(text='ok\n')

    def strikes(self, probability: float) -> bool:
        """Tell whether a fault of this probability happens now."""
        return probability > 0 and self.rng.random() < probability

    async def before(self, request: web.Request) -> None:
        """Apply the faults that come before the work is done."""
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            drop_connection(request)

    def after(self, request: web.Request) -> None:
        """Apply the faults that come after the work is done."""
        if self.strikes(self.faults.lose_answers):
            drop_connection(request)


def drop_connection(request: web.Request) -> None:
    """Cut a connection without an answer.

    :raises asyncio.CancelledError: always, to end the handler
    """
    if request.transport:
        request.transport.abort()
    raise asyncio.CancelledError
