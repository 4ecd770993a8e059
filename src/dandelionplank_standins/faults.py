"""Faults that a test injects into a running stand-in."""

import asyncio
import random
from typing import Self

import msgspec
from aiohttp import web

FAULTS_PATH = '/standin/faults'


class Faults(msgspec.Struct):
    """Faults of one stand-in.

    :param down: connections are reset before the request is processed
    :param delay_s: delay before every request is processed
    :param lose_answers: probability that a request is executed but gets no
        response
    :param refuse: probability that a request is refused without being executed
    :param slowdown: factor on the time per token or per call
    :param silent: streams send nothing more but stay open
    :param cut_after: events after which a stream is cut, zero for never
    :param crossed: responses carry the id of another attempt
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


class FaultInjector:
    """Holds the current faults and serves the route that replaces them."""

    def __init__(self, seed: int = 1) -> None:
        """Hold the current faults, at first none.

        :param seed: seed of the random draws that decide on faults
        """
        self.faults = Faults()
        self.rng = random.Random(seed)

    @classmethod
    def attach(cls, application: web.Application) -> Self:
        """Build an injector and add its route to an application."""
        injector = cls()
        application.router.add_post(FAULTS_PATH, injector.change)
        return injector

    async def change(self, request: web.Request) -> web.Response:
        """Replace all faults with those in the request body."""
        self.faults = msgspec.json.decode(await request.read(), type=Faults)
        return web.Response(text='ok\n')

    def should_inject(self, probability: float) -> bool:
        """Return whether to inject a fault that has this probability."""
        return probability > 0 and self.rng.random() < probability

    async def inject_before(self, request: web.Request) -> None:
        """Inject the faults that precede the processing of a request."""
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            drop_connection(request)

    def inject_after(self, request: web.Request) -> None:
        """Inject the faults that follow the processing of a request."""
        if self.should_inject(self.faults.lose_answers):
            drop_connection(request)


def drop_connection(request: web.Request) -> None:
    """Reset a connection without sending a response.

    :raises asyncio.CancelledError: always, to end the handler
    """
    if request.transport:
        request.transport.abort()
    raise asyncio.CancelledError
