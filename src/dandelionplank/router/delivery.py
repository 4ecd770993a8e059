"""Runs a call from its ticket to the last byte of its answer."""

import asyncio
import dataclasses
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
from dandelionplank.router.entry import Entry
from dandelionplank.router.observations import EventCount, ObservedStream
from dandelionplank.router.sse import AnswerStream
from dandelionplank.router.targets import RESUME_HEADER, Attempt
from dandelionplank.routing.retries import may_try_again

MILLISECONDS = 1000
PROGRESS_FACTOR = 1.25
PROGRESS_TOKENS = 50
MAX_ATTEMPTS = 4
MAX_RESUMES = 3
LEAST_WAIT_S = 0.01
COALESCE_S = 0.004
DETAIL_BYTES = 500
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


@dataclasses.dataclass(frozen=True)
class PlainAnswer:
    """The whole answer of a plain service."""

    status: int
    headers: dict[str, str]
    body: bytes


class Delivery:
    """Common part of all deliveries: tickets, attempts and retries."""

    def __init__(self, entry: Entry, call: Call) -> None:
        """Estimate the cost and find the pool."""
        self.entry = entry
        self.call = call
        self.pool = entry.pool_for(call).name
        self.estimate = entry.estimator.estimate(
            call.account.name,
            call.contract,
            call.size,
        )
        self.started_at_s = time.monotonic()
        self.attempts = 0

    async def next_grant(self) -> tuple[Ticket, Attempt]:
        """Wait for a target for the next attempt."""
        timeout_s = self.entry.settings.callers.queue_timeout_s
        waited_s = time.monotonic() - self.started_at_s
        ticket = self.call.ticket(self.estimate)
        ticket = Ticket(
            f'{self.call.id}.{self.attempts}',
            ticket.account,
            ticket.estimate,
            int(waited_s * MILLISECONDS),
            ticket.prefix,
            ticket.may_repeat,
        )
        self.attempts += 1
        grant = await self.entry.tickets.acquire(
            ticket,
            self.pool,
            max(LEAST_WAIT_S, timeout_s - waited_s),
        )
        try:
            target = self.entry.target_named(grant.target, ticket)
        except DandelionplankError:
            self.entry.tickets.finish(ticket, self.pool, 0)
            raise
        return ticket, Attempt(ticket.id, target)

    def check_retry(
        self,
        attempt: Attempt,
        error: TargetError,
        *,
        passed_on: bool,
    ) -> None:
        """Return if the call may be sent again.

        :raises TargetError: it may not
        """
        allowed = may_try_again(
            attempt.state,
            may_repeat=self.call.may_repeat,
            passed_on=passed_on,
        )
        if self.attempts >= MAX_ATTEMPTS or not allowed:
            raise error
        if error.code is ErrorCode.BAD_REQUEST or not self.entry.retries.take():
            raise error
        METRICS.add('retries_total')
        log_event(
            Event.RETRIED,
            request=self.call.id,
            target=attempt.target.name,
            error=error.code.label,
            why=error.reason,
        )

    def log_answer(self, target: str, receipt: Receipt) -> None:
        """Write the log line of a whole answer."""
        taken_s = time.monotonic() - self.started_at_s
        METRICS.add('answers_total', service=self.call.contract.name)
        METRICS.observe_s('answer_seconds', taken_s)
        log_event(
            Event.ANSWERED,
            request=self.call.id,
            account=self.call.account.name,
            target=target,
            receipt=receipt.id,
            charge=receipt.cost,
            taken_ms=round(taken_s * MILLISECONDS),
        )


