"""Callers' requests: routed, authenticated, delivered, answered."""

import asyncio
import functools
import time
from http import HTTPStatus

import xxhash
from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from dandelionplank.delivery.codec import RequestCodec
from dandelionplank.delivery.delivery import Delivery
from dandelionplank.delivery.requests import CallerRequest, WholeAnswer
from dandelionplank.errors import (
    DandelionplankError,
    ErrorCode,
    Outcome,
    RefusalError,
)
from dandelionplank.events import Event
from dandelionplank.fleet.view import FleetView
from dandelionplank.ingress.sinks import StreamSink
from dandelionplank.logs import log_event
from dandelionplank.metrics import METRICS
from dandelionplank.routing.routes import RequestKind, Route, RouteTable
from dandelionplank.routing.work import RequestFacts

STEP = 'ingress'
NOT_READY_RETRY_S = 0.5
STALE_RETRY_S = 1.0
# Callers leave a stream that is silent for the longest of these: a time, a
# multiple of the objective, a multiple of the longest pause on time.
SHORTEST_PATIENCE_S = 2.0
PATIENCE_OBJECTIVES = 4
PATIENCE_PAUSES = 8
# A request that cannot begin by this much before its caller leaves is refused.
PATIENCE_SLACK_S = 0.3
# Points of a split: the range of the hash that draws them.
POINTS = 4_294_967_296


class Gateway:
    """Serves the callers of this instance."""

    def __init__(
        self,
        view: FleetView,
        delivery: Delivery,
        codec: RequestCodec,
    ) -> None:
        """Start without requests."""
        self.view = view
        self.delivery = delivery
        self.codec = codec
        self.is_leaving = False
        self.open_requests = 0

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self.open_requests += 1
        started_s = time.monotonic()
        facts = self.codec.request_facts(request.headers)
        try:
            return await self._serve(request, facts, started_s)
        except DandelionplankError as error:
            return self._refuse(facts, error, started_s)
        except asyncio.CancelledError:
            log_event(
                Event.CALLER_GONE,
                request=facts.request_id,
                account=self._account_name(facts),
                held_s=round(time.monotonic() - started_s, 3),
            )
            raise
        finally:
            self.open_requests -= 1

    async def _serve(
        self,
        request: web.BaseRequest,
        facts: RequestFacts,
        started_s: float,
    ) -> web.StreamResponse:
        """Find the route, read the body, and deliver the request."""
        table = self._table()
        route = self._route(table, request)
        account = self._account(table, route, facts)
        body = await self._body(request, table)
        self._check_proof(route, facts)
        caller = self._caller_request(
            request,
            body,
            facts,
            route,
            account,
            started_s,
        )
        self.delivery.budgets.note_request(caller.service, started_s)
        if route.kind is RequestKind.STREAM:
            return await self._stream(request, caller)
        if route.may_repeat:
            answer = await self.delivery.fetch(caller)
        else:
            answer = await self._fetch_shielded(caller)
        return self._respond(caller, answer)

    async def _fetch_shielded(self, caller: CallerRequest) -> WholeAnswer:
        """Let a request that runs at most once end though its caller left."""
        work = asyncio.ensure_future(self.delivery.fetch(caller))
        try:
            return await asyncio.shield(work)
        except asyncio.CancelledError:
            if not caller.trace.tries:
                work.cancel()
            work.add_done_callback(functools.partial(_log_orphan, caller))
            raise

    async def _stream(
        self,
        request: web.BaseRequest,
        caller: CallerRequest,
    ) -> web.StreamResponse:
        """Relay a stream; one that breaks off closes the connection."""
        sink = StreamSink(request, closes=self.is_leaving)
        try:
            answer = await self.delivery.relay(caller, sink)
        except DandelionplankError as error:
            if sink.response is None:
                raise
            sink.break_off()
            self._log(Event.BROKEN, caller, why=str(error), peer=error.peer)
            return sink.response
        if answer is not None:
            return self._respond(caller, answer)
        assert sink.response is not None
        if self.is_leaving:
            sink.response.force_close()
        self._log(Event.SERVED, caller, status=sink.response.status)
        return sink.response

    def _table(self) -> RouteTable:
        """Return the configuration in force."""
        table = self.view.table
        if table is None or not self.view.is_known:
            raise RefusalError(
                step=STEP,
                code=ErrorCode.NOT_READY,
                retry_after_s=NOT_READY_RETRY_S,
            )
        return table

    def _route(self, table: RouteTable, request: web.BaseRequest) -> Route:
        """Return the route of a request."""
        host = request.headers.get('Host', '').partition(':')[0].lower()
        path = request.raw_path.partition('?')[0]
        route = table.find(host, path)
        if route is None:
            raise self._denial(ErrorCode.UNKNOWN_SERVICE)
        return route

    def _account(
        self,
        table: RouteTable,
        route: Route,
        facts: RequestFacts,
    ) -> str:
        """Return the account of the request's key, empty if none is due."""
        if route.is_public or not table.accounts:
            return ''
        account = table.accounts.get(facts.key)
        if account is None:
            raise self._denial(ErrorCode.UNAUTHENTICATED)
        return account

    def _denial(self, code: ErrorCode) -> RefusalError:
        """Return a denial, or a refusal while the view may be outdated."""
        if self.view.may_deny:
            return RefusalError(step=STEP, code=code)
        return RefusalError(
            f'view is {self.view.age_s:.1f} s old',
            step=STEP,
            code=ErrorCode.NOT_READY,
            retry_after_s=STALE_RETRY_S,
        )

    def _check_proof(self, route: Route, facts: RequestFacts) -> None:
        """Refuse a keyed request whose key may have been revoked.

        This is checked again for a request that waited for its body.
        """
        if route.is_public:
            return
        table = self._table()
        if table.accounts and facts.key not in table.accounts:
            raise self._denial(ErrorCode.UNAUTHENTICATED)
        if self.view.may_admit_keys:
            return
        raise RefusalError(
            f'key last proven {self.view.age_s:.1f} s ago',
            step=STEP,
            code=ErrorCode.NOT_READY,
            retry_after_s=STALE_RETRY_S,
        )

    async def _body(
        self,
        request: web.BaseRequest,
        table: RouteTable,
    ) -> bytes:
        """Read the whole body within the limits."""
        if not request.body_exists:
            return b''
        try:
            async with asyncio.timeout(table.limits.idle_timeout_s):
                return await request.read()
        except web.HTTPRequestEntityTooLarge as error:
            raise RefusalError(step=STEP, code=ErrorCode.TOO_LARGE) from error
        except TimeoutError as error:
            raise RefusalError(
                step=STEP,
                code=ErrorCode.REQUEST_TIMEOUT,
            ) from error
        except HttpProcessingError as error:
            raise RefusalError(step=STEP, code=ErrorCode.BAD_REQUEST) from error

    def _caller_request(
        self,
        request: web.BaseRequest,
        body: bytes,
        facts: RequestFacts,
        route: Route,
        account: str,
        started_s: float,
    ) -> CallerRequest:
        """Put together what delivery needs."""
        time_left_s = route.timeout_s
        if facts.time_left_s is not None:
            time_left_s = min(time_left_s, facts.time_left_s)
        return CallerRequest(
            request.method,
            request.raw_path,
            tuple(
                (name.decode('utf-8', 'surrogateescape'), _text(raw))
                for name, raw in request.raw_headers
            ),
            body,
            facts,
            route,
            route.service_at(_point(facts.request_id)),
            account,
            started_s,
            started_s + time_left_s,
            started_s + _patience_s(route) - PATIENCE_SLACK_S,
        )

    def _respond(
        self,
        caller: CallerRequest,
        answer: WholeAnswer,
    ) -> web.Response:
        """Return a target's whole answer."""
        self._log(Event.SERVED, caller, status=answer.status)
        response = web.Response(
            status=answer.status,
            reason=answer.reason,
            headers=dict(answer.headers),
            body=answer.body,
        )
        if self.is_leaving:
            response.force_close()
        return response

    def _refuse(
        self,
        facts: RequestFacts,
        error: DandelionplankError,
        started_s: float,
    ) -> web.Response:
        """Return a refusal and write its log line."""
        status = _status_of(error)
        log_event(
            Event.CALLER_REFUSED,
            request=facts.request_id,
            account=self._account_name(facts),
            code=error.code.label,
            status=status,
            step=error.step,
            peer=error.peer,
            outcome=error.outcome.value,
            why=error.reason,
            held_s=round(time.monotonic() - started_s, 3),
            view_age_s=round(self.view.known_age_s, 2),
        )
        METRICS.add('refusals_total', code=error.code.label)
        retry_after_s = error.retry_after_s
        if (
            error.outcome is Outcome.NOT_RUN
            and status == HTTPStatus.SERVICE_UNAVAILABLE
        ):
            retry_after_s = retry_after_s or NOT_READY_RETRY_S
        response = web.Response(
            status=status,
            headers=self.codec.refusal_headers(facts.request_id, retry_after_s),
            text=f'{error.code.label} {error.code.meaning}\n',
        )
        if self.is_leaving:
            response.force_close()
        return response

    def _account_name(self, facts: RequestFacts) -> str:
        """Return the account of a key for a log line, empty if unknown."""
        table = self.view.table
        return table.accounts.get(facts.key, '') if table else ''

    def _log(
        self, event: Event, caller: CallerRequest, **facts: object
    ) -> None:
        """Write the log line of a request that has ended."""
        METRICS.add('requests_total', event=event.name.lower())
        log_event(
            event,
            request=caller.facts.request_id,
            route=caller.route.name,
            service=caller.service,
            account=caller.account,
            took_s=round(time.monotonic() - caller.arrived_s, 3),
            **caller.trace.facts(),
            **facts,
        )


