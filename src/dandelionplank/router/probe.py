"""Probes of slow targets with copies of calls; responses are discarded."""

import asyncio
import contextlib
import time

from dandelionplank.errors import TargetError
from dandelionplank.metrics import METRICS
from dandelionplank.router.calls import Call
from dandelionplank.router.entry import Entry
from dandelionplank.router.observations import ObservedStream
from dandelionplank.router.sse import ResponseStream
from dandelionplank.router.targets import Attempt
from dandelionplank.targets import Target

PROBE_EVENTS = 8
PROBE_TIMEOUT_S = 1.0


class TargetProbe:
    """Reads the first events of a copied call to measure a target's speed.

    The copy is not charged to any account and is aborted after a few
    events.
    """

    def __init__(self, entry: Entry, call: Call, pool: str) -> None:
        """Hold the call to copy.

        :param call: call whose copy is sent to the target
        :param pool: pool for which the observations are reported
        """
        self.entry = entry
        self.call = call
        self.pool = pool

    async def run(self, target: Target) -> None:
        """Probe one target; the observations go to the dispatcher."""
        METRICS.add('probes_total')
        attempt = Attempt(f'{self.entry.new_request_id()}.probe', target)
        stream = ResponseStream(attempt.id, has_attempt_ids=False)
        observed = self.entry.observations.open(
            ObservedStream(self.pool, target.name, stream),
        )
        try:
            with contextlib.suppress(TargetError, TimeoutError):
                async with asyncio.timeout(PROBE_TIMEOUT_S):
                    await self._read(attempt, stream, observed)
        finally:
            self.entry.observations.close(observed)

    async def _read(
        self,
        attempt: Attempt,
        stream: ResponseStream,
        observed: ObservedStream,
    ) -> None:
        """Send the copy and read its first events."""
        async with self.entry.connections.send(
            attempt,
            self.call.method,
            self.call.path,
            self.call.headers,
            self.call.body,
        ) as response:
            while stream.events < PROBE_EVENTS:
                chunk = await response.content.readany()
                if not chunk:
                    return
                stream.feed(chunk)
                observed.record_first_event(time.monotonic())
