"""Runs a call from its ticket to the last byte of its answer."""

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
from dandelionplank.routing.retries import may_try_again
from dandelionplank.targets import Target

MILLISECONDS = 1000
MAX_ATTEMPTS = 4
LEAST_WAIT_S = 0.01


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
        self.pools = entry.pools_for(call)
        self.pool = self.pools[0]
        self.estimate = entry.estimator.estimate(
            call.account.name,
            call.contract,
            call.size,
        )
        self.started_at_s = time.monotonic()
        self.attempts = 0
        self.tries = 0

    async def next_grant(
        self,
        pinned: str = '',
        avoid: str = '',
        timeout_s: float = 0,
    ) -> tuple[Ticket, Target]:
        """Wait for a target.

        :param pinned: target that keeps the state of a paused stream
        :param avoid: target that a running stream is to leave
        :param timeout_s: longest wait, zero for the queue's limit
        """
        limit_s = self.entry.settings.callers.queue_timeout_s
        waited_s = 0.0
        if not pinned:
            waited_s = time.monotonic() - self.started_at_s
        ticket = msgspec.structs.replace(
            self.call.ticket(self.estimate),
            id=f'{self.call.id}.{self.attempts}',
            waited_ms=int(waited_s * MILLISECONDS),
            pinned=pinned,
            avoid=avoid,
        )
        self.attempts += 1
        must_stay = pinned or avoid
        grant = await self.entry.tickets.acquire(
            ticket,
            (self.pool,) if must_stay else self.pools,
            timeout_s or max(LEAST_WAIT_S, limit_s - waited_s),
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
        self.tries += 1
        if self.tries >= MAX_ATTEMPTS or not allowed:
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


class PlainDelivery(Delivery):
    """Sends a call to a plain service."""

    async def run(self) -> tuple[PlainAnswer, Receipt]:
        """Serve the call.

        :raises DandelionplankError: there is no whole answer
        """
        self.entry.retries.note_first_attempt()
        while True:
            ticket, target = await self.next_grant()
            attempt = Attempt(ticket.id, target)
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
            ObservedStream(self.pool, attempt.target.name, counter),
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
