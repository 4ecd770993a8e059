"""Streams the answer of a model engine to a caller.

An answer may be produced in several segments: a stream that gives its slot
to short work is paused and resumed at the same target; a stream that lags is
moved to another target together with its cache. The caller sees one stream.
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
    CallerGoneError,
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
from dandelionplank.router.sse import AnswerStream
from dandelionplank.router.targets import RESUME_HEADER, Attempt
from dandelionplank.targets import Target

PROGRESS_FACTOR = 1.25
PROGRESS_TOKENS = 50
MAX_RESUMES = 3
MAX_MOVES = 3
COALESCE_S = 0.004
DETAIL_BYTES = 500
SEEK_TIMEOUT_S = 0.5
SEEK_PAUSE_S = 0.1
STEP = 'answer'


class AnswerSink(Protocol):
    """Takes a streamed answer on behalf of the caller."""

    async def write(self, block: bytes) -> None:
        """Take whole events."""

    async def finish(self, answer: AnswerStream, receipt: Receipt) -> None:
        """Take the end of a whole answer."""

    @property
    def is_started(self) -> bool:
        """Whether the caller has been given a part of the answer."""


class Interruption(enum.Enum):
    """Why a connection to a target was given up."""

    NONE = 'none'
    SILENT = 'silent'
    PAUSED = 'paused'
    MOVED = 'moved'


@dataclasses.dataclass(frozen=True)
class Place:
    """A granted slot: the ticket that holds it, and the target."""

    ticket: Ticket
    target: Target


class ChatDelivery(Delivery):
    """Streams the answer of a model engine to a caller."""

    def __init__(self, entry: Entry, call: Call, sink: AnswerSink) -> None:
        """Start before the first attempt."""
        super().__init__(entry, call)
        self.sink = sink
        self.guard: asyncio.Timeout | None = None
        self.interruption = Interruption.NONE
        self.next_place: Place | None = None
        self.seeking: asyncio.Task[None] | None = None
        self.moves = 0
        self.seek_after_s = 0.0
        self.settled_cost = 0.0
        self.report_at = 1

    async def run(self) -> None:
        """Serve the call.

        :raises DandelionplankError: the answer is not whole
        """
        self.entry.retries.note_first_attempt()
        self.entry.hedges.note_first_attempt()
        while True:
            place = await self.find_place()
            attempt = Attempt(place.ticket.id, place.target)
            answer = AnswerStream(
                attempt.id,
                stamped=self.call.contract.stamps_answers,
            )
            try:
                await self._run_attempt(attempt, place, answer)
            except TargetError as error:
                passed_on = self.sink.is_started
                self.check_retry(attempt, error, passed_on=passed_on)
            else:
                return

    async def find_place(
        self,
        pinned: str = '',
        avoid: str = '',
        timeout_s: float = 0,
    ) -> Place:
        """Wait for a slot for this call.

        :param pinned: target that keeps the state of the paused stream
        :param avoid: target that the stream is to leave
        :param timeout_s: longest wait, zero for the queue's limit
        """
        ticket, target = await self.next_grant(pinned, avoid, timeout_s)
        return Place(ticket, target)

    async def _run_attempt(
        self,
        attempt: Attempt,
        place: Place,
        answer: AnswerStream,
    ) -> None:
        """Produce an answer, in as many segments as it takes."""
        self.settled_cost = 0
        try:
            await self._run_segment(attempt, place, answer)
            while not answer.is_whole:
                place = await self._go_on(attempt, answer)
                await self._run_segment(attempt, place, answer)
        except (asyncio.CancelledError, CallerGoneError):
            self._charge_partial(answer)
            raise
        finally:
            await self._stop_seeking()
        await self._complete(attempt, answer)

    async def _run_segment(
        self,
        attempt: Attempt,
        place: Place,
        answer: AnswerStream,
    ) -> None:
        """Relay an answer from one place until it ends or is interrupted."""
        tickets = self.entry.tickets
        observed = self.entry.observations.open(
            ObservedStream(
                self.pool,
                place.target.name,
                answer,
                stall=self._interrupt_silent,
                late=self._seek_move,
                is_short=self.estimate <= self.call.contract.short_cost,
            ),
        )
        self.interruption = Interruption.NONE
        self.report_at = answer.events + 1
        tickets.attach(
            place.ticket,
            self.pool,
            AttemptHandlers(self._interrupt_paused, self._start_probe),
        )
        failed = False
        try:
            await self._relay_with_resume(attempt, answer, observed, place)
        except TargetError as error:
            failed = error.code is not ErrorCode.BAD_REQUEST
            raise
        finally:
            self.entry.observations.close(observed)
            cost = self._cost(answer.usage) if answer.events else 0
            tickets.finish(
                place.ticket,
                self.pool,
                max(0.0, cost - self.settled_cost),
                failed=failed,
            )
            self.settled_cost = cost

    async def _go_on(self, attempt: Attempt, answer: AnswerStream) -> Place:
        """Find the place for the next segment and bring the state there."""
        answer.remainder = b''
        if self.interruption is Interruption.PAUSED:
            METRICS.add('pauses_total')
            place = await self.find_place(pinned=attempt.target.name)
        else:
            place = self._take_next_place()
        log_event(
            Event.MOVED,
            request=self.call.id,
            reason=self.interruption.value,
            source=attempt.target.name,
            target=place.target.name,
            offset=answer.events,
        )
        moved = place.target.name != attempt.target.name
        if moved and answer.events:
            await self._transfer(attempt, place)
        attempt.target = place.target
        return place

    async def _transfer(self, attempt: Attempt, place: Place) -> None:
        """Bring a stream's cache to another target.

        :raises TargetError: it could not be brought there
        """
        try:
            await self.entry.connections.transfer(attempt, place.target)
        except TargetError:
            self.entry.tickets.finish(place.ticket, self.pool, 0)
            raise

    async def _relay_with_resume(
        self,
        attempt: Attempt,
        answer: AnswerStream,
        observed: ObservedStream,
        place: Place,
    ) -> None:
        """Relay an answer; a broken stream is resumed where it stopped."""
        for resumes in range(MAX_RESUMES + 1):
            try:
                await self._relay(attempt, answer, observed, place)
            except TargetError as error:
                resumable = (
                    answer.events
                    and self.call.contract.can_resume
                    and error.code
                    in {ErrorCode.TARGET_FAILED, ErrorCode.TARGET_SILENT}
                )
                if not resumable or resumes == MAX_RESUMES:
                    raise
                self._prepare_resume(attempt, answer, observed)
            else:
                return

    def _prepare_resume(
        self,
        attempt: Attempt,
        answer: AnswerStream,
        observed: ObservedStream,
    ) -> None:
        """Forget the cut event and give the new connection its own time."""
        answer.remainder = b''
        self.interruption = Interruption.NONE
        observed.is_stalled = False
        observed.progress_at_s = time.monotonic()
        METRICS.add('resumes_total')
        log_event(
            Event.RESUMED,
            request=self.call.id,
            target=attempt.target.name,
            offset=answer.events,
        )

    async def _relay(
        self,
        attempt: Attempt,
        answer: AnswerStream,
        observed: ObservedStream,
        place: Place,
    ) -> None:
        """Send the call on one connection and relay what arrives."""
        headers = dict(self.call.headers)
        if answer.events:
            headers[RESUME_HEADER] = str(answer.events)
        try:
            async with asyncio.timeout(None) as guard:
                self.guard = guard
                async with self.entry.connections.send(
                    attempt,
                    self.call.method,
                    self.call.path,
                    headers,
                    self.call.body,
                    on_new_connection=bool(answer.events),
                ) as response:
                    await _check_status(attempt, response)
                    await self._copy(response, answer, observed, place)
        except TimeoutError as error:
            await self._end_connection(attempt, error)
            return
        finally:
            self.guard = None
        if not answer.is_whole:
            raise attempt.error('cut short', ErrorCode.TARGET_FAILED)

    async def _end_connection(
        self,
        attempt: Attempt,
        error: TimeoutError,
    ) -> None:
        """Tell the target to stop a stream whose connection was given up.

        :raises TargetError: the connection was silent
        """
        await self.entry.connections.cancel(attempt)
        if self.interruption is Interruption.SILENT:
            raise attempt.error('silent', ErrorCode.TARGET_SILENT) from error

    async def _copy(
        self,
        response: aiohttp.ClientResponse,
        answer: AnswerStream,
        observed: ObservedStream,
        place: Place,
    ) -> None:
        """Copy events from a target to the caller until the end mark.

        Events of a stream that is faster than the pause are passed on
        together; slower streams are never held back.
        """
        receive = response.content.readany
        written_at_s = 0.0
        while not answer.is_whole:
            chunk = await receive()
            if not chunk:
                return
            block = answer.feed(chunk)
            if block:
                await self.sink.write(block)
            now_s = time.monotonic()
            if now_s - written_at_s < COALESCE_S:
                await asyncio.sleep(COALESCE_S)
                now_s += COALESCE_S
            written_at_s = now_s
            if answer.events >= self.report_at:
                self._report_progress(place, answer, observed)

    def _report_progress(
        self,
        place: Place,
        answer: AnswerStream,
        observed: ObservedStream,
    ) -> None:
        """Note the first token; report a cost that outgrew its estimate."""
        observed.note_first(time.monotonic())
        self.report_at = int(answer.events * PROGRESS_FACTOR) + PROGRESS_TOKENS
        cost = self._cost(Usage(0, answer.events)) - self.settled_cost
        if cost > place.ticket.estimate:
            self.entry.tickets.progress(place.ticket, self.pool, cost)

    async def _complete(self, attempt: Attempt, answer: AnswerStream) -> None:
        """Charge a whole answer and give the caller its end."""
        usage = answer.usage
        receipt = self.entry.charge(self.call, self._cost(usage), usage)
        self.entry.estimator.learn(
            self.call.account.name,
            self.call.contract,
            self.call.size,
            usage,
        )
        self.log_answer(attempt.target.name, receipt)
        await self.sink.finish(answer, receipt)

    def _charge_partial(self, answer: AnswerStream) -> None:
        """Charge what was produced for a caller that has gone."""
        if answer.events:
            usage = answer.usage
            self.entry.charge(self.call, self._cost(usage), usage)
        log_event(
            Event.CALLER_GONE,
            request=self.call.id,
            events=answer.events,
        )

    def _interrupt(self, reason: Interruption) -> None:
        """End the present connection to the target."""
        if self.guard is None or self.interruption is not Interruption.NONE:
            return
        self.interruption = reason
        self.guard.reschedule(asyncio.get_running_loop().time())

    def _interrupt_silent(self) -> None:
        """End a connection that has made no progress for too long."""
        self._interrupt(Interruption.SILENT)

    def _interrupt_paused(self) -> None:
        """Give the slot to short work for a while."""
        self._interrupt(Interruption.PAUSED)

    def _seek_move(self, target: str) -> None:
        """Look for another place because the target lags.

        A stream that has begun takes its cache along and repeats nothing;
        one without a first token is run again, within the hedging budget.
        """
        now_s = time.monotonic()
        can_move = self.call.contract.can_resume and self.moves < MAX_MOVES
        if self.seeking or not can_move or now_s < self.seek_after_s:
            return
        self.seek_after_s = now_s + SEEK_PAUSE_S
        if not self.sink.is_started and not self.entry.hedges.take():
            return
        loop = asyncio.get_running_loop()
        self.seeking = loop.create_task(self._find_other_place(target))

    async def _find_other_place(self, target: str) -> None:
        """Wait for a slot at another target and interrupt the stream."""
        with contextlib.suppress(DandelionplankError):
            self.next_place = await self.find_place(
                avoid=target,
                timeout_s=SEEK_TIMEOUT_S,
            )
        self.seeking = None
        if self.next_place is None:
            return
        self._interrupt(Interruption.MOVED)
        if self.interruption is not Interruption.MOVED:
            self._give_back_next_place()

    def _start_probe(self, name: str) -> None:
        """Try a slow target with a copy of this call."""
        target = self.entry.ready_catalogue().targets.get(name)
        if target:
            probe = TargetProbe(self.entry, self.call, self.pool)
            self.entry.start_background(probe.run(target))

    def _take_next_place(self) -> Place:
        """Return the place that was found for a lagging stream."""
        place = self.next_place
        if place is None:
            raise DandelionplankError(step='move', request_id=self.call.id)
        self.next_place = None
        self.moves += 1
        return place

    def _give_back_next_place(self) -> None:
        """Free a slot that is not needed any more."""
        if self.next_place:
            self.entry.tickets.finish(self.next_place.ticket, self.pool, 0)
            self.next_place = None

    async def _stop_seeking(self) -> None:
        """End the search for another place with the attempt."""
        if self.seeking:
            self.seeking.cancel()
            await asyncio.gather(self.seeking, return_exceptions=True)
            self.seeking = None
        self._give_back_next_place()

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
