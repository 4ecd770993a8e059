"""Obtains a response to one request: attempts, retries, resumed streams."""

import asyncio
import contextlib
import functools
import time
from collections.abc import AsyncIterator, Iterator, Mapping

from dandelionplank.delivery.attempt import (
    FIRST_SERVER_ERROR_STATUS,
    MISDIRECTED,
    SUCCESS_STATUSES,
    Attempt,
)
from dandelionplank.delivery.bounds import HeldBytes
from dandelionplank.delivery.codec import RequestCodec
from dandelionplank.delivery.connections import ConnectionPool, TargetResponse
from dandelionplank.delivery.crashwatch import CrashWatch
from dandelionplank.delivery.dispatch import TargetAssigner
from dandelionplank.delivery.progress import (
    Progress,
    record_first_event,
    record_grant,
)
from dandelionplank.delivery.requests import CallerRequest, CompleteResponse
from dandelionplank.delivery.streams import (
    CallerSink,
    StreamOrigins,
    StreamRelay,
)
from dandelionplank.errors import (
    DandelionplankError,
    ErrorCode,
    Outcome,
    RefusalError,
    TargetError,
)
from dandelionplank.events import Event
from dandelionplank.fairness.demand import DemandMeter
from dandelionplank.logs import log_event
from dandelionplank.routing.admission import is_repeatable
from dandelionplank.routing.budget import ServiceRetryBudgets
from dandelionplank.routing.refusals import RepeatedRefusals
from dandelionplank.routing.retries import AttemptState
from dandelionplank.routing.routes import RequestKind
from dandelionplank.routing.scheduler import Grant

STEP = 'delivery'
# Share of its objective after which a safe request without a response is
# sent to a second target as well.
HEDGE_DELAY_SHARE = 0.6
# Attempts per request, including those that a target did not execute.
MAX_TRIES = 4
# The limit after an attempt whose target accepted no connection: these cost a
# millisecond each, and after many targets were lost at once most targets that
# look idle are unreachable.
MAX_UNREACHABLE_TRIES = 8
TIMED_OUT_RETRY_S = 0.5
# Time within which another target is found for a stream without progress.
RESERVE_TIMEOUT_S = 0.1


