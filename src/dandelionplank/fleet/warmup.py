"""The task that learns at the start what the engines keep.

An instance that starts while the fleet runs knows nothing of the engines'
caches; after a restart of all instances nobody does. Placing prompts blindly
would read most prefixes once more, so each engine is asked once.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from dandelionplank.errors import TargetError
from dandelionplank.events import Event
from dandelionplank.fleet.view import FleetView
from dandelionplank.logs import log_event
from dandelionplank.routing.scheduler import Scheduler
from dandelionplank.routing.work import PromptPart
from dandelionplank.targets import Target

# Engines asked at the most; beyond it, peers' reports must do.
MOST_ASKED = 64
# Instances that start together do not ask together.
LONGEST_DELAY_S = 0.2
POLL_S = 0.02

KeptPartsReader = Callable[[Target], Awaitable[tuple[PromptPart, ...]]]


class CacheWarmup:
    """Asks engines for the prompt parts that they keep."""

    def __init__(
        self,
        view: FleetView,
        scheduler: Scheduler,
        read_kept_parts: KeptPartsReader,
    ) -> None:
        """Prepare; nobody is asked."""
        self.view = view
        self.scheduler = scheduler
        self.read_kept_parts = read_kept_parts

    async def run(self) -> None:
        """Ask once, as soon as the engines are known."""
        while not self.view.is_known:
            await asyncio.sleep(POLL_S)
        engines = [
            target
            for target in self.view.registry.targets.values()
            if self.scheduler.load_of(target).residency
        ]
        await asyncio.gather(*map(self._ask, engines[:MOST_ASKED]))

    async def _ask(self, target: Target) -> None:
        """Take in what one engine keeps."""
        await asyncio.sleep(random.uniform(0, LONGEST_DELAY_S))
        try:
            parts = await self.read_kept_parts(target)
        except TargetError as error:
            log_event(
                Event.CACHE_UNKNOWN,
                target=target.name,
                why=error.reason,
            )
            return
        residency = self.scheduler.load_of(target).residency
        if residency:
            residency.note_read(parts)
        log_event(
            Event.CACHE_KNOWN,
            target=target.name,
            parts=len(parts),
            tokens=sum(part.tokens for part in parts),
        )
