"""Handles callers' requests: routing, authentication, delivery, response."""

import asyncio
import dataclasses
import functools
import time
from collections.abc import Mapping
from http import HTTPStatus

import xxhash
from aiohttp import web

from dandelionplank.delivery.codec import RequestCodec
from dandelionplank.delivery.delivery import Delivery
from dandelionplank.delivery.requests import (
    CallerRequest,
    CompleteResponse,
    Trace,
    cost_of,
)
from dandelionplank.errors import (
    DandelionplankError,
    ErrorCode,
    Outcome,
    RefusalError,
)
from dandelionplank.events import Event
from dandelionplank.fairness.precedence import AccountPrecedence
from dandelionplank.fleet.settings import GatewayLimits
from dandelionplank.fleet.view import FleetView
from dandelionplank.ingress.bodies import BodyReader
from dandelionplank.ingress.callerbounds import derive_bounds
from dandelionplank.ingress.grace import GracePeriod
from dandelionplank.ingress.loopdelay import LoopDelayMeter
from dandelionplank.ingress.overload import (
    NO_LEVELS,
    OVERLOADED_RETRY_S,
    OverloadControl,
)
from dandelionplank.ingress.presence import has_left, has_next_request
from dandelionplank.ingress.readiness import LoadReadiness
from dandelionplank.ingress.sinks import StreamSink
from dandelionplank.logs import log_event
from dandelionplank.metrics import METRICS
from dandelionplank.routing.admission import WAIT_REASON
from dandelionplank.routing.refusals import WorkKey
from dandelionplank.routing.routes import (
    RequestKind,
    Route,
    RouteService,
    RouteTable,
)
from dandelionplank.routing.work import RequestMetadata

STEP = 'ingress'
NOT_READY_RETRY_S = 0.5
STALE_RETRY_S = 1.0
# A prompt that is too large does not fit later either.
TOO_LARGE_RETRY_S = 3600.0
# Callers disconnect from a stream that is silent for the longest of these: a
# time, a multiple of the objective, a multiple of the gap target.
MIN_FIRST_EVENT_TIMEOUT_S = 2.0
FIRST_EVENT_OBJECTIVE_FACTOR = 4
FIRST_EVENT_GAP_FACTOR = 8
# A request that cannot start by this much before its caller disconnects is
# refused.
FIRST_EVENT_MARGIN_S = 0.3
# Number of values of the 32-bit hash that splits requests among services.
HASH_RANGE = 4_294_967_296