class ChatDelivery(Delivery):
    """Streams the answer of a model engine to a caller."""

    def __init__(self, entry: Entry, call: Call, sink: AnswerSink) -> None:
        """Start before the first attempt."""
        super().__init__(entry, call)
        self.sink = sink
        self.guard: asyncio.Timeout | None = None
        self.report_at = 0

    async def run(self) -> None:
        """Serve the call.

        :raises DandelionplankError: the answer is not whole
        """
        self.entry.retries.note_first_attempt()
        while True:
            ticket, attempt = await self.next_grant()
            try:
                await self._run_attempt(ticket, attempt)
            except TargetError as error:
                passed_on = self.sink.is_started
                self.check_retry(attempt, error, passed_on=passed_on)
            else:
                return

    async def _run_attempt(self, ticket: Ticket, attempt: Attempt) -> None:
        """Send the call to one target and relay the answer."""
        answer = AnswerStream(
            attempt.id,
            stamped=self.call.contract.stamps_answers,
        )
        observed = self.entry.observations.open(
            self.pool,
            attempt.target.name,
            self._interrupt,
            answer,
        )
        self.report_at = 1
        failed = False
        try:
            await self._relay_with_resume(attempt, answer, observed, ticket)
        except TargetError as error:
            failed = error.code is not ErrorCode.BAD_REQUEST
            raise
        except (asyncio.CancelledError, CallerGoneError):
            self._charge_partial(answer)
            raise
        finally:
            self.entry.observations.close(observed)
            cost = self._cost(answer.usage)
            if not answer.events:
                cost = 0
            self.entry.tickets.finish(ticket, self.pool, cost, failed=failed)
        await self._complete(attempt, answer)

    async def _relay_with_resume(
        self,
        attempt: Attempt,
        answer: AnswerStream,
        observed: ObservedStream,
        ticket: Ticket,
    ) -> None:
        """Relay an answer; a broken stream is resumed where it stopped."""
        for resumes in range(MAX_RESUMES + 1):
            try:
                await self._relay(attempt, answer, observed, ticket)
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
        ticket: Ticket,
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
                    await self._copy(response, answer, observed, ticket)
        except TimeoutError as error:
            await self.entry.connections.cancel(attempt)
            raise attempt.error('silent', ErrorCode.TARGET_SILENT) from error
        if not answer.is_whole:
            raise attempt.error('cut short', ErrorCode.TARGET_FAILED)

    async def _copy(
        self,
        response: aiohttp.ClientResponse,
        answer: AnswerStream,
        observed: ObservedStream,
        ticket: Ticket,
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
                self._report_progress(ticket, answer, observed)

    def _report_progress(
        self,
        ticket: Ticket,
        answer: AnswerStream,
        observed: ObservedStream,
    ) -> None:
        """Note the first token; report a cost that outgrew its estimate."""
        observed.note_first(time.monotonic())
        self.report_at = int(answer.events * PROGRESS_FACTOR) + PROGRESS_TOKENS
        cost = self._cost(Usage(0, answer.events))
        if cost > self.estimate:
            self.entry.tickets.progress(ticket, self.pool, cost)

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

    def _interrupt(self) -> None:
        """End a connection that has made no progress for too long."""
        if self.guard:
            self.guard.reschedule(asyncio.get_running_loop().time())

    def _cost(self, usage: Usage) -> float:
        """Return the cost of tokens under the contract."""
        return self.call.contract.token_cost(
            usage.input_tokens,
            usage.output_tokens,
        )


class PlainDelivery(Delivery):
    """Sends a call to a plain service."""

    async def run(self) -> tuple[PlainAnswer, Receipt]:
        """Serve the call.

        :raises DandelionplankError: there is no whole answer
        """
        self.entry.retries.note_first_attempt()
        while True:
            ticket, attempt = await self.next_grant()
            try:
                answer = await self._run_attempt(ticket, attempt)
            except TargetError as error:
                self.check_retry(attempt, error, passed_on=False)
                continue
            receipt = self.entry.charge(
                self.call,
                self.call.contract.call_cost,
                Usage(),
            )
            self.log_answer(attempt.target.name, receipt)
            return answer, receipt

    async def _run_attempt(
        self,
        ticket: Ticket,
        attempt: Attempt,
    ) -> PlainAnswer:
        """Send the call to one target and read the whole answer."""
        counter = EventCount()
        observed = self.entry.observations.open(
            self.pool,
            attempt.target.name,
            lambda: None,
            counter,
        )
        failed = True
        try:
            async with asyncio.timeout(self.call.contract.answer_timeout_s):
                answer = await self._exchange(attempt)
            counter.events = 1
            observed.note_first(time.monotonic())
            failed = False
        except TimeoutError as error:
            raise attempt.error('silent', ErrorCode.TARGET_SILENT) from error
        finally:
            self.entry.observations.close(observed)
            cost = 0 if failed else self.call.contract.call_cost
            self.entry.tickets.finish(ticket, self.pool, cost, failed=failed)
        return answer

    async def _exchange(self, attempt: Attempt) -> PlainAnswer:
        """Send the call and read the answer."""
        async with self.entry.connections.send(
            attempt,
            self.call.method,
            self.call.path,
            self.call.headers,
            self.call.body,
            on_new_connection=not self.call.may_repeat,
        ) as response:
            body = await response.read()
        headers = {
            name: response.headers[name]
            for name in ('Content-Type', 'Location')
            if name in response.headers
        }
        return PlainAnswer(response.status, headers, body)


async def _check_status(
    attempt: Attempt,
    response: aiohttp.ClientResponse,
) -> None:
    """Raise unless a model engine has accepted the call."""
    if response.status == HTTPStatus.OK:
        return
    detail = (await response.read())[:DETAIL_BYTES].decode(errors='replace')
    code = ErrorCode.TARGET_FAILED
    if response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        code = ErrorCode.BAD_REQUEST
    raise TargetError(
        f'status {response.status}: {detail}',
        step=STEP,
        peer=attempt.target.name,
        request_id=attempt.id,
        code=code,
        outcome=Outcome.NOT_RUN
        if code is ErrorCode.BAD_REQUEST
        else Outcome.UNKNOWN,
    )
