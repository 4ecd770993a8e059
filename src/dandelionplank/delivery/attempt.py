"""One attempt at one target: what was sent, what came back, what is known."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from http import HTTPStatus

import aiohttp
from aiohttp.http_exceptions import HttpProcessingError

from dandelionplank.delivery.answers import AnswerMarks
from dandelionplank.delivery.codec import RequestCodec
from dandelionplank.delivery.connections import (
    Answer,
    ConnectionPool,
    TargetConnection,
)
from dandelionplank.delivery.events import EventFramer, StreamEvent
from dandelionplank.delivery.requests import CallerRequest
from dandelionplank.errors import ErrorCode, Outcome, TargetError
from dandelionplank.routing.retries import AttemptState
from dandelionplank.routing.scheduler import Grant

STEP = 'attempt'
NO_BODY_METHOD = 'HEAD'
FIRST_FAILURE_STATUS = 500
SUCCESS_STATUSES = range(HTTPStatus.OK, HTTPStatus.MULTIPLE_CHOICES)
# A broken connection, bytes that are no answer, or a body that ends early.
BROKEN_ANSWER = (
    aiohttp.ClientError,
    HttpProcessingError,
    OSError,
    ValueError,
)


class Attempt:
    """Sends a request to a target and reads the answer.

    :param state: what is known of the request's execution there
    """

    def __init__(
        self,
        request: CallerRequest,
        grant: Grant,
        pool: ConnectionPool,
        codec: RequestCodec,
    ) -> None:
        """Prepare; nothing is sent."""
        self.request = request
        self.grant = grant
        self.pool = pool
        self.codec = codec
        self.state = AttemptState.NOT_SENT
        self.connection: TargetConnection | None = None
        self.answer: Answer | None = None
        self.marks: AnswerMarks | None = None
        self.is_read_whole = False

    @property
    def target_name(self) -> str:
        """Id of the target."""
        return self.grant.load.target.name

    async def open(self, last_event_id: str = '') -> Answer:
        """Send the request and return the head of its own answer.

        :param last_event_id: event after which a stream goes on
        :raises TargetError: with the outcome, as far as it is known
        """
        route = self.request.route
        self.connection = await self.pool.acquire(
            self.grant.load.target,
            may_repeat=route.may_repeat,
        )
        head = self._head(last_event_id)
        has_body = self.request.method != NO_BODY_METHOD
        self.state = AttemptState.SENT
        if not self.connection.send(
            head,
            self.request.body,
            has_answer_body=has_body,
        ):
            self.state = AttemptState.NOT_SENT
            raise self._error('connection was closed', Outcome.NOT_RUN)
        try:
            return await self._own_answer(self.connection)
        except BROKEN_ANSWER as error:
            self.state = AttemptState.UNKNOWN
            raise self._error(repr(error), Outcome.UNKNOWN) from error

    async def read_whole(self) -> bytes:
        """Read the rest of the answer.

        :raises TargetError: the answer ends early
        """
        assert self.answer is not None
        try:
            body = await self.answer.body.read()
        except BROKEN_ANSWER as error:
            self.state = AttemptState.UNKNOWN
            raise self._error(repr(error), Outcome.UNKNOWN) from error
        self.is_read_whole = True
        return body

    async def events(self) -> AsyncIterator[list[StreamEvent]]:
        """Yield the whole events of the answer as they come.

        :raises TargetError: the stream breaks off
        """
        assert self.answer is not None
        framer = EventFramer()
        try:
            while True:
                chunk = await self.answer.body.readany()
                if not chunk:
                    break
                events = framer.feed(chunk)
                if events:
                    yield events
        except BROKEN_ANSWER as error:
            self.state = AttemptState.UNKNOWN
            raise self._error(repr(error), Outcome.UNKNOWN) from error
        if framer.remainder:
            self.state = AttemptState.UNKNOWN
            raise self._error('stream ends inside an event', Outcome.UNKNOWN)
        self.is_read_whole = True

    def finish(self) -> None:
        """Keep the connection if the answer was read whole, else close it."""
        if self.connection is None:
            return
        if self.is_read_whole:
            self.pool.release(self.grant.load.target, self.connection)
        else:
            self.connection.abort()
        self.connection = None

    def broken(self, reason: str) -> TargetError:
        """Return the error of a stream that does not go on."""
        self.state = AttemptState.UNKNOWN
        return self._error(reason, Outcome.UNKNOWN)

    async def _own_answer(self, connection: TargetConnection) -> Answer:
        """Return the answer to this request; skip those to earlier ones."""
        wanted = self.request.facts.request_id
        while True:
            answer = await connection.read_answer()
            marks = self.codec.answer_marks(answer.status, answer.headers)
            if not marks.request_id or marks.request_id == wanted:
                break
            connection.keeps_alive = False
            with contextlib.suppress(*BROKEN_ANSWER):
                await answer.body.read()
        self.answer = answer
        self.marks = marks
        if marks.report:
            now_s = asyncio.get_running_loop().time()
            self.grant.load.note_report(marks.report, now_s)
        self.state = AttemptState.ANSWERED
        if marks.is_unrun:
            self.state = AttemptState.REFUSED_UNRUN
        elif answer.status in SUCCESS_STATUSES and not self._is_genuine(marks):
            self.state = AttemptState.UNKNOWN
            raise self._error('answer lacks its marks', Outcome.UNKNOWN)
        return answer

    def _is_genuine(self, marks: AnswerMarks) -> bool:
        """Tell whether a success is the target's answer to this request."""
        wanted = self.request.facts.request_id
        return (
            marks.is_stamped
            and not marks.is_encoded
            and marks.request_id == wanted
        )

    def _head(self, last_event_id: str) -> bytes:
        """Return the request line and headers."""
        request = self.request
        headers = self.codec.target_headers(
            request.headers,
            target=self.target_name,
            account=request.account,
            time_left_s=request.time_left_s,
        )
        if last_event_id:
            headers = self.codec.resumed_headers(headers, last_event_id)
        if request.body or request.method not in {'GET', NO_BODY_METHOD}:
            headers.append(('Content-Length', str(len(request.body))))
        lines = [f'{request.method} {request.path} HTTP/1.1']
        lines.extend(f'{name}: {text}' for name, text in headers)
        return '\r\n'.join((*lines, '', '')).encode(
            'utf-8',
            'surrogateescape',
        )

    def _error(self, reason: str, outcome: Outcome) -> TargetError:
        """Return the error of this attempt."""
        return TargetError(
            reason,
            step=STEP,
            peer=self.target_name,
            request_id=self.request.facts.request_id,
            code=ErrorCode.TARGET_FAILED,
            outcome=outcome,
        )
