"""Task that loads the contents of the engines' prefix caches at startup.

An instance that joins a running fleet does not know what the engines cache;
after a restart of all instances none does. Placement without that knowledge
would prefill most prefixes again, so each engine is queried once.
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

# Maximum number of engines queried; peer reports cover the remaining ones.
MAX_ENGINES = 64
# Maximum random delay, so that instances that start together do not query
# the engines together.
MAX_DELAY_S = 0.2
POLL_S = 0.02

CachedPartsReader = Callable[[Target], Awaitable[tuple[PromptPart, ...]]]


class CacheWarmup:
    """Queries engines for the prompt parts in their prefix caches."""

    def __init__(
        self,
        view: FleetView,
        scheduler: Scheduler,
        fetch_cached_parts: CachedPartsReader,
    ) -> None:
        """Hold the view, the scheduler and the query for cached parts."""
        self.view = view
        self.scheduler = scheduler
        self.fetch_cached_parts = fetch_cached_parts

    async def run(self) -> None:
        """Query each engine once, as soon as the view is loaded."""
        while not self.view.is_loaded:
            await asyncio.sleep(POLL_S)
        engines = [
            target
            for target in self.view.registry.targets.values()
            if not self.view.registry.is_excluded(target)
            and self.scheduler.load_of(target).prefix_cache
        ]
        await asyncio.gather(*map(self._query, engines[:MAX_ENGINES]))

    async def _query(self, target: Target) -> None:
        """Record the prompt parts that one engine caches."""
        await asyncio.sleep(random.uniform(0, MAX_DELAY_S))
        if self.view.registry.is_excluded(target):
            return
        try:
            parts = await self.fetch_cached_parts(target)
        except TargetError as error:
            log_event(
                Event.CACHE_UNKNOWN,
                target=target.name,
                why=error.reason,
            )
            return
        prefix_cache = self.scheduler.load_of(target).prefix_cache
        if prefix_cache:
            prefix_cache.record_prefill(parts)
        log_event(
            Event.CACHE_KNOWN,
            target=target.name,
            parts=len(parts),
            tokens=sum(part.tokens for part in parts),
        )
