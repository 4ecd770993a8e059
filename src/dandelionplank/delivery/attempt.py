"""One attempt: sends a request to one target and reads the response."""

import asyncio
import random
import time
from collections.abc import Callable
from http import HTTPStatus

import aiohttp
from aiohttp.http_exceptions import HttpProcessingError

from dandelionplank.delivery.bounds import (
    MAX_SKIPPED_BODY_BYTES,
    MAX_SKIPPED_RESPONSES,
    HeldBytes,
)
from dandelionplank.delivery.codec import RequestCodec
from dandelionplank.delivery.connections import (
    ConnectionPool,
    TargetConnection,
    TargetResponse,
)
from dandelionplank.delivery.events import EventFramer, StreamEvent
from dandelionplank.delivery.ratestatements import record_request_rate
from dandelionplank.delivery.requests import CallerRequest
from dandelionplank.delivery.responses import ResponseMetadata
from dandelionplank.errors import ErrorCode, Outcome, TargetError
from dandelionplank.events import Event
from dandelionplank.logs import log_event
from dandelionplank.routing.ratelimit import UNLIMITED, RateStatement
from dandelionplank.routing.retries import AttemptState
from dandelionplank.routing.scheduler import Grant

STEP = 'attempt'
NO_BODY_METHOD = 'HEAD'
FIRST_SERVER_ERROR_STATUS = 500
MISDIRECTED = 421
SUCCESS_STATUSES = range(HTTPStatus.OK, HTTPStatus.MULTIPLE_CHOICES)
# A broken connection, a malformed response, or a body that ends early.
RESPONSE_ERRORS = (
    aiohttp.ClientError,
    HttpProcessingError,
    OSError,
    ValueError,
)


