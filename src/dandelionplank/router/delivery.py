"""Runs a call from its ticket to the end of the response."""

import asyncio
import dataclasses
import time

import msgspec

from dandelionplank.errors import DandelionplankError, ErrorCode, TargetError
from dandelionplank.events import Event
from dandelionplank.fairness.cost import Usage
from dandelionplank.ledger.usage import Receipt
from dandelionplank.logs import log_event
from dandelionplank.messages import Ticket
from dandelionplank.metrics import METRICS
from dandelionplank.router.calls import Call
from dandelionplank.router.entry import Entry
from dandelionplank.router.observations import EventCount, ObservedStream
from dandelionplank.router.poolview import configured_name
from dandelionplank.router.targets import Attempt
from dandelionplank.routing.retries import may_retry
from dandelionplank.targets import Target

MS_PER_SECOND = 1000
MAX_ATTEMPTS = 4
MIN_WAIT_S = 0.01


@dataclasses.dataclass(frozen=True)
class PlainResponse:
    """Holds the complete response of a plain service."""

    status: int
    headers: dict[str, str]
    body: bytes


class Delivery:
    """Base class that requests tickets and retries failed attempts."""

    def __init__(self, entry: Entry, call: Call) -> None:
        """Select the pools for a call and estimate its cost."""
        self.entry = entry
        self.call = call
        self.pools = entry.pools_for(call)
        self.pool = self.pools[0]
        self.estimate = entry.estimator.estimate(
            call.account.name,
            call.contract,
            call.size,
        )
        self.started_at_s = time.monotonic()
        self.ticket_count = 0
        self.failed_attempts = 0

    async def next_grant(
        self,
        pinned: str = '',
        avoid: str = '',
        timeout_s: float = 0,
    ) -> tuple[Ticket, Target]:
        """Wait until a target is granted.

        :param pinned: target that holds the state of a paused stream
        :param avoid: target from which a running stream is to be moved
        :param timeout_s: longest wait, zero for the queue timeout
        """
        limit_s = self.entry.settings.callers.queue_timeout_s
        waited_s = 0.0
        if not pinned:
            waited_s = time.monotonic() - self.started_at_s
        ticket = msgspec.structs.replace(
            self.call.ticket(self.estimate),
            id=f'{self.call.id}.{self.ticket_count}',
            waited_ms=int(waited_s * MS_PER_SECOND),
            pinned=pinned,
            avoid=avoid,
        )
        self.ticket_count += 1
        same_pool_only = pinned or avoid
        grant = await self.entry.tickets.acquire(
            ticket,
            (self.pool,) if same_pool_only else self.pools,
            timeout_s or max(MIN_WAIT_S, limit_s - waited_s),
        )
        self.pool = configured_name(grant.pool)
        try:
            target = self.entry.target_named(grant.target, ticket)
        except DandelionplankError:
            self.entry.tickets.finish(ticket, self.pool, 0)
            raise
        return ticket, target

    def check_retry(
        self,
        attempt: Attempt,
        error: TargetError,
        *,
        response_started: bool,
    ) -> None:
        """Check that a failed call may be retried, and record the retry.

        :param error: the failure of the attempt
        :param response_started: part of the response has been sent to the
            caller
        :raises TargetError: it may not be retried
        """
        allowed = may_retry(
            attempt.state,
            is_retryable=self.call.is_retryable,
            response_started=response_started,
        )
        self.failed_attempts += 1
        if self.failed_attempts >= MAX_ATTEMPTS or not allowed:
            raise error
        if (
            error.code is ErrorCode.BAD_REQUEST
            or not self.entry.retry_budget.take()
        ):
            raise error
        METRICS.add('retries_total')
        log_event(
            Event.RETRIED,
            request=self.call.id,
            target=attempt.target.name,
            error=error.code.label,
            why=error.reason,
        )

    def log_response(self, target: str, receipt: Receipt) -> None:
        """Record the log line and metrics of a complete response."""
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
            taken_ms=round(taken_s * MS_PER_SECOND),
        )


class PlainDelivery(Delivery):
    """Sends a call to a plain service."""

    async def run(self) -> tuple[PlainResponse, Receipt]:
        """Serve the call and charge it.

        :raises DandelionplankError: there is no complete response
        """
        self.entry.retry_budget.record_first_attempt()
        while True:
            ticket, target = await self.next_grant()
            attempt = Attempt(ticket.id, target)
            try:
                response = await self._run_attempt(ticket, attempt)
            except TargetError as error:
                self.check_retry(attempt, error, response_started=False)
                continue
            receipt = self.entry.charge(
                self.call,
                self.call.contract.call_cost,
                Usage(),
            )
            self.log_response(attempt.target.name, receipt)
            return response, receipt

    async def _run_attempt(
        self,
        ticket: Ticket,
        attempt: Attempt,
    ) -> PlainResponse:
        """Send the call to one target and read the complete response."""
        counter = EventCount()
        observed = self.entry.observations.open(
            ObservedStream(self.pool, attempt.target.name, counter),
        )
        failed = True
        try:
            async with asyncio.timeout(self.call.contract.answer_timeout_s):
                response = await self._exchange(attempt)
            counter.events = 1
            observed.record_first_event(time.monotonic())
            failed = False
        except TimeoutError as error:
            raise attempt.error('silent', ErrorCode.TARGET_SILENT) from error
        finally:
            self.entry.observations.close(observed)
            cost = 0 if failed else self.call.contract.call_cost
            self.entry.tickets.finish(ticket, self.pool, cost, failed=failed)
        return response

    async def _exchange(self, attempt: Attempt) -> PlainResponse:
        """Send the call and read the response."""
        async with self.entry.connections.send(
            attempt,
            self.call.method,
            self.call.path,
            self.call.headers,
            self.call.body,
            on_new_connection=not self.call.is_retryable,
        ) as response:
            body = await response.read()
        headers = {
            name: response.headers[name]
            for name in ('Content-Type', 'Location')
            if name in response.headers
        }
        return PlainResponse(response.status, headers, body)