class Gateway:
    """Serves the callers of this instance."""

    def __init__(
        self,
        view: FleetView,
        delivery: Delivery,
        codec: RequestCodec,
        limits: GatewayLimits,
        name: str,
    ) -> None:
        """Hold the view of the fleet and the delivery of requests.

        :param limits: what the machine grants the process
        :param name: this instance
        """
        self.view = view
        self.delivery = delivery
        self.codec = codec
        self.is_leaving = False
        self.open_requests = 0
        self.bounds = derive_bounds(limits.memory_mb, limits.file_descriptors)
        self.bodies = BodyReader(self.bounds)
        self.grace = GracePeriod()
        self.overload = OverloadControl()
        self.readiness = LoadReadiness(name)
        self.loop_delay = LoopDelayMeter(self.overload, self.readiness)

    async def handle_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Handle one request and return the response to its caller."""
        self.open_requests += 1
        started_s = time.monotonic()
        metadata = self.codec.request_metadata(request.headers)
        try:
            self._check_present(request)
            return await self._serve(request, metadata, started_s)
        except DandelionplankError as error:
            return self._refuse(request, metadata, error, started_s)
        except Exception as error:
            # One request must not end otherwise than with a response.
            failure = RefusalError(
                repr(error),
                step=STEP,
                code=ErrorCode.INTERNAL,
                outcome=Outcome.UNKNOWN,
            )
            return self._refuse(request, metadata, failure, started_s)
        except asyncio.CancelledError:
            log_event(
                Event.CALLER_GONE,
                request=metadata.request_id,
                account=self._account_name(metadata),
                held_s=round(time.monotonic() - started_s, 3),
            )
            raise
        finally:
            self.open_requests -= 1

    async def _serve(
        self,
        request: web.BaseRequest,
        metadata: RequestMetadata,
        started_s: float,
    ) -> web.StreamResponse:
        """Find the route, read the body, and deliver the request."""
        table = self._current_table()
        route = self._route(table, request)
        account = self._account(table, route, metadata)
        service = route.pick_service(_split_point(metadata.request_id))
        self._check_overload((account, service), metadata)
        with self.bodies.hold(account) as holding:
            body = await self.grace.limit(
                self.bodies.read(request, holding, table.limits), Trace()
            )
            self.grace.check_admission()
            self._check_key_confirmed(route, metadata)
            return await self._deliver(
                request, body, metadata, route, service, account, started_s
            )

    async def _deliver(
        self,
        request: web.BaseRequest,
        body: bytes,
        metadata: RequestMetadata,
        route: Route,
        service: str,
        account: str,
        started_s: float,
    ) -> web.StreamResponse:
        """Deliver a complete request and return its response."""
        table = self._current_table()
        caller = self._caller_request(
            request,
            body,
            _fit_memory(metadata, table.services.get(service)),
            route,
            service,
            account,
            started_s,
        )
        # On a busy instance the caller may have left before its request is
        # read. One turn of the loop lets its close cancel this task.
        await asyncio.sleep(0)
        self._check_present(request)
        self.delivery.budgets.record_request(caller.service, started_s)
        if route.kind is RequestKind.STREAM:
            return await self._stream(request, caller)
        response = await self.grace.limit(self._fetch(caller), caller.trace)
        return self._respond(caller, response)

    async def _fetch(self, caller: CallerRequest) -> CompleteResponse:
        """Return the response to a request that is not a stream."""
        if caller.route.is_retryable:
            return await self.delivery.fetch(caller)
        return await self._fetch_shielded(caller)

    async def _fetch_shielded(self, caller: CallerRequest) -> CompleteResponse:
        """Finish a non-idempotent request even if its caller disconnects."""
        task = asyncio.ensure_future(self.delivery.fetch(caller))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if not caller.trace.tries:
                task.cancel()
            task.add_done_callback(functools.partial(_log_abandoned, caller))
            raise

    async def _stream(
        self,
        request: web.BaseRequest,
        caller: CallerRequest,
    ) -> web.StreamResponse:
        """Relay a stream; close the connection if it is truncated."""
        sink = StreamSink(request, closes_connection=lambda: self.is_leaving)
        try:
            response = await self.grace.limit(
                self.delivery.relay(caller, sink), caller.trace
            )
        except Exception as error:
            if sink.response is None:
                raise
            sink.abort()
            peer = getattr(error, 'peer', '')
            self._log(Event.BROKEN, caller, why=str(error), peer=peer)
            return sink.response
        if response is not None:
            return self._respond(caller, response)
        assert sink.response is not None
        if self.is_leaving:
            sink.response.force_close()
        self._log(Event.SERVED, caller, status=sink.response.status)
        return sink.response

    def _current_table(self) -> RouteTable:
        """Return the configuration in force."""
        table = self.view.table
        if table is None or not self.view.is_loaded:
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
        metadata: RequestMetadata,
    ) -> str:
        """Return the account of the request's key, empty if none is needed."""
        account = table.account_of(route, metadata.key)
        if account is None:
            raise self._denial(ErrorCode.UNAUTHENTICATED)
        return account

    def _denial(self, code: ErrorCode) -> RefusalError:
        """Return a denial, or "not ready" while the view may be outdated."""
        if self.view.may_reject_unknown:
            return RefusalError(step=STEP, code=code)
        return RefusalError(
            f'view is {self.view.age_s:.1f} s old',
            step=STEP,
            code=ErrorCode.NOT_READY,
            retry_after_s=STALE_RETRY_S,
        )

    def _check_present(self, request: web.BaseRequest) -> None:
        """Drop a request whose caller has left while the loop was late.

        :raises asyncio.CancelledError: as the server does for a closed one
        """
        if self.overload.is_late and has_left(request):
            METRICS.add('callers_left_total')
            raise asyncio.CancelledError

    def _check_overload(self, key: WorkKey, metadata: RequestMetadata) -> None:
        """Refuse a request that this instance could only serve late.

        :param key: account and service
        :raises RefusalError: the account has had its share of this instance,
            or its requests are refused anyway
        """
        account = key[0]
        levels = NO_LEVELS
        if self.overload.is_late and account:
            levels = self.delivery.dispatcher.service_levels()
            self._check_repeated(key, metadata, levels)
        if self.overload.admit(account, levels):
            return
        self.delivery.demand.record_refusal(account)
        raise RefusalError(
            f'event loop is {self.overload.delay_s:.2f} s late',
            step=STEP,
            code=ErrorCode.OVERLOADED,
            retry_after_s=OVERLOADED_RETRY_S,
        )

    def _check_repeated(
        self,
        key: WorkKey,
        metadata: RequestMetadata,
        levels: Mapping[str, float],
    ) -> None:
        """Refuse a request like the last ones of its account.

        :param key: account and service
        :param levels: service that the accounts received lately
        :raises RefusalError: several in a row were refused a short time ago
        """
        account, service = key
        cost = cost_of(metadata)
        retry_after_s = self.delivery.refusals.repeat(
            key,
            cost,
            time.monotonic(),
            is_behind=AccountPrecedence.from_levels(account, levels).is_behind,
        )
        if retry_after_s is None:
            return
        self.delivery.demand.record_arrival(account, cost)
        self.delivery.demand.record_refusal(account)
        METRICS.add('refusals_repeated_total')
        raise RefusalError(
            f'{WAIT_REASON} of the last requests',
            step=STEP,
            peer=service,
            code=ErrorCode.QUEUE_TIMEOUT,
            retry_after_s=retry_after_s,
        )

    def _check_key_confirmed(
        self, route: Route, metadata: RequestMetadata
    ) -> None:
        """Refuse a request whose key may have been revoked.

        Checks the account again, because the key may have been revoked while
        the body was read.
        """
        if route.is_public:
            return
        self._account(self._current_table(), route, metadata)
        if self.view.may_admit_keys:
            return
        raise RefusalError(
            f'key last proven {self.view.age_s:.1f} s ago',
            step=STEP,
            code=ErrorCode.NOT_READY,
            retry_after_s=STALE_RETRY_S,
        )

    def _caller_request(
        self,
        request: web.BaseRequest,
        body: bytes,
        metadata: RequestMetadata,
        route: Route,
        service: str,
        account: str,
        started_s: float,
    ) -> CallerRequest:
        """Build the request that delivery takes."""
        time_left_s = route.timeout_s
        if metadata.time_left_s is not None:
            time_left_s = min(time_left_s, metadata.time_left_s)
        return CallerRequest(
            request.method,
            request.raw_path,
            tuple(
                (name.decode('utf-8', 'surrogateescape'), _decode_header(raw))
                for name, raw in request.raw_headers
            ),
            body,
            metadata,
            route,
            service,
            account,
            started_s,
            started_s + time_left_s,
            started_s + _first_event_timeout_s(route) - FIRST_EVENT_MARGIN_S,
        )

    def _respond(
        self,
        caller: CallerRequest,
        target_response: CompleteResponse,
    ) -> web.Response:
        """Log and return a target's complete response."""
        self._log(Event.SERVED, caller, status=target_response.status)
        response = web.Response(
            status=target_response.status,
            reason=target_response.reason,
            headers=dict(target_response.headers),
            body=target_response.body,
        )
        if self.is_leaving:
            response.force_close()
        return response

    def _refuse(
        self,
        request: web.BaseRequest,
        metadata: RequestMetadata,
        error: DandelionplankError,
        started_s: float,
    ) -> web.Response:
        """Log and return a refusal."""
        status = _status_of(error)
        log_event(
            Event.CALLER_REFUSED,
            request=metadata.request_id,
            account=self._account_name(metadata),
            code=error.code.label,
            status=status,
            step=error.step,
            peer=error.peer,
            outcome=error.outcome.value,
            why=error.reason,
            held_s=round(time.monotonic() - started_s, 3),
            view_age_s=round(self.view.capped_age_s, 2),
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
            headers=self.codec.refusal_headers(
                metadata.request_id, retry_after_s
            ),
            text=f'{error.code.label} {error.code.meaning}\n',
        )
        if self.is_leaving or self._ends_connection(request, status):
            response.force_close()
        return response

    def _ends_connection(self, request: web.BaseRequest, status: int) -> bool:
        """Return whether the connection of a refused request ends.

        The caller retries on a new one. A request that was sent behind the
        refused one is served first.
        """
        return (
            status == HTTPStatus.SERVICE_UNAVAILABLE
            and self.overload.is_pressed
            and not has_next_request(request)
        )

    def _account_name(self, metadata: RequestMetadata) -> str:
        """Return the account of a key for a log line, empty if unknown."""
        table = self.view.table
        return table.account_name(metadata.key) if table else ''

    def _log(
        self, event: Event, caller: CallerRequest, **fields: object
    ) -> None:
        """Log a request that has ended."""
        METRICS.add('requests_total', event=event.name.lower())
        log_event(
            event,
            request=caller.metadata.request_id,
            route=caller.route.name,
            service=caller.service,
            account=caller.account,
            took_s=round(time.monotonic() - caller.arrived_s, 3),
            **caller.trace.log_fields(),
            **fields,
        )


