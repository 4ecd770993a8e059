"""Task that records intents of keyed calls in the key-value service."""

import asyncio
import contextlib
import dataclasses
import time
import uuid
from collections.abc import Callable

import msgspec

from dandelionplank.errors import (
    StoreConflictError,
    StoreError,
    StoreUnknownError,
)
from dandelionplank.events import Event
from dandelionplank.logs import log_event
from dandelionplank.metrics import METRICS
from dandelionplank.once.intents import (
    ClaimOutcome,
    Intent,
    IntentShard,
    IntentState,
    StoredAnswer,
    Verdict,
    claim,
    expire,
    mark_unknown,
    release,
    settle,
    shard_of,
)
from dandelionplank.platform.keyvalue import (
    ABSENT,
    KeyValueStore,
    put_settled,
)
from dandelionplank.settings import LedgerSettings

MAX_CONFLICTS = 20
RETRY_PAUSE_S = 0.5
_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(IntentShard)

Step = Callable[[IntentShard], IntentShard]


@dataclasses.dataclass
class ShardOperation:
    """A change of a shard that waits to be written.

    :param step: returns the changed shard
    :param must_write: write even if the shard stays the same, so that an
        earlier write of unknown outcome cannot take effect any more
    """

    step: Step
    done: asyncio.Future[IntentShard]
    must_write: bool = False

    def succeed(self, before: IntentShard) -> None:
        """Complete the operation with the shard as it was found."""
        if not self.done.done():
            self.done.set_result(before)

    def fail(self, error: StoreError) -> None:
        """Complete the operation with an error."""
        if not self.done.done():
            self.done.set_exception(error)


class ShardWriter:
    """Writes the operations of one shard, many in one compare-and-swap.

    :param key: key of the shard's value
    """

    def __init__(
        self,
        store: KeyValueStore,
        key: str,
        retention_s: float,
    ) -> None:
        """Start without a cached value."""
        self.store = store
        self.key = key
        self.retention_s = retention_s
        self.pending: list[ShardOperation] = []
        self.shard: IntentShard | None = None
        self.revision = ABSENT
        self.worker: asyncio.Task[None] | None = None

    async def apply(
        self,
        step: Step,
        *,
        must_write: bool = False,
    ) -> IntentShard:
        """Apply one operation and return the shard as it was found.

        :raises StoreError: nothing was written
        :raises StoreUnknownError: the write may have taken effect
        """
        loop = asyncio.get_running_loop()
        operation = ShardOperation(step, loop.create_future(), must_write)
        self.pending.append(operation)
        if self.worker is None or self.worker.done():
            self.worker = loop.create_task(self._work())
        return await asyncio.shield(operation.done)

    async def _work(self) -> None:
        """Write batches until none is left."""
        while self.pending:
            batch = self.pending
            self.pending = []
            try:
                await self._write(batch)
            except StoreError as error:
                self.shard = None
                for operation in batch:
                    operation.fail(error)

    async def _write(self, batch: list[ShardOperation]) -> None:
        """Apply a batch to the latest shard and store it."""
        METRICS.add('intent_batches_total')
        METRICS.add('intent_operations_total', len(batch))
        for _ in range(MAX_CONFLICTS):
            shard = await self._load()
            found: list[IntentShard] = []
            changed = shard
            for operation in batch:
                found.append(changed)
                changed = operation.step(changed)
            try:
                await self._store(shard, changed, batch)
            except StoreConflictError:
                self.shard = None
                continue
            for operation, before in zip(batch, found, strict=True):
                operation.succeed(before)
            return
        raise StoreError('too many writers', step='intent', peer=self.key)

    async def _load(self) -> IntentShard:
        """Return the shard, from the cache if there is one."""
        if self.shard is None:
            stored = await self.store.get(self.key)
            self.revision = stored.revision if stored else ABSENT
            self.shard = (
                _DECODER.decode(stored.payload) if stored else IntentShard()
            )
        return self.shard

    async def _store(
        self,
        before: IntentShard,
        after: IntentShard,
        batch: list[ShardOperation],
    ) -> None:
        """Write a changed shard; an unchanged one is confirmed by reading.

        A cached shard may be out of date, so a batch that changes nothing
        is believed only if the stored revision is the cached one.
        """
        must_write = any(operation.must_write for operation in batch)
        if after is before and not must_write:
            stored = await self.store.get(self.key)
            found = stored.revision if stored else ABSENT
            if found != self.revision:
                raise StoreConflictError(step='intent', peer=self.key)
            return
        kept = expire(after, time.time() - self.retention_s)
        written = msgspec.structs.replace(kept, write_id=uuid.uuid4().hex)
        self.revision = await put_settled(
            self.store,
            self.key,
            _ENCODER.encode(written),
            self.revision,
        )
        self.shard = written


