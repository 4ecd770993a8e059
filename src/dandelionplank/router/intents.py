"""Task that stores the intents of calls with an idempotency key."""

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
    StoreOverwrittenError,
    StoreUnknownError,
)
from dandelionplank.events import Event
from dandelionplank.idempotency.intents import (
    ClaimOutcome,
    Intent,
    IntentShard,
    IntentState,
    StoredResponse,
    Verdict,
    claim,
    expire,
    mark_unknown,
    record_response,
    release,
    shard_index,
)
from dandelionplank.logs import log_event
from dandelionplank.metrics import METRICS
from dandelionplank.platform.keyvalue import (
    NO_REVISION,
    KeyValueStore,
    put_with_readback,
)
from dandelionplank.settings import LedgerSettings

MAX_WRITE_ATTEMPTS = 20
RETRY_PAUSE_S = 0.5
_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(IntentShard)

ShardUpdate = Callable[[IntentShard], IntentShard]


@dataclasses.dataclass
class ShardOperation:
    """An update of a shard that is waiting to be written.

    :param update: returns the changed shard
    :param must_write: write even if the shard is unchanged, so that an
        earlier write of unknown outcome can no longer take effect
    """

    update: ShardUpdate
    done: asyncio.Future[IntentShard]
    must_write: bool = False

    def succeed(self, before: IntentShard) -> None:
        """Complete the operation with the shard as it was before it."""
        if not self.done.done():
            self.done.set_result(before)

    def fail(self, error: StoreError) -> None:
        """Complete the operation with an error."""
        if not self.done.done():
            self.done.set_exception(error)


class ShardWriter:
    """Writes the operations of one shard, batched into compare-and-swaps.

    :param key: key of the shard's value
    """

    def __init__(
        self,
        store: KeyValueStore,
        key: str,
        retention_s: float,
    ) -> None:
        """Hold the pending operations of a shard and its cached value."""
        self.store = store
        self.key = key
        self.retention_s = retention_s
        self.pending: list[ShardOperation] = []
        self.shard: IntentShard | None = None
        self.revision = NO_REVISION
        self.worker: asyncio.Task[None] | None = None

    async def apply(
        self,
        update: ShardUpdate,
        *,
        must_write: bool = False,
    ) -> IntentShard:
        """Apply one operation and return the shard as it was before it.

        :raises StoreError: nothing was written
        :raises StoreUnknownError: the write may have taken effect
        """
        loop = asyncio.get_running_loop()
        operation = ShardOperation(update, loop.create_future(), must_write)
        self.pending.append(operation)
        if self.worker is None or self.worker.done():
            self.worker = loop.create_task(self._write_pending())
        return await asyncio.shield(operation.done)

    async def _write_pending(self) -> None:
        """Write pending operations in batches until none is left."""
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
        """Apply a batch to the latest shard and store it.

        :raises StoreError: nothing was written
        :raises StoreUnknownError: an earlier attempt may have been written
        """
        METRICS.add('intent_batches_total')
        METRICS.add('intent_operations_total', len(batch))
        is_unknown = False
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                return await self._write_once(batch)
            except StoreConflictError as conflict:
                is_unknown |= isinstance(conflict, StoreOverwrittenError)
                self.shard = None
            except StoreError as error:
                if not is_unknown:
                    raise
                raise StoreUnknownError(
                    error.reason,
                    step=error.step,
                    peer=self.key,
                ) from error
        kind = StoreUnknownError if is_unknown else StoreError
        raise kind('too many writers', step='intent', peer=self.key)

    async def _write_once(self, batch: list[ShardOperation]) -> None:
        """Apply a batch to the latest shard, store it and complete it."""
        shard = await self._load()
        found: list[IntentShard] = []
        changed = shard
        for operation in batch:
            found.append(changed)
            changed = operation.update(changed)
        await self._store(shard, changed, batch)
        for operation, before in zip(batch, found, strict=True):
            operation.succeed(before)

    async def _load(self) -> IntentShard:
        """Return the cached shard, or read it from the store."""
        if self.shard is None:
            stored = await self.store.get(self.key)
            self.revision = stored.revision if stored else NO_REVISION
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
        """Write a changed shard; confirm an unchanged one by reading.

        A cached shard may be stale, so a batch that changes nothing is
        accepted only if the stored revision equals the cached one.
        """
        must_write = any(operation.must_write for operation in batch)
        if after is before and not must_write:
            stored = await self.store.get(self.key)
            found = stored.revision if stored else NO_REVISION
            if found != self.revision:
                raise StoreConflictError(step='intent', peer=self.key)
            return
        kept = expire(after, time.time() - self.retention_s)
        written = msgspec.structs.replace(kept, write_id=uuid.uuid4().hex)
        self.revision = await put_with_readback(
            self.store,
            self.key,
            _ENCODER.encode(written),
            self.revision,
        )
        self.shard = written