class Delivery:
    """Sends requests to targets; one object serves the whole process."""

    def __init__(
        self,
        dispatcher: TargetAssigner,
        pool: ConnectionPool,
        codec: RequestCodec,
        budgets: ServiceRetryBudgets,
        crashes: CrashWatch,
        origins: StreamOrigins,
    ) -> None:
        """Hold the state shared by all requests."""
        self.origins = origins
        self.dispatcher = dispatcher
        self.pool = pool
        self.codec = codec
        self.budgets = budgets
        self.crashes = crashes
        self.held = HeldBytes()
        self.demand = DemandMeter()
        self.refusals = RepeatedRefusals()

    async def fetch(self, request: CallerRequest) -> CompleteResponse:
        """Return the complete response to a request that is not a stream.

        :raises DandelionplankError: no attempt got a response
        """
        with self._count_demand(request):
            return await self._fetch_until_done(request)

    async def relay(
        self,
        request: CallerRequest,
        sink: CallerSink,
    ) -> CompleteResponse | None:
        """Pass a stream on to the caller.

        :return: a response that is not a stream, or None
        :raises DandelionplankError: there is no complete response; events may
            have been passed on
        """
        progress = Progress(
            versions=await self.origins.allowed_versions(request)
        )
        try:
            with self._count_demand(request):
                return await self._relay_until_done(request, sink, progress)
        finally:
            unused = progress.take_reserved()
            if unused:
                self.dispatcher.release(unused)

    def log_demand(self, levels: Mapping[str, float]) -> None:
        """Log what the accounts asked for and got since the last call.

        :param levels: service that they received lately, fleet-wide
        """
        report = self.demand.take_report()
        if report:
            log_event(
                Event.ACCOUNTS_SERVED,
                accounts=[
                    {
                        **demand.log_fields(),
                        'level': round(levels.get(demand.account, 0)),
                    }
                    for demand in report
                ],
            )

    async def _fetch_until_done(
        self, request: CallerRequest
    ) -> CompleteResponse:
        """Make attempts until there is a response or none is left."""
        progress = Progress()
        while True:
            response = None
            try:
                response = await self._fetch_once(request, progress)
            except DandelionplankError as error:
                if not self._should_retry(request, progress, error):
                    response = progress.final_response(error)
            if response is not None:
                return response

    @contextlib.contextmanager
    def _count_demand(self, request: CallerRequest) -> Iterator[None]:
        """Count a request as asked for, and one without a response."""
        self.demand.record_arrival(request.account, request.cost)
        try:
            yield
        except DandelionplankError:
            self.demand.record_refusal(request.account)
            raise

    async def _relay_until_done(
        self,
        request: CallerRequest,
        sink: CallerSink,
        progress: Progress,
    ) -> CompleteResponse | None:
        """Make attempts until the stream ends or none is left."""
        while True:
            try:
                return await self._relay_once(request, sink, progress)
            except DandelionplankError as error:
                if not self._should_retry(request, progress, error):
                    return progress.final_response(error)

    async def _fetch_once(
        self,
        request: CallerRequest,
        progress: Progress,
    ) -> CompleteResponse | None:
        """Make one attempt, hedged if the request is safe."""
        if request.route.kind is not RequestKind.SAFE:
            return await self._fetch_from_target(request, progress)
        first = asyncio.ensure_future(
            self._fetch_from_target(request, progress)
        )
        tasks = {first}
        try:
            hedge_delay_s = request.route.objective_s * HEDGE_DELAY_SHARE
            await asyncio.wait(tasks, timeout=hedge_delay_s)
            if not first.done() and self._may_hedge(request, progress):
                tasks.add(
                    asyncio.ensure_future(
                        self._fetch_from_target(request, progress)
                    ),
                )
            return await _first_success(tasks)
        finally:
            for task in tasks:
                task.cancel()

    def _may_hedge(self, request: CallerRequest, progress: Progress) -> bool:
        """Return whether a second attempt may start while the first runs."""
        if (
            progress.possible_executions == 0
            or progress.possible_executions >= request.route.attempts
        ):
            return False
        return self.budgets.take(request.service, time.monotonic())

    async def _fetch_from_target(
        self,
        request: CallerRequest,
        progress: Progress,
    ) -> CompleteResponse | None:
        """Make one attempt; return None if it is to be retried."""
        async with self._attempt(request, progress) as attempt:
            response = await self._open(attempt)
            body = await attempt.read_body()
            self._record_begin(attempt)
            is_success = response.status < FIRST_SERVER_ERROR_STATUS
            self.dispatcher.record_outcome(attempt.grant, is_success=is_success)
            self.crashes.record_response(attempt)
            complete = self._complete_response(attempt, body)
            if is_success or not self._may_retry(
                request,
                progress,
                Outcome.UNKNOWN,
            ):
                return complete
            progress.error_response = complete
            return None

    async def _relay_once(
        self,
        request: CallerRequest,
        sink: CallerSink,
        progress: Progress,
    ) -> CompleteResponse | None:
        """Make one attempt to start or resume a stream."""
        async with self._attempt(request, progress) as attempt:
            response = await self._open(attempt, progress.resume_point)
            if response.status not in SUCCESS_STATUSES:
                body = await attempt.read_body()
                self.dispatcher.record_outcome(attempt.grant, is_success=False)
                if progress.is_started:
                    raise attempt.stream_error(f'status {response.status}')
                return self._complete_response(attempt, body)
            relay = StreamRelay(
                request,
                progress,
                sink,
                self.codec,
                functools.partial(
                    _bind_stream, self.origins, attempt, progress
                ),
                functools.partial(self._record_events, attempt),
                functools.partial(self._reserve_target, request, progress),
            )
            await relay.run(attempt)
            self.origins.record_end(request)
            self.dispatcher.record_outcome(attempt.grant, is_success=True)
            self.crashes.record_response(attempt)
            return None

    @contextlib.asynccontextmanager
    async def _attempt(
        self,
        request: CallerRequest,
        progress: Progress,
    ) -> AsyncIterator[Attempt]:
        """Acquire a target for an attempt and always release it afterwards."""
        self.crashes.check_request(request)
        grant = await self._acquire(request, progress)
        attempt = Attempt(
            request,
            grant,
            self.pool,
            self.codec,
            self.held,
            self.dispatcher.is_excluded,
        )
        progress.tries += 1
        record_grant(request, grant)
        progress.avoided = (*progress.avoided, attempt.target_name)
        progress.possible_executions += 1
        try:
            # It may have been quarantined while the request waited.
            self.crashes.check_request(request)
            async with asyncio.timeout(request.time_left_s):
                yield attempt
        except TimeoutError as error:
            raise self._timeout_error(attempt) from error
        except TargetError as error:
            self._record_failure(attempt, error)
            raise
        finally:
            if attempt.state.is_not_executed:
                progress.possible_executions -= 1
            attempt.finish()
            self.dispatcher.release(grant)

    async def _acquire(
        self, request: CallerRequest, progress: Progress
    ) -> Grant:
        """Return a target that takes requests, reserved or newly assigned.

        A target may turn this instance away while the request waits, or while
        another instance that does not know assigns it. So may an order exclude
        it, which another instance may learn later, or its software version.

        :raises RefusalError: there is none
        """
        grant = progress.take_reserved() or await self._assign(
            request, progress
        )
        for _ in range(MAX_TRIES):
            if self.dispatcher.is_excluded(grant):
                self.dispatcher.record_excluded(grant)
            elif progress.allows(grant) and grant.load.availability.is_open(
                time.monotonic()
            ):
                return grant
            self.dispatcher.release(grant)
            closed = grant.load.target.name
            progress.avoided = (*progress.avoided, closed)
            grant = await self._assign(request, progress)
        if progress.allows(grant):
            return grant
        self.dispatcher.release(grant)
        raise _wrong_version(request, grant)

    async def _assign(
        self, request: CallerRequest, progress: Progress
    ) -> Grant:
        """Wait for a target.

        :raises RefusalError: the request was rejected and not executed
        """
        waiting = request.to_waiting_request(
            progress.avoided, progress.versions
        )
        try:
            grant = await self.dispatcher.acquire(waiting)
        except RefusalError as error:
            now_s = time.monotonic()
            if not progress.avoided and is_repeatable(
                error.reason,
                now_s - request.arrived_s,
                request.route.objective_s,
            ):
                self.refusals.record_refusal(
                    request.work_key,
                    request.cost,
                    error.retry_after_s,
                    now_s,
                )
            raise
        self.refusals.record_grant(request.work_key)
        return grant

    def _record_events(self, attempt: Attempt) -> None:
        """Record that events of a stream have arrived."""
        self._record_begin(attempt)
        self.crashes.record_events(attempt)

    def _record_begin(self, attempt: Attempt) -> None:
        """Record that a target has begun to answer, once for each request."""
        request = attempt.request
        self.dispatcher.record_first_event(attempt.grant)
        if record_first_event(request, attempt.grant):
            waited_s = time.monotonic() - request.arrived_s
            self.demand.record_begin(
                request.account,
                request.cost,
                is_late=waited_s > request.route.objective_s,
            )

    def _timeout_error(self, attempt: Attempt) -> DandelionplankError:
        """Return the error for a request that timed out."""
        outcome = Outcome.UNKNOWN
        if attempt.state.is_not_executed:
            outcome = Outcome.NOT_RUN
        return RefusalError(
            step=STEP,
            peer=attempt.target_name,
            code=(
                ErrorCode.QUEUE_TIMEOUT
                if outcome is Outcome.NOT_RUN
                else ErrorCode.TARGET_SILENT
            ),
            request_id=attempt.request.metadata.request_id,
            outcome=outcome,
            retry_after_s=TIMED_OUT_RETRY_S,
        )

    def _record_failure(self, attempt: Attempt, error: TargetError) -> None:
        """Record a failed attempt in the target's health."""
        grant = attempt.grant
        self.crashes.record_failure(attempt, error)
        if error.code is ErrorCode.TARGET_UNREACHABLE:
            self.dispatcher.record_unreachable(grant)
            log_event(
                Event.TARGET_UNREACHABLE,
                request=grant.waiting.request_id,
                target=grant.load.target.name,
                why=error.reason,
            )
        elif error.code is not ErrorCode.TARGET_REFUSED:
            self.dispatcher.record_outcome(grant, is_success=False)

    async def _open(
        self, attempt: Attempt, last_event_id: str = ''
    ) -> TargetResponse:
        """Send the request of an attempt and return the head of its response.

        :raises TargetError: the attempt failed, or was not executed
        """
        try:
            response = await attempt.open(last_event_id)
        finally:
            if not attempt.is_target_open:
                self.dispatcher.record_closed(attempt.grant)
        self._raise_if_not_executed(attempt)
        return response

    def _raise_if_not_executed(self, attempt: Attempt) -> None:
        """Pause the target and raise if it did not execute the request."""
        if attempt.state is not AttemptState.REFUSED_NOT_EXECUTED:
            return
        response = attempt.response
        assert response is not None
        self.dispatcher.record_not_executed(
            attempt.grant, is_misdirected=response.status == MISDIRECTED
        )
        raise TargetError(
            f'status {response.status}',
            step=STEP,
            peer=attempt.target_name,
            request_id=attempt.request.metadata.request_id,
            code=ErrorCode.TARGET_REFUSED,
            outcome=Outcome.NOT_RUN,
        )

    def _should_retry(
        self,
        request: CallerRequest,
        progress: Progress,
        error: DandelionplankError,
    ) -> bool:
        """Return whether a failed attempt is retried, and log the retry."""
        if not isinstance(error, TargetError):
            return False
        if not self._may_retry(
            request,
            progress,
            error.outcome,
            reached_target=error.code is not ErrorCode.TARGET_UNREACHABLE,
        ):
            return False
        self._log_retry(request, error)
        return True

    def _may_retry(
        self,
        request: CallerRequest,
        progress: Progress,
        outcome: Outcome,
        *,
        reached_target: bool = True,
    ) -> bool:
        """Return whether another target is tried; spend the retry budget.

        :param reached_target: the failed attempt reached a target; one that
            did not takes nothing from the retry budget
        """
        max_tries = MAX_TRIES if reached_target else MAX_UNREACHABLE_TRIES
        if progress.tries >= max_tries or request.time_left_s <= 0:
            return False
        if not reached_target:
            return True
        return _may_execute_again(
            request, progress, outcome
        ) and self.budgets.take(request.service, time.monotonic())

    def _may_resume(self, request: CallerRequest, progress: Progress) -> bool:
        """Return whether a stream without progress may be resumed elsewhere."""
        return (
            progress.tries < MAX_TRIES
            and _may_execute_again(request, progress, Outcome.UNKNOWN)
            and self.budgets.has_retry(request.service, time.monotonic())
        )

    async def _reserve_target(
        self, request: CallerRequest, progress: Progress
    ) -> bool:
        """Reserve another target for a stream without progress.

        The stream would be cut if it were given up before there is one.
        """
        if not self._may_resume(request, progress):
            return False
        try:
            async with asyncio.timeout(RESERVE_TIMEOUT_S):
                grant = await self.dispatcher.acquire(
                    request.to_waiting_request(
                        progress.avoided, progress.versions
                    ),
                )
        except (RefusalError, TimeoutError):
            return False
        is_usable = (
            grant.load.target.name not in progress.avoided
            and progress.allows(grant)
            and not self.dispatcher.is_excluded(grant)
        )
        if not is_usable or not self._may_resume(request, progress):
            self.dispatcher.release(grant)
            return False
        progress.reserved = grant
        return True

    def _complete_response(
        self, attempt: Attempt, body: bytes
    ) -> CompleteResponse:
        """Return the target's response with the headers for the caller."""
        response = attempt.response
        assert response is not None
        return CompleteResponse(
            response.status,
            response.reason,
            tuple(self.codec.caller_headers(response.headers).items()),
            body,
        )

    def _log_retry(self, request: CallerRequest, error: TargetError) -> None:
        """Log a retry."""
        log_event(
            Event.RETRIED,
            request=request.metadata.request_id,
            failed=error.peer,
            why=error.reason,
            outcome=error.outcome.value,
            time_left_s=round(request.time_left_s, 2),
        )