def _log_abandoned(
    caller: CallerRequest,
    task: 'asyncio.Task[CompleteResponse]',
) -> None:
    """Log the outcome of a request whose caller had disconnected."""
    outcome = 'withdrawn'
    if not task.cancelled():
        error = task.exception()
        outcome = repr(error) if error else 'answered'
    log_event(
        Event.CALLER_GONE,
        request=caller.metadata.request_id,
        outcome=outcome,
        **caller.trace.log_fields(),
    )


def _first_event_timeout_s(route: Route) -> float:
    """Return how long a caller waits for the response to start."""
    if route.kind is not RequestKind.STREAM:
        return route.timeout_s
    return max(
        MIN_FIRST_EVENT_TIMEOUT_S,
        route.objective_s * FIRST_EVENT_OBJECTIVE_FACTOR,
        route.gap_target_s * FIRST_EVENT_GAP_FACTOR,
    )


def _status_of(error: DandelionplankError) -> int:
    """Return the HTTP status of a refusal.

    A request that may have been executed gets 502 or 504 only; one that was
    not executed never gets 502.
    """
    status = error.code.status
    if error.outcome is Outcome.UNKNOWN:
        if status == HTTPStatus.GATEWAY_TIMEOUT:
            return HTTPStatus.GATEWAY_TIMEOUT
        return HTTPStatus.BAD_GATEWAY
    if status == HTTPStatus.BAD_GATEWAY:
        return HTTPStatus.SERVICE_UNAVAILABLE
    return status


def _fit_memory(
    metadata: RequestMetadata, service: RouteService | None
) -> RequestMetadata:
    """Return a request's metadata with at most the output that can be produced.

    :param service: None if the configuration does not describe it
    :raises RefusalError: the prompt fits into the memory of no target
    """
    work = metadata.work
    if work is None or service is None or service.memory is None:
        return metadata
    most = service.memory.tokens
    if work.size_tokens > most:
        raise RefusalError(
            f'{work.size_tokens} of {most} tokens',
            step=STEP,
            peer=service.name,
            code=ErrorCode.PROMPT_TOO_LARGE,
            retry_after_s=TOO_LARGE_RETRY_S,
        )
    if work.output_tokens <= most:
        return metadata
    limited = dataclasses.replace(work, output_tokens=most)
    return dataclasses.replace(metadata, work=limited)


def _decode_header(raw: bytes) -> str:
    """Decode a header to text that encodes to the same bytes."""
    return raw.decode('utf-8', 'surrogateescape')


def _split_point(request_id: str) -> float:
    """Return a number from zero to one derived from a request's id."""
    digest: int = xxhash.xxh32_intdigest(request_id.encode())
    return digest / HASH_RANGE