class IntentTask:
    """Claims keys before calls are sent and stores their responses.

    :param holder: incarnation of this instance
    :param is_alive: returns whether another incarnation is still running
    """

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        settings: LedgerSettings,
        holder: str,
        is_alive: Callable[[str], bool],
    ) -> None:
        """Hold the writers of the shards, each created on first use."""
        self.store = store
        self.prefix = f'{prefix}intents/'
        self.settings = settings
        self.holder = holder
        self.is_alive = is_alive
        self.writers: dict[int, ShardWriter] = {}
        self.background: set[asyncio.Task[None]] = set()

    async def claim(self, key: str, fingerprint: str) -> ClaimOutcome:
        """Record the intent to execute a call.

        :raises StoreError: the call must not be executed
        """
        intent = Intent(
            key,
            fingerprint,
            uuid.uuid4().hex,
            self.holder,
            IntentState.CLAIMED,
            time.time(),
        )
        writer = self._get_writer(key)
        try:
            before = await writer.apply(
                lambda shard: claim(shard, intent).shard
            )
        except StoreError as error:
            if isinstance(error, StoreUnknownError):
                self.release(intent)
            raise
        except asyncio.CancelledError:
            self.release(intent)
            raise
        outcome = claim(before, intent)
        if outcome.verdict is Verdict.RUN:
            log_event(Event.INTENT_WRITTEN, nonce=intent.nonce)
            return outcome
        return self._check_holder(outcome)

    def record_response(self, intent: Intent, response: StoredResponse) -> None:
        """Store the response of a call in the background."""
        self._apply_in_background(
            intent,
            lambda shard: record_response(
                shard, intent.key, intent.nonce, response
            ),
        )

    def mark_unknown(self, intent: Intent) -> None:
        """Record in the background that a call may have been executed."""
        self._apply_in_background(
            intent,
            lambda shard: mark_unknown(shard, intent.key, intent.nonce),
        )

    def release(self, intent: Intent) -> None:
        """Remove the claim of a call that was certainly not executed."""
        self._apply_in_background(
            intent,
            lambda shard: release(shard, intent.key, intent.nonce),
            must_write=True,
        )

    async def flush(self, timeout_s: float) -> None:
        """Wait for background updates to be stored, up to the timeout."""
        if self.background:
            await asyncio.wait(self.background, timeout=timeout_s)

    def _check_holder(self, outcome: ClaimOutcome) -> ClaimOutcome:
        """Mark a claim in progress as unknown if its holder has stopped."""
        log_event(Event.INTENT_REPEATED, verdict=outcome.verdict.value)
        if outcome.verdict is not Verdict.IN_PROGRESS:
            return outcome
        if self.is_alive(outcome.intent.holder):
            return outcome
        self.mark_unknown(outcome.intent)
        return msgspec.structs.replace(outcome, verdict=Verdict.UNKNOWN)

    def _get_writer(self, key: str) -> ShardWriter:
        """Return the writer of the shard that contains a key."""
        number = shard_index(key, self.settings.intent_shards)
        writer = self.writers.get(number)
        if writer is None:
            writer = ShardWriter(
                self.store,
                f'{self.prefix}{number:04d}',
                self.settings.intent_retention_s,
            )
            self.writers[number] = writer
        return writer

    def _apply_in_background(
        self,
        intent: Intent,
        update: ShardUpdate,
        *,
        must_write: bool = False,
    ) -> None:
        """Start a background task that retries an update until stored."""
        task = asyncio.get_running_loop().create_task(
            self._apply_until_stored(intent, update, must_write=must_write),
        )
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def _apply_until_stored(
        self,
        intent: Intent,
        update: ShardUpdate,
        *,
        must_write: bool,
    ) -> None:
        """Retry an update until the store has accepted it."""
        writer = self._get_writer(intent.key)
        while True:
            with contextlib.suppress(StoreError):
                await writer.apply(update, must_write=must_write)
                return
            await asyncio.sleep(RETRY_PAUSE_S)