class Attempt:
    """Sends a request to a target and reads the response.

    :param state: what is known of the request's execution there
    :param first_bytes_s: monotonic time at which the body of the response
        began, None before that
    :param is_recorded_sound: it is recorded that the prompt is sound
    """

    def __init__(
        self,
        request: CallerRequest,
        grant: Grant,
        pool: ConnectionPool,
        codec: RequestCodec,
        held: HeldBytes,
        is_excluded: Callable[[Grant], bool],
    ) -> None:
        """Hold the request and its grant; nothing is sent before ``open``.

        :param held: limit on the bodies that are being read
        :param is_excluded: returns whether an order forbids requests to a
            granted target
        """
        self.request = request
        self.grant = grant
        self.pool = pool
        self.codec = codec
        self.held = held
        self.is_excluded = is_excluded
        self.framer = EventFramer()
        self.has_events = False
        self.state = AttemptState.NOT_SENT
        self.connection: TargetConnection | None = None
        self.response: TargetResponse | None = None
        self.marks: ResponseMetadata | None = None
        self.is_fully_read = False
        self.first_bytes_s: float | None = None
        self.is_recorded_sound = False

    @property
    def target_name(self) -> str:
        """Id of the target."""
        return self.grant.load.target.name

    @property
    def is_target_open(self) -> bool:
        """Whether the target has not turned this instance away since."""
        return self.grant.load.availability.is_open(time.monotonic())

    async def open(self, last_event_id: str = '') -> TargetResponse:
        """Send the request and return the head of its response.

        :param last_event_id: event after which a stream is resumed
        :raises TargetError: the attempt failed; carries the known outcome
        """
        route = self.request.route
        self.connection = await self.pool.acquire(
            self.grant.load.target,
            request_id=self.request.metadata.request_id,
            is_retryable=route.is_retryable,
        )
        is_usable = self.is_target_open and not self._is_outdated
        if not is_usable or self.is_excluded(self.grant):
            raise self._error(
                'the target takes no requests',
                Outcome.NOT_RUN,
                ErrorCode.TARGET_REFUSED,
            )
        head = self._head(last_event_id)
        has_body = self.request.method != NO_BODY_METHOD
        self.state = AttemptState.SENT
        if not self.connection.send(
            head,
            self.request.body,
            request_id=self.request.metadata.request_id,
            has_response_body=has_body,
        ):
            self.state = AttemptState.NOT_SENT
            raise self._error('connection was closed', Outcome.NOT_RUN)
        try:
            return await self._matching_response(self.connection)
        except RESPONSE_ERRORS as error:
            self.state = AttemptState.UNKNOWN
            raise self._error(repr(error), Outcome.UNKNOWN) from error

    async def read_body(self) -> bytes:
        """Read the body of the response to its end.

        :raises TargetError: the response is truncated or too long
        """
        assert self.response is not None
        chunks = []
        with self.held.hold_body(self.target_name) as body:
            while chunk := await self._read_chunk():
                body.add(len(chunk))
                chunks.append(chunk)
        self.is_fully_read = True
        return b''.join(chunks)

    async def read_events(self) -> list[StreamEvent]:
        """Return the next complete events, none at the end of the stream.

        May be cancelled and called again without losing an event.

        :raises TargetError: the stream is truncated or malformed
        """
        while chunk := await self._read_chunk():
            try:
                events = self.framer.feed(chunk)
            except ValueError as error:
                raise self.stream_error(str(error)) from error
            if events:
                self.has_events = True
                return events
        self._check_end_of_stream()
        self.is_fully_read = True
        return []

    def finish(self) -> None:
        """Release the connection for reuse, or abort it if bytes are unread."""
        if self.connection is None:
            return
        if self.is_fully_read or self._is_complete_refusal:
            self.pool.release(self.grant.load.target, self.connection)
        else:
            self.connection.abort()
        self.connection = None

    def stream_error(self, reason: str) -> TargetError:
        """Return the error for a stream that stopped early."""
        self.state = AttemptState.UNKNOWN
        return self._error(reason, Outcome.UNKNOWN)

    def _check_end_of_stream(self) -> None:
        """Check that a stream that has ended is complete.

        A close is the only end of an unframed stream; before the first event
        it cannot be distinguished from the end of a connection that broke.

        :raises TargetError: the stream has been truncated
        """
        assert self.response is not None
        if self.framer.remainder:
            raise self.stream_error('stream ends inside an event')
        if self.response.is_unframed and not self.has_events:
            raise self.stream_error('connection ends before the first event')

    @property
    def _is_outdated(self) -> bool:
        """Whether the target is cold and its grant too old to be used."""
        cold = self.grant.load.cold
        return cold is not None and cold.is_outdated(
            self.grant.sent.sent_s, time.monotonic()
        )

    @property
    def _is_complete_refusal(self) -> bool:
        """Whether a refusal has arrived with its body, which nobody reads."""
        return (
            self.state is AttemptState.REFUSED_NOT_EXECUTED
            and self.response is not None
            and self.response.body.is_eof()
        )

    async def _matching_response(
        self, connection: TargetConnection
    ) -> TargetResponse:
        """Return the response to this request; skip mismatched responses."""
        for _ in range(MAX_SKIPPED_RESPONSES + 1):
            response = await connection.read_response()
            marks = self.codec.response_metadata(
                response.status, response.headers
            )
            if self._is_ours(marks, connection):
                break
            connection.keep_alive = False
            await _skip_body(response)
        else:
            raise aiohttp.ClientPayloadError('responses to other requests')
        self.response = response
        self.marks = marks
        self._record_closure(marks, response.status)
        if marks.report:
            now_s = asyncio.get_running_loop().time()
            self.grant.load.record_report(marks.report, now_s)
        self.state = AttemptState.ANSWERED
        if marks.is_not_executed:
            self.state = AttemptState.REFUSED_NOT_EXECUTED
        elif response.status in SUCCESS_STATUSES and not self._has_valid_marks(
            marks
        ):
            self.state = AttemptState.UNKNOWN
            raise self._error(
                'success response has no stamp, a wrong id or an encoding',
                Outcome.UNKNOWN,
            )
        self._record_request_rate(marks.request_rate, response.status)
        return response

    def _record_closure(self, marks: ResponseMetadata, status: int) -> None:
        """Record that the target turns this instance away."""
        if not (marks.is_leaving or marks.closed_s):
            return
        availability = self.grant.load.availability
        if marks.is_leaving:
            availability.record_leaving()
        else:
            availability.record_closed(
                time.monotonic(), marks.closed_s, random.random()
            )
        log_event(
            Event.TARGET_CLOSED,
            target=self.target_name,
            status=status,
            is_leaving=marks.is_leaving,
            closed_s=marks.closed_s,
        )

    def _record_request_rate(self, rate: float | None, status: int) -> None:
        """Record the request rate that the target states.

        :param rate: requests per second, None if it cannot be decoded
        """
        # Only a success without a limit shows that the limit has ended. A
        # misdirected request was answered by another target.
        is_statement = rate != UNLIMITED or status in SUCCESS_STATUSES
        if rate is None or status == MISDIRECTED or not is_statement:
            return
        sent_s = self.grant.sent.sent_s
        now_s = time.monotonic()
        statement = RateStatement.from_response(rate, sent_s, now_s)
        record_request_rate(self.grant.load, statement, now_s, is_own=True)

    def _is_ours(
        self, marks: ResponseMetadata, connection: TargetConnection
    ) -> bool:
        """Return whether a response is the one to this request.

        :raises aiohttp.ClientError: the response has no id and may be a late
            copy of an earlier one, because the connection was reused
        """
        if marks.request_id or connection.request_count == 1:
            return marks.request_id in {'', self.request.metadata.request_id}
        if self.request.metadata.request_id:
            raise aiohttp.ClientPayloadError('response has no request id')
        return True

    async def _read_chunk(self) -> bytes:
        """Return the next bytes of the body, none at its end.

        :raises TargetError: the response is truncated
        """
        assert self.response is not None
        try:
            chunk = await self.response.body.readany()
        except RESPONSE_ERRORS as error:
            raise self.stream_error(repr(error)) from error
        if chunk and self.first_bytes_s is None:
            self.first_bytes_s = time.monotonic()
        return chunk

    def _has_valid_marks(self, marks: ResponseMetadata) -> bool:
        """Return whether a success carries the marks of this request."""
        request_id = self.request.metadata.request_id
        return (
            marks.is_stamped
            and not marks.is_encoded
            and marks.request_id == request_id
        )

    def _head(self, last_event_id: str) -> bytes:
        """Return the encoded request line and headers."""
        request = self.request
        headers = self.codec.target_headers(
            request.headers,
            target=self.target_name,
            account=request.account,
            time_left_s=request.time_left_s,
        )
        if last_event_id:
            headers = self.codec.resume_headers(headers, last_event_id)
        if request.body or request.method not in {'GET', NO_BODY_METHOD}:
            headers.append(('Content-Length', str(len(request.body))))
        lines = [f'{request.method} {request.path} HTTP/1.1']
        lines.extend(f'{name}: {text}' for name, text in headers)
        return '\r\n'.join((*lines, '', '')).encode(
            'utf-8',
            'surrogateescape',
        )

    def _error(
        self,
        reason: str,
        outcome: Outcome,
        code: ErrorCode = ErrorCode.TARGET_FAILED,
    ) -> TargetError:
        """Return an error with the target and request of this attempt."""
        return TargetError(
            reason,
            step=STEP,
            peer=self.target_name,
            request_id=self.request.metadata.request_id,
            code=code,
            outcome=outcome,
        )


async def _skip_body(response: TargetResponse) -> None:
    """Read the body of a response to another request.

    :raises aiohttp.ClientError: the body is truncated or too long, or ends
        with its connection, so that no other response follows
    """
    if response.is_unframed:
        raise aiohttp.ClientPayloadError('unframed body of another response')
    skipped = 0
    while chunk := await response.body.readany():
        skipped += len(chunk)
        if skipped > MAX_SKIPPED_BODY_BYTES:
            raise aiohttp.ClientPayloadError('long body of another response')
