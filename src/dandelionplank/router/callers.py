"""HTTP API for callers."""

import asyncio
import time
from http import HTTPStatus
from types import MappingProxyType
from typing import Any

from aiohttp import web

from dandelionplank.accounts import ClientAccount, digest_secret
from dandelionplank.contracts import ServiceContract, ServiceKind
from dandelionplank.errors import (
    CallerDisconnectedError,
    DandelionplankError,
    ErrorCode,
    Outcome,
    RefusalError,
)
from dandelionplank.events import Event
from dandelionplank.fairness.cost import RequestSize
from dandelionplank.idempotency.intents import (
    MAX_STORED_RESPONSE_BYTES,
    Intent,
    StoredResponse,
    Verdict,
)
from dandelionplank.ledger.usage import Receipt
from dandelionplank.metrics import METRICS
from dandelionplank.router.calls import Call, parse_chat
from dandelionplank.router.chat import ChatDelivery
from dandelionplank.router.delivery import PlainDelivery, PlainResponse
from dandelionplank.router.entry import Entry
from dandelionplank.router.idle import IdleConnectionTask
from dandelionplank.router.refusals import log_failure, refuse
from dandelionplank.router.sinks import (
    CHARGE_HEADER,
    RECEIPT_HEADER,
    REQUEST_HEADER,
    EventSink,
    TextSink,
    receipt_headers,
)

REPLAY_HEADER = 'X-Replayed'
KEY_HEADER = 'Idempotency-Key'
MAX_KEY_CHARACTERS = 255
FORWARDED_HEADERS = ('Content-Type', 'Accept', 'Accept-Language')
CHAT_PATH = '/v1/chat/completions'

VERDICT_CODES = MappingProxyType(
    {
        Verdict.IN_PROGRESS: ErrorCode.KEY_IN_PROGRESS,
        Verdict.REUSED: ErrorCode.KEY_REUSED,
        Verdict.UNKNOWN: ErrorCode.KEY_OUTCOME_UNKNOWN,
    },
)


