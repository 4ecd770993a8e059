"""Brings one request to an answer: attempts, repeats, resumed streams."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

from dandelionplank.delivery.attempt import (
    FIRST_FAILURE_STATUS,
    SUCCESS_STATUSES,
    Attempt,
)
from dandelionplank.delivery.codec import RequestCodec
from dandelionplank.delivery.connections import ConnectionPool
from dandelionplank.delivery.dispatch import Dispatcher
from dandelionplank.delivery.progress import (
    Progress,
    note_first_event,
    note_grant,
)
from dandelionplank.delivery.requests import CallerRequest, WholeAnswer
from dandelionplank.delivery.streams import CallerSink, StreamRelay
from dandelionplank.errors import (
    DandelionplankError,
    ErrorCode,
    Outcome,
    RefusalError,
    TargetError,
)
from dandelionplank.events import Event
from dandelionplank.logs import log_event
from dandelionplank.routing.budget import Budgets
from dandelionplank.routing.retries import AttemptState
from dandelionplank.routing.routes import RequestKind
from dandelionplank.routing.scheduler import Grant

STEP = 'delivery'
# A safe request without an answer after this part of its objective is sent
# to a second target as well.
HEDGE_SHARE = 0.6
# A target that says it is full or another one rests for this long.
FULL_REST_S = 0.1
MISDIRECTED_REST_S = 2.0
MISDIRECTED = 421
# Tries at targets that do not run the request.
MOST_UNRUN_TRIES = 4
# Tries at targets that take no connection: they cost a millisecond each, and
# after many targets were lost at once most of the idle ones are dead.
MOST_UNREACHABLE_TRIES = 8
UNRUN_RETRY_S = 0.5


class Delivery:
    """Delivers requests; one object serves all requests of the process."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        pool: ConnectionPool,
        codec: RequestCodec,
        budgets: Budgets,
    ) -> None:
        """Keep what every request needs."""
        self.dispatcher = dispatcher
        self.pool = pool
        self.codec = codec
        self.budgets = budgets

    async def fetch(self, request: CallerRequest) -> WholeAnswer:
        """Return the whole answer to a request that is no stream.

        :raises DandelionplankError: the request has no answer
        """
        progress = Progress()
        while True:
            answer = None
            try:
                answer = await self._fetch_once(request, progress)
            except DandelionplankError as error:
                if not self._goes_on(request, progress, error):
                    answer = progress.last_answer(error)
            if answer is not None:
                return answer

    async def relay(
        self,
        request: CallerRequest,
        sink: CallerSink,
    ) -> WholeAnswer | None:
        """Pass a stream on to the caller.

        :return: an answer that is no stream, or nothing
        :raises DandelionplankError: there is no complete answer; events may
            have been passed on
        """
        progress = Progress()
        while True:
            try:
                return await self._relay_once(request, sink, progress)
            except DandelionplankError as error:
                if not self._goes_on(request, progress, error):
                    return progress.last_answer(error)

    async def _fetch_once(
        self,
        request: CallerRequest,
        progress: Progress,
    ) -> WholeAnswer | None:
        """Make one attempt, hedged where the request may be repeated."""
        if request.route.kind is not RequestKind.SAFE:
            return await self._try_whole(request, progress)
        first = asyncio.ensure_future(self._try_whole(request, progress))
        tasks = {first}
        try:
            patience_s = request.route.objective_s * HEDGE_SHARE
            await asyncio.wait(tasks, timeout=patience_s)
            if not first.done() and self._may_hedge(request, progress):
                tasks.add(
                    asyncio.ensure_future(self._try_whole(request, progress)),
                )
            return await _first_success(tasks)
        finally:
            for task in tasks:
                task.cancel()

    def _may_hedge(self, request: CallerRequest, progress: Progress) -> bool:
        """Tell whether a second attempt may start beside the first."""
        if progress.runs == 0 or progress.runs >= request.route.attempts:
            return False
        return self.budgets.take(request.service, time.monotonic())

    async def _try_whole(
        self,
        request: CallerRequest,
        progress: Progress,
    ) -> WholeAnswer | None:
        """Make one attempt; nothing is returned if another one is due."""
        async with self._attempt(request, progress) as attempt:
            answer = await attempt.open()
            body = await attempt.read_whole()
            note_first_event(request, attempt.grant)
            self.dispatcher.note_first_event(attempt.grant)
            is_good = answer.status < FIRST_FAILURE_STATUS
            self._check_unrun(attempt)
            _note_outcome(attempt.grant, is_good=is_good)
            whole = self._whole(attempt, body)
            if is_good or not self._may_go_on(
                request,
                progress,
                Outcome.UNKNOWN,
            ):
                return whole
            progress.failure = whole
            return None

    async def _relay_once(
        self,
        request: CallerRequest,
        sink: CallerSink,
        progress: Progress,
    ) -> WholeAnswer | None:
        """Make one attempt at a stream, or go on with it."""
        async with self._attempt(request, progress) as attempt:
            answer = await attempt.open(progress.resume_point)
            self._check_unrun(attempt)
            if answer.status not in SUCCESS_STATUSES:
                body = await attempt.read_whole()
                _note_outcome(attempt.grant, is_good=False)
                if progress.is_started:
                    raise attempt.broken(f'status {answer.status}')
                return self._whole(attempt, body)
            relay = StreamRelay(
                request,
                progress,
                sink,
                self.codec,
                self.dispatcher.note_first_event,
            )
            await relay.run(attempt)
            _note_outcome(attempt.grant, is_good=True)
            return None

    @contextlib.asynccontextmanager
    async def _attempt(
        self,
        request: CallerRequest,
        progress: Progress,
    ) -> AsyncIterator[Attempt]:
        """Wait for a target and give it back whatever happens."""
        grant = await self.dispatcher.acquire(
            request.to_waiting(progress.avoided),
        )
        attempt = Attempt(request, grant, self.pool, self.codec)
        progress.tries += 1
        note_grant(request, grant)
        progress.avoided = (*progress.avoided, attempt.target_name)
        progress.runs += 1
        try:
            async with asyncio.timeout(request.time_left_s):
                yield attempt
        except TimeoutError as error:
            raise self._timed_out(attempt) from error
        except TargetError as error:
            self._note_failure(grant, error)
            raise
        finally:
            if attempt.state.surely_not_run:
                progress.runs -= 1
            attempt.finish()
            self.dispatcher.release(grant)

    def _timed_out(self, attempt: Attempt) -> DandelionplankError:
        """Return the error of a request whose time is over."""
        outcome = Outcome.UNKNOWN
        if attempt.state.surely_not_run:
            outcome = Outcome.NOT_RUN
        return RefusalError(
            step=STEP,
            peer=attempt.target_name,
            code=(
                ErrorCode.QUEUE_TIMEOUT
                if outcome is Outcome.NOT_RUN
                else ErrorCode.TARGET_SILENT
            ),
            request_id=attempt.request.facts.request_id,
            outcome=outcome,
            retry_after_s=UNRUN_RETRY_S,
        )

    def _note_failure(self, grant: Grant, error: TargetError) -> None:
        """Remember that a target failed."""
        now_s = time.monotonic()
        if error.code is ErrorCode.TARGET_UNREACHABLE:
            grant.load.health.note_unreachable(now_s)
            log_event(
                Event.TARGET_UNREACHABLE,
                request=grant.waiting.request_id,
                target=grant.load.target.name,
                why=error.reason,
            )
        elif error.code is not ErrorCode.TARGET_REFUSED:
            _note_outcome(grant, is_good=False)

    def _check_unrun(self, attempt: Attempt) -> None:
        """Raise if the target says that it did not run the request."""
        if attempt.state is not AttemptState.REFUSED_UNRUN:
            return
        answer = attempt.answer
        assert answer is not None
        rest_s = FULL_REST_S
        if answer.status == MISDIRECTED:
            rest_s = MISDIRECTED_REST_S
        attempt.grant.load.health.rest(time.monotonic() + rest_s)
        raise TargetError(
            f'status {answer.status}',
            step=STEP,
            peer=attempt.target_name,
            request_id=attempt.request.facts.request_id,
            code=ErrorCode.TARGET_REFUSED,
            outcome=Outcome.NOT_RUN,
        )

    def _goes_on(
        self,
        request: CallerRequest,
        progress: Progress,
        error: DandelionplankError,
    ) -> bool:
        """Tell whether a failed attempt is followed by another one."""
        if not isinstance(error, TargetError):
            return False
        if not self._may_go_on(
            request,
            progress,
            error.outcome,
            has_arrived=error.code is not ErrorCode.TARGET_UNREACHABLE,
        ):
            return False
        self._log_repeat(request, error)
        return True

    def _may_go_on(
        self,
        request: CallerRequest,
        progress: Progress,
        outcome: Outcome,
        *,
        has_arrived: bool = True,
    ) -> bool:
        """Tell whether another target may be tried.

        :param has_arrived: the failed attempt reached a target; one that did
            not spends nothing of the budget of repeats
        """
        most = MOST_UNRUN_TRIES if has_arrived else MOST_UNREACHABLE_TRIES
        if progress.tries >= most or request.time_left_s <= 0:
            return False
        if not has_arrived:
            return True
        may_run = outcome is Outcome.NOT_RUN or (
            request.route.may_repeat and progress.runs < request.route.attempts
        )
        return may_run and self.budgets.take(
            request.service,
            time.monotonic(),
        )

    def _whole(self, attempt: Attempt, body: bytes) -> WholeAnswer:
        """Return the target's answer as the caller gets it."""
        answer = attempt.answer
        assert answer is not None
        return WholeAnswer(
            answer.status,
            answer.reason,
            tuple(self.codec.caller_headers(answer.headers).items()),
            body,
        )

    def _log_repeat(self, request: CallerRequest, error: TargetError) -> None:
        """Write the log line of a repeat."""
        log_event(
            Event.RETRIED,
            request=request.facts.request_id,
            failed=error.peer,
            why=error.reason,
            outcome=error.outcome.value,
            time_left_s=round(request.time_left_s, 2),
        )


def _note_outcome(grant: Grant, *, is_good: bool) -> None:
    """Let a target's soundness follow the outcome of a request."""
    grant.load.health.note_answer(time.monotonic(), is_good=is_good)


async def _first_success(
    tasks: set[asyncio.Task[WholeAnswer | None]],
) -> WholeAnswer | None:
    """Return the first good answer, or the last one.

    :raises DandelionplankError: no attempt has an answer
    """
    answer: WholeAnswer | None = None
    failure: DandelionplankError | None = None
    for ended in asyncio.as_completed(tasks):
        try:
            answer = await ended or answer
        except DandelionplankError as error:
            failure = error
        if answer and answer.status < FIRST_FAILURE_STATUS:
            return answer
    if answer is None and failure is not None:
        raise failure
    return answer