def _bind_stream(
    origins: StreamOrigins, attempt: Attempt, progress: Progress
) -> None:
    """Bind a stream to the software version whose event is passed on."""
    target = attempt.grant.load.target
    progress.versions = (target.version,)
    if attempt.request.route.can_resume:
        origins.record_begin(attempt.request, target)


def _wrong_version(request: CallerRequest, grant: Grant) -> RefusalError:
    """Return the error for a request that was granted unfit targets only."""
    return RefusalError(
        f'granted version {grant.load.target.version}',
        step=STEP,
        peer=grant.load.target.name,
        code=ErrorCode.QUEUE_TIMEOUT,
        request_id=request.metadata.request_id,
        retry_after_s=TIMED_OUT_RETRY_S,
    )


def _may_execute_again(
    request: CallerRequest, progress: Progress, outcome: Outcome
) -> bool:
    """Return whether the route allows another execution after an attempt."""
    return outcome is Outcome.NOT_RUN or (
        request.route.is_retryable
        and progress.possible_executions < request.route.attempts
    )


async def _first_success(
    tasks: set[asyncio.Task[CompleteResponse | None]],
) -> CompleteResponse | None:
    """Return the first response that is not a server error, or the last one.

    :raises DandelionplankError: no attempt got a response
    """
    response: CompleteResponse | None = None
    failure: DandelionplankError | None = None
    for completed in asyncio.as_completed(tasks):
        try:
            response = await completed or response
        except DandelionplankError as error:
            failure = error
        if response and response.status < FIRST_SERVER_ERROR_STATUS:
            return response
    if response is None and failure is not None:
        raise failure
    return response