class IntentTask:
    """Claims keys before calls are sent and stores their answers.

    :param holder: incarnation of this instance
    :param is_alive: tells whether another incarnation still runs
    """

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        settings: LedgerSettings,
        holder: str,
        is_alive: Callable[[str], bool],
    ) -> None:
        """Start without any shard."""
        self.store = store
        self.prefix = f'{prefix}intents/'
        self.settings = settings
        self.holder = holder
        self.is_alive = is_alive
        self.writers: dict[int, ShardWriter] = {}
        self.background: set[asyncio.Task[None]] = set()

    async def claim(self, key: str, fingerprint: str) -> ClaimOutcome:
        """Record the intent to run a call.

        :raises StoreError: the call must not run
        """
        wanted = Intent(
            key,
            fingerprint,
            uuid.uuid4().hex,
            self.holder,
            IntentState.CLAIMED,
            time.time(),
        )
        writer = self._writer_of(key)
        try:
            before = await writer.apply(
                lambda shard: claim(shard, wanted).shard
            )
        except StoreError as error:
            if isinstance(error, StoreUnknownError):
                self.release(wanted)
            raise
        except asyncio.CancelledError:
            self.release(wanted)
            raise
        outcome = claim(before, wanted)
        if outcome.verdict is Verdict.RUN:
            log_event(Event.INTENT_WRITTEN, nonce=wanted.nonce)
            return outcome
        return self._judge_holder(outcome)

    def settle(self, intent: Intent, answer: StoredAnswer) -> None:
        """Store the answer of a call, however long it takes."""
        self._keep_trying(
            intent,
            lambda shard: settle(shard, intent.key, intent.nonce, answer),
        )

    def mark_unknown(self, intent: Intent) -> None:
        """Note that a call may or may not have run."""
        self._keep_trying(
            intent,
            lambda shard: mark_unknown(shard, intent.key, intent.nonce),
        )

    def release(self, intent: Intent) -> None:
        """Give up a claim whose call certainly did not run."""
        self._keep_trying(
            intent,
            lambda shard: release(shard, intent.key, intent.nonce),
            must_write=True,
        )

    async def flush(self, timeout_s: float) -> None:
        """Wait until everything is stored, but no longer than the timeout."""
        if self.background:
            await asyncio.wait(self.background, timeout=timeout_s)

    def _judge_holder(self, outcome: ClaimOutcome) -> ClaimOutcome:
        """Call a claim unknown whose holder has ended."""
        log_event(Event.INTENT_REPEATED, verdict=outcome.verdict.value)
        if outcome.verdict is not Verdict.IN_PROGRESS:
            return outcome
        if self.is_alive(outcome.intent.holder):
            return outcome
        self.mark_unknown(outcome.intent)
        return msgspec.structs.replace(outcome, verdict=Verdict.UNKNOWN)

    def _writer_of(self, key: str) -> ShardWriter:
        """Return the writer of the shard that holds a key."""
        number = shard_of(key, self.settings.intent_shards)
        writer = self.writers.get(number)
        if writer is None:
            writer = ShardWriter(
                self.store,
                f'{self.prefix}{number:04d}',
                self.settings.intent_retention_s,
            )
            self.writers[number] = writer
        return writer

    def _keep_trying(
        self,
        intent: Intent,
        step: Step,
        *,
        must_write: bool = False,
    ) -> None:
        """Apply an operation in the background until it is stored."""
        task = asyncio.get_running_loop().create_task(
            self._retry(intent, step, must_write=must_write),
        )
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def _retry(
        self,
        intent: Intent,
        step: Step,
        *,
        must_write: bool,
    ) -> None:
        """Apply an operation until the store has taken it."""
        writer = self._writer_of(intent.key)
        while True:
            with contextlib.suppress(StoreError):
                await writer.apply(step, must_write=must_write)
                return
            await asyncio.sleep(RETRY_PAUSE_S)