class CallerInterface:
    """Handles the requests of callers: chat completions, plain services."""

    def __init__(self, entry: Entry, idle: IdleConnectionTask) -> None:
        """Hold the shared state and the number of open calls per account.

        :param entry: state shared by all calls
        :param idle: notified when a connection starts and ends a request
        """
        self.entry = entry
        self.idle = idle
        self.settings = entry.settings.callers
        self.open_by_account: dict[str, int] = {}

    def routes(self) -> list[web.AbstractRouteDef]:
        """Return the routes of this API."""
        return [
            web.post(CHAT_PATH, self.serve_chat),
            web.route('*', '/services/{service}/{path:.*}', self.serve_plain),
            web.get('/healthz', self.show_health),
            web.get('/readyz', self.show_readiness),
            web.get('/metrics', self.show_metrics),
        ]

    async def show_health(self, _: web.Request) -> web.Response:
        """Report that the process is running."""
        return web.Response(text='ok\n')

    async def show_readiness(self, _: web.Request) -> web.Response:
        """Report whether the load balancer may send calls to this instance."""
        if self.entry.is_leaving or self.entry.catalogue is None:
            return web.Response(
                status=HTTPStatus.SERVICE_UNAVAILABLE, text='not ready\n'
            )
        return web.Response(text='ready\n')

    async def show_metrics(self, _: web.Request) -> web.Response:
        """Return all metrics in the text format."""
        METRICS.set_gauge('open_calls', self.entry.open_calls)
        return web.Response(text=METRICS.render())

    async def serve_chat(self, request: web.Request) -> web.StreamResponse:
        """Serve a chat completion."""
        return await self._serve(request, self._handle_chat)

    async def serve_plain(self, request: web.Request) -> web.StreamResponse:
        """Serve a call to a plain service."""
        return await self._serve(request, self._handle_plain)

    async def _serve(
        self,
        request: web.Request,
        serve_call: Any,
    ) -> web.StreamResponse:
        """Serve a call and turn its errors into logged refusals."""
        request_id = self.entry.new_request_id()
        self.entry.open_calls += 1
        self.idle.record_request_start(request.protocol)
        try:
            response: web.StreamResponse = await serve_call(request, request_id)
        except CallerDisconnectedError:
            raise
        except DandelionplankError as error:
            error.request_id = error.request_id or request_id
            return refuse(error, request_id)
        finally:
            self.entry.open_calls -= 1
            self.idle.record_request_end(request.protocol)
        return response

    async def _handle_chat(
        self,
        request: web.Request,
        request_id: str,
    ) -> web.StreamResponse:
        """Parse a chat request and return its response, streamed or not."""
        account = self._authenticate(request)
        body = await self._read_body(request)
        parsed = parse_chat(body)
        model = parsed.request.model
        contract = self.entry.require_catalogue().service_by_model.get(model)
        if contract is None:
            raise RefusalError(
                f'model {model} is not known',
                step='route',
                code=ErrorCode.UNKNOWN_SERVICE,
            )
        self._check_access(account, contract)
        call = Call(
            request_id,
            account,
            contract,
            'POST',
            CHAT_PATH,
            {'Content-Type': 'application/json'},
            parsed.body,
            RequestSize(len(body), parsed.request.output_limit),
            parsed.request.stream,
            parsed.prefix,
        )
        async with self._count_open(account):
            if call.wants_stream:
                return await self._stream_response(request, call)
            return await self._collect_response(call)

    async def _stream_response(
        self,
        request: web.Request,
        call: Call,
    ) -> web.StreamResponse:
        """Stream a response; errors after its start are sent as events."""
        sink = EventSink(request, call)
        try:
            await ChatDelivery(self.entry, call, sink).run()
        except CallerDisconnectedError:
            return sink.response
        except DandelionplankError as error:
            if not sink.is_started:
                raise
            log_failure(Event.BROKEN, error, call.id)
            await sink.fail(error)
        return sink.response

    async def _collect_response(self, call: Call) -> web.StreamResponse:
        """Collect the events of a response and return it as one document."""
        sink = TextSink(call)
        await ChatDelivery(self.entry, call, sink).run()
        if sink.response is None:
            raise DandelionplankError(step='assemble', request_id=call.id)
        return sink.response

    async def _handle_plain(
        self,
        request: web.Request,
        request_id: str,
    ) -> web.StreamResponse:
        """Call a plain service, at most once if there is an idempotency key."""
        account = self._authenticate(request)
        name = request.match_info['service']
        contract = self.entry.require_catalogue().services.get(name)
        if contract is None or contract.kind is not ServiceKind.PLAIN:
            raise RefusalError(
                f'service {name} is not known',
                step='route',
                code=ErrorCode.UNKNOWN_SERVICE,
            )
        self._check_access(account, contract)
        body = await self._read_body(request)
        path = f'/{request.match_info["path"]}'
        if request.query_string:
            path = f'{path}?{request.query_string}'
        headers = {
            header: request.headers[header]
            for header in FORWARDED_HEADERS
            if header in request.headers
        }
        call = Call(
            request_id,
            account,
            contract,
            request.method,
            path,
            headers,
            body,
            RequestSize(len(body)),
            key=_idempotency_key(request),
        )
        async with self._count_open(account):
            return await self._serve_plain_call(call)

    async def _serve_plain_call(self, call: Call) -> web.Response:
        """Run a plain call.

        Unless it is idempotent and has no key, it continues when the caller
        disconnects.
        """
        if call.key:
            serving = self._serve_keyed(call)
        else:
            serving = self._serve_unkeyed(call)
        if call.is_retryable and not call.key:
            return await serving
        task = asyncio.get_running_loop().create_task(serving)
        self.entry.background_tasks.add(task)
        task.add_done_callback(self.entry.finish_background)
        return await asyncio.shield(task)

    async def _serve_unkeyed(self, call: Call) -> web.Response:
        """Run a call without an idempotency key."""
        response, receipt = await PlainDelivery(self.entry, call).run()
        return _plain_response(call.id, response, receipt)

    async def _serve_keyed(self, call: Call) -> web.Response:
        """Run a call with an idempotency key at most once."""
        outcome = await self.entry.intents.claim(
            call.intent_key,
            call.fingerprint,
        )
        if outcome.verdict is Verdict.REPLAY:
            return _replay(call.id, outcome.intent)
        if outcome.verdict is not Verdict.RUN:
            raise _claim_refusal(outcome.verdict, call)
        intent = outcome.intent
        try:
            response, receipt = await PlainDelivery(self.entry, call).run()
        except DandelionplankError as error:
            if error.outcome is Outcome.NOT_RUN:
                self.entry.intents.release(intent)
            else:
                self.entry.intents.mark_unknown(intent)
            raise
        self.entry.intents.record_response(
            intent, _stored_response(response, receipt)
        )
        return _plain_response(call.id, response, receipt)

    def _authenticate(self, request: web.Request) -> ClientAccount:
        """Return the account to which the caller's key belongs.

        :raises RefusalError: no valid key
        """
        catalogue = self.entry.require_catalogue()
        scheme, _, secret = request.headers.get('Authorization', '').partition(
            ' ',
        )
        holder = None
        if scheme.lower() == 'bearer' and secret:
            holder = catalogue.key_holders.get(digest_secret(secret.strip()))
        if holder is None or 0 < holder.key.expires_at_s < time.time():
            raise RefusalError(
                step='authenticate',
                code=ErrorCode.UNAUTHENTICATED,
            )
        return holder.account

    def _check_access(
        self,
        account: ClientAccount,
        contract: ServiceContract,
    ) -> None:
        """Check that the account may use a service.

        :raises RefusalError: it may not
        """
        if not account.may_use(contract.name):
            raise RefusalError(
                step='authorize',
                peer=contract.name,
                code=ErrorCode.FORBIDDEN,
            )

    async def _read_body(self, request: web.Request) -> bytes:
        """Read the request body.

        :raises RefusalError: the body is too large or not received in time
        """
        try:
            async with asyncio.timeout(self.settings.body_timeout_s):
                return await request.read()
        except TimeoutError as error:
            raise RefusalError(
                step='read',
                code=ErrorCode.REQUEST_TIMEOUT,
            ) from error
        except web.HTTPRequestEntityTooLarge as error:
            raise RefusalError(
                f'body exceeds {self.settings.body_limit_bytes} bytes',
                step='read',
                code=ErrorCode.TOO_LARGE,
            ) from error

    def _count_open(self, account: ClientAccount) -> 'OpenCall':
        """Return a context manager that counts an open call of an account.

        :raises RefusalError: the account has too many of them
        """
        limit = self.settings.open_requests_per_account
        if self.open_by_account.get(account.name, 0) >= limit:
            raise RefusalError(
                step='admit',
                peer=account.name,
                code=ErrorCode.TOO_MANY_CONNECTIONS,
                retry_after_s=1,
            )
        return OpenCall(self.open_by_account, account.name)


