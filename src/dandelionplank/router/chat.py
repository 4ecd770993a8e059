"""Streams the response of a model engine to a caller.

A response may be produced in several segments. A stream that yields its slot
to short requests is paused and resumed at the same target. A stream that lags
is moved to another target together with its cache. The caller receives one
stream.
"""

import asyncio
import contextlib
import dataclasses
import enum
import time
from http import HTTPStatus
from typing import Protocol

import aiohttp

from dandelionplank.errors import (
    CallerDisconnectedError,
    DandelionplankError,
    ErrorCode,
    Outcome,
    TargetError,
)
from dandelionplank.events import Event
from dandelionplank.fairness.cost import Usage
from dandelionplank.ledger.usage import Receipt
from dandelionplank.logs import log_event
from dandelionplank.messages import Ticket
from dandelionplank.metrics import METRICS
from dandelionplank.router.calls import Call
from dandelionplank.router.delivery import Delivery
from dandelionplank.router.entry import Entry
from dandelionplank.router.observations import ObservedStream
from dandelionplank.router.poolview import AttemptHandlers
from dandelionplank.router.probe import TargetProbe
from dandelionplank.router.sse import ResponseStream
from dandelionplank.router.targets import RESUME_HEADER, Attempt
from dandelionplank.targets import Target

PROGRESS_FACTOR = 1.25
PROGRESS_TOKENS = 50
MAX_RESUMES = 3
MAX_MOVES = 3
COALESCE_S = 0.004
DETAIL_BYTES = 500
SLOT_SEARCH_TIMEOUT_S = 0.5
SLOT_SEARCH_INTERVAL_S = 0.1
STEP = 'answer'


class ResponseSink(Protocol):
    """Receives a streamed response on behalf of the caller."""

    async def write(self, block: bytes) -> None:
        """Receive a block of complete events."""

    async def finish(self, stream: ResponseStream, receipt: Receipt) -> None:
        """Receive the end of a complete response."""

    @property
    def is_started(self) -> bool:
        """Return whether part of the response has been forwarded."""


class Interruption(enum.Enum):
    """Why a connection to a target was closed by the router."""

    NONE = 'none'
    SILENT = 'silent'
    PAUSED = 'paused'
    MOVED = 'moved'


@dataclasses.dataclass(frozen=True)
class GrantedSlot:
    """Holds a granted slot: its ticket and its target."""

    ticket: Ticket
    target: Target