def _log_orphan(
    caller: CallerRequest,
    work: 'asyncio.Task[WholeAnswer]',
) -> None:
    """Write how a request ended whose caller had left."""
    outcome = 'withdrawn'
    if not work.cancelled():
        error = work.exception()
        outcome = repr(error) if error else 'answered'
    log_event(
        Event.CALLER_GONE,
        request=caller.facts.request_id,
        outcome=outcome,
        **caller.trace.facts(),
    )


def _patience_s(route: Route) -> float:
    """Return how long a caller waits for the answer to begin."""
    if route.kind is not RequestKind.STREAM:
        return route.timeout_s
    return max(
        SHORTEST_PATIENCE_S,
        route.objective_s * PATIENCE_OBJECTIVES,
        route.gap_target_s * PATIENCE_PAUSES,
    )


def _status_of(error: DandelionplankError) -> int:
    """Return the status of a refusal; it must not promise too much."""
    status = error.code.status
    if error.outcome is Outcome.UNKNOWN:
        if status == HTTPStatus.GATEWAY_TIMEOUT:
            return HTTPStatus.GATEWAY_TIMEOUT
        return HTTPStatus.BAD_GATEWAY
    if status == HTTPStatus.BAD_GATEWAY:
        return HTTPStatus.SERVICE_UNAVAILABLE
    return status


def _text(raw: bytes) -> str:
    """Return a header's bytes as text that encodes to the same bytes."""
    return raw.decode('utf-8', 'surrogateescape')


def _point(request_id: str) -> float:
    """Return a point from zero to one that a request's id determines."""
    digest: int = xxhash.xxh32_intdigest(request_id.encode())
    return digest / POINTS