class OpenCall:
    """Counts one open call of an account while it is served."""

    def __init__(self, counts: dict[str, int], account: str) -> None:
        """Hold the counts that the call is added to.

        :param counts: open calls by account
        :param account: name of the account
        """
        self.counts = counts
        self.account = account

    async def __aenter__(self) -> None:
        """Count the call."""
        self.counts[self.account] = self.counts.get(self.account, 0) + 1

    async def __aexit__(self, *_: object) -> None:
        """Stop counting the call."""
        self.counts[self.account] -= 1
        if not self.counts[self.account]:
            self.counts.pop(self.account)


def _idempotency_key(request: web.Request) -> str:
    """Return the caller's idempotency key, empty if there is none.

    :raises RefusalError: the key is too long
    """
    key: str = request.headers.get(KEY_HEADER, '')
    if len(key) > MAX_KEY_CHARACTERS:
        raise RefusalError(
            f'{KEY_HEADER} exceeds {MAX_KEY_CHARACTERS} characters',
            step='parse',
            code=ErrorCode.BAD_REQUEST,
        )
    return key


def _plain_response(
    request_id: str,
    response: PlainResponse,
    receipt: Receipt,
) -> web.Response:
    """Return the response of a plain service with the charge headers."""
    return web.Response(
        status=response.status,
        body=response.body,
        headers={**response.headers, **receipt_headers(request_id, receipt)},
    )


def _stored_response(
    response: PlainResponse, receipt: Receipt
) -> StoredResponse:
    """Return the form in which a response is stored for later retries."""
    is_complete = len(response.body) <= MAX_STORED_RESPONSE_BYTES
    return StoredResponse(
        response.status,
        response.headers.get('Content-Type', ''),
        response.body if is_complete else b'',
        receipt.id,
        receipt.cost,
        is_complete,
    )


def _replay(request_id: str, intent: Intent) -> web.Response:
    """Return the stored response of an earlier call with the same key."""
    stored = intent.answer
    if stored is None:
        raise RefusalError(
            step='replay',
            request_id=request_id,
            code=ErrorCode.KEY_OUTCOME_UNKNOWN,
            outcome=Outcome.UNKNOWN,
        )
    headers = {
        REQUEST_HEADER: request_id,
        RECEIPT_HEADER: stored.receipt_id,
        CHARGE_HEADER: f'{stored.charge:g}',
        REPLAY_HEADER: 'true' if stored.is_whole else 'body-not-kept',
    }
    if stored.content_type:
        headers['Content-Type'] = stored.content_type
    status = stored.status if stored.is_whole else HTTPStatus.OK
    return web.Response(status=status, body=stored.body, headers=headers)


def _claim_refusal(verdict: Verdict, call: Call) -> RefusalError:
    """Return the refusal of a call whose idempotency key was claimed before.

    A call that reuses the key of a different request was not executed. In
    the other cases, the first call with the key may have been executed.
    """
    reused = verdict is Verdict.REUSED
    return RefusalError(
        step='claim',
        peer=call.contract.name,
        request_id=call.id,
        code=VERDICT_CODES[verdict],
        outcome=Outcome.NOT_RUN if reused else Outcome.UNKNOWN,
        retry_after_s=1 if verdict is Verdict.IN_PROGRESS else 0,
    )