class ChatDelivery(Delivery):
    """Streams the response of a model engine to a caller."""

    def __init__(self, entry: Entry, call: Call, sink: ResponseSink) -> None:
        """Hold the sink and the progress of the stream.

        :param sink: receives the response
        """
        super().__init__(entry, call)
        self.sink = sink
        self.relay_timeout: asyncio.Timeout | None = None
        self.interruption = Interruption.NONE
        self.next_slot: GrantedSlot | None = None
        self.slot_search: asyncio.Task[None] | None = None
        self.moves = 0
        self.next_search_s = 0.0
        self.settled_cost = 0.0
        self.next_report_events = 1

    async def run(self) -> None:
        """Serve the call.

        :raises DandelionplankError: there is no complete response
        """
        self.entry.retry_budget.record_first_attempt()
        self.entry.hedge_budget.record_first_attempt()
        while True:
            slot = await self.acquire_slot()
            attempt = Attempt(slot.ticket.id, slot.target)
            stream = ResponseStream(
                attempt.id,
                has_attempt_ids=self.call.contract.stamps_answers,
            )
            try:
                await self._run_attempt(attempt, slot, stream)
            except TargetError as error:
                response_started = self.sink.is_started
                self.check_retry(
                    attempt, error, response_started=response_started
                )
            else:
                return

    async def acquire_slot(
        self,
        pinned: str = '',
        avoid: str = '',
        timeout_s: float = 0,
    ) -> GrantedSlot:
        """Wait until a slot is granted to this call.

        :param pinned: target that holds the state of the paused stream
        :param avoid: target from which the stream is to be moved
        :param timeout_s: longest wait, zero for the queue timeout
        """
        ticket, target = await self.next_grant(pinned, avoid, timeout_s)
        return GrantedSlot(ticket, target)

    async def _run_attempt(
        self,
        attempt: Attempt,
        slot: GrantedSlot,
        stream: ResponseStream,
    ) -> None:
        """Produce a response in one or more segments."""
        self.settled_cost = 0
        try:
            await self._run_segment(attempt, slot, stream)
            while not stream.is_complete:
                slot = await self._prepare_next_segment(attempt, stream)
                await self._run_segment(attempt, slot, stream)
        except (asyncio.CancelledError, CallerDisconnectedError):
            self._charge_partial(stream)
            raise
        finally:
            await self._cancel_slot_search()
        await self._complete(attempt, stream)

    async def _run_segment(
        self,
        attempt: Attempt,
        slot: GrantedSlot,
        stream: ResponseStream,
    ) -> None:
        """Relay a response from one slot until it ends or is interrupted."""
        tickets = self.entry.tickets
        observed = self.entry.observations.open(
            ObservedStream(
                self.pool,
                slot.target.name,
                stream,
                on_stall=self._interrupt_silent,
                on_late=self._search_other_slot,
                is_short=self.estimate <= self.call.contract.short_cost,
            ),
        )
        self.interruption = Interruption.NONE
        self.next_report_events = stream.events + 1
        tickets.set_handlers(
            slot.ticket,
            self.pool,
            AttemptHandlers(self._interrupt_paused, self._start_probe),
        )
        failed = False
        try:
            await self._relay_with_resume(attempt, stream, observed, slot)
        except TargetError as error:
            failed = error.code is not ErrorCode.BAD_REQUEST
            raise
        finally:
            self.entry.observations.close(observed)
            cost = self._cost(stream.usage) if stream.events else 0
            tickets.finish(
                slot.ticket,
                self.pool,
                max(0.0, cost - self.settled_cost),
                failed=failed,
            )
            self.settled_cost = cost

    async def _prepare_next_segment(
        self,
        attempt: Attempt,
        stream: ResponseStream,
    ) -> GrantedSlot:
        """Acquire the slot of the next segment and transfer the state to it."""
        stream.remainder = b''
        if self.interruption is Interruption.PAUSED:
            METRICS.add('pauses_total')
            slot = await self.acquire_slot(pinned=attempt.target.name)
        else:
            slot = self._take_next_slot()
        log_event(
            Event.MOVED,
            request=self.call.id,
            reason=self.interruption.value,
            source=attempt.target.name,
            target=slot.target.name,
            offset=stream.events,
        )
        moved = slot.target.name != attempt.target.name
        if moved and stream.events:
            await self._transfer(attempt, slot)
        attempt.target = slot.target
        return slot

    async def _transfer(self, attempt: Attempt, slot: GrantedSlot) -> None:
        """Transfer a stream's cache to another target.

        :raises TargetError: the transfer failed
        """
        try:
            await self.entry.connections.transfer(attempt, slot.target)
        except TargetError:
            self.entry.tickets.finish(slot.ticket, self.pool, 0)
            raise

    async def _relay_with_resume(
        self,
        attempt: Attempt,
        stream: ResponseStream,
        observed: ObservedStream,
        slot: GrantedSlot,
    ) -> None:
        """Relay a response; resume a broken stream at the next event."""
        for resumes in range(MAX_RESUMES + 1):
            try:
                await self._relay(attempt, stream, observed, slot)
            except TargetError as error:
                resumable = (
                    stream.events
                    and self.call.contract.can_resume
                    and error.code
                    in {ErrorCode.TARGET_FAILED, ErrorCode.TARGET_SILENT}
                )
                if not resumable or resumes == MAX_RESUMES:
                    raise
                self._prepare_resume(attempt, stream, observed)
            else:
                return

    def _prepare_resume(
        self,
        attempt: Attempt,
        stream: ResponseStream,
        observed: ObservedStream,
    ) -> None:
        """Drop the incomplete event and restart the progress timeout."""
        stream.remainder = b''
        self.interruption = Interruption.NONE
        observed.is_stalled = False
        observed.progress_at_s = time.monotonic()
        METRICS.add('resumes_total')
        log_event(
            Event.RESUMED,
            request=self.call.id,
            target=attempt.target.name,
            offset=stream.events,
        )

    async def _relay(
        self,
        attempt: Attempt,
        stream: ResponseStream,
        observed: ObservedStream,
        slot: GrantedSlot,
    ) -> None:
        """Send the call on one connection and relay the response."""
        headers = dict(self.call.headers)
        if stream.events:
            headers[RESUME_HEADER] = str(stream.events)
        try:
            async with asyncio.timeout(None) as relay_timeout:
                self.relay_timeout = relay_timeout
                async with self.entry.connections.send(
                    attempt,
                    self.call.method,
                    self.call.path,
                    headers,
                    self.call.body,
                    on_new_connection=bool(stream.events),
                ) as response:
                    await _check_status(attempt, response)
                    await self._forward_events(response, stream, observed, slot)
        except TimeoutError as error:
            await self._cancel_at_target(attempt, error)
            return
        finally:
            self.relay_timeout = None
        if not stream.is_complete:
            raise attempt.error('cut short', ErrorCode.TARGET_FAILED)

    async def _cancel_at_target(
        self,
        attempt: Attempt,
        error: TimeoutError,
    ) -> None:
        """Cancel the attempt at its target after an interruption.

        :raises TargetError: the interruption was for lack of progress
        """
        await self.entry.connections.cancel(attempt)
        if self.interruption is Interruption.SILENT:
            raise attempt.error('silent', ErrorCode.TARGET_SILENT) from error

    async def _forward_events(
        self,
        response: aiohttp.ClientResponse,
        stream: ResponseStream,
        observed: ObservedStream,
        slot: GrantedSlot,
    ) -> None:
        """Forward events from a target to the caller until the end event.

        Events that arrive within ``COALESCE_S`` of each other are forwarded
        together; slower streams are not delayed.
        """
        receive = response.content.readany
        written_at_s = 0.0
        while not stream.is_complete:
            chunk = await receive()
            if not chunk:
                return
            block = stream.feed(chunk)
            if block:
                await self.sink.write(block)
            now_s = time.monotonic()
            if now_s - written_at_s < COALESCE_S:
                await asyncio.sleep(COALESCE_S)
                now_s += COALESCE_S
            written_at_s = now_s
            if stream.events >= self.next_report_events:
                self._report_progress(slot, stream, observed)

    def _report_progress(
        self,
        slot: GrantedSlot,
        stream: ResponseStream,
        observed: ObservedStream,
    ) -> None:
        """Record the first token; report a cost that exceeds the estimate."""
        observed.record_first_event(time.monotonic())
        self.next_report_events = (
            int(stream.events * PROGRESS_FACTOR) + PROGRESS_TOKENS
        )
        cost = self._cost(Usage(0, stream.events)) - self.settled_cost
        if cost > slot.ticket.estimate:
            self.entry.tickets.progress(slot.ticket, self.pool, cost)

    async def _complete(self, attempt: Attempt, stream: ResponseStream) -> None:
        """Charge a complete response and finish it at the caller."""
        usage = stream.usage
        receipt = self.entry.charge(self.call, self._cost(usage), usage)
        self.entry.estimator.record_usage(
            self.call.account.name,
            self.call.contract,
            self.call.size,
            usage,
        )
        self.log_response(attempt.target.name, receipt)
        await self.sink.finish(stream, receipt)

    def _charge_partial(self, stream: ResponseStream) -> None:
        """Charge the tokens produced before the caller disconnected."""
        if stream.events:
            usage = stream.usage
            self.entry.charge(self.call, self._cost(usage), usage)
        log_event(
            Event.CALLER_GONE,
            request=self.call.id,
            events=stream.events,
        )

    def _interrupt(self, reason: Interruption) -> None:
        """Close the current connection to the target."""
        if (
            self.relay_timeout is None
            or self.interruption is not Interruption.NONE
        ):
            return
        self.interruption = reason
        self.relay_timeout.reschedule(asyncio.get_running_loop().time())

    def _interrupt_silent(self) -> None:
        """Close a connection that made no progress for too long."""
        self._interrupt(Interruption.SILENT)

    def _interrupt_paused(self) -> None:
        """Close the connection so that short requests can use the slot."""
        self._interrupt(Interruption.PAUSED)

    def _search_other_slot(self, target: str) -> None:
        """Search for a slot at another target because this one lags.

        A stream that has started is moved with its cache, so no work is
        repeated. One without a first token starts over, within the hedge
        budget.
        """
        now_s = time.monotonic()
        can_move = self.call.contract.can_resume and self.moves < MAX_MOVES
        if self.slot_search or not can_move or now_s < self.next_search_s:
            return
        self.next_search_s = now_s + SLOT_SEARCH_INTERVAL_S
        if not self.sink.is_started and not self.entry.hedge_budget.take():
            return
        loop = asyncio.get_running_loop()
        self.slot_search = loop.create_task(self._acquire_other_slot(target))

    async def _acquire_other_slot(self, target: str) -> None:
        """Acquire a slot at another target and interrupt the stream."""
        with contextlib.suppress(DandelionplankError):
            self.next_slot = await self.acquire_slot(
                avoid=target,
                timeout_s=SLOT_SEARCH_TIMEOUT_S,
            )
        self.slot_search = None
        if self.next_slot is None:
            return
        self._interrupt(Interruption.MOVED)
        if self.interruption is not Interruption.MOVED:
            self._release_next_slot()

    def _start_probe(self, name: str) -> None:
        """Probe a slow target with a copy of this call."""
        target = self.entry.require_catalogue().targets.get(name)
        if target:
            probe = TargetProbe(self.entry, self.call, self.pool)
            self.entry.start_background(probe.run(target))

    def _take_next_slot(self) -> GrantedSlot:
        """Return the slot that was acquired for a lagging stream."""
        slot = self.next_slot
        if slot is None:
            raise DandelionplankError(step='move', request_id=self.call.id)
        self.next_slot = None
        self.moves += 1
        return slot

    def _release_next_slot(self) -> None:
        """Release an acquired slot that is no longer needed."""
        if self.next_slot:
            self.entry.tickets.finish(self.next_slot.ticket, self.pool, 0)
            self.next_slot = None

    async def _cancel_slot_search(self) -> None:
        """Cancel the search for another slot and release its result."""
        if self.slot_search:
            self.slot_search.cancel()
            await asyncio.gather(self.slot_search, return_exceptions=True)
            self.slot_search = None
        self._release_next_slot()

    def _cost(self, usage: Usage) -> float:
        """Return the cost of tokens under the contract."""
        return self.call.contract.token_cost(
            usage.input_tokens,
            usage.output_tokens,
        )


async def _check_status(
    attempt: Attempt,
    response: aiohttp.ClientResponse,
) -> None:
    """Raise unless a model engine has accepted the call."""
    if response.status == HTTPStatus.OK:
        return
    detail = (await response.read())[:DETAIL_BYTES].decode(errors='replace')
    code = ErrorCode.TARGET_FAILED
    outcome = Outcome.UNKNOWN
    if response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        code = ErrorCode.BAD_REQUEST
        outcome = Outcome.NOT_RUN
    raise TargetError(
        f'status {response.status}: {detail}',
        step=STEP,
        peer=attempt.target.name,
        request_id=attempt.id,
        code=code,
        outcome=outcome,
    )
