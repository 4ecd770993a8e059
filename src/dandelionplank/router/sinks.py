"""Sinks that send a response to the caller as a stream or as one document."""

from typing import Any

from aiohttp import web

from dandelionplank.errors import CallerDisconnectedError, DandelionplankError
from dandelionplank.ledger.usage import Receipt
from dandelionplank.router.calls import Call
from dandelionplank.router.sse import (
    CompletionBuilder,
    ResponseStream,
    encode_event,
)

REQUEST_HEADER = 'X-Request-Id'
RECEIPT_HEADER = 'X-Receipt-Id'
CHARGE_HEADER = 'X-Charge'


class EventSink:
    """Sends the events of a response to the caller as they arrive.

    :param request: the caller's request
    :param call: the call that is served
    """

    def __init__(self, request: web.Request, call: Call) -> None:
        """Hold the response; nothing is sent before the first event."""
        self.request = request
        self.response = web.StreamResponse(
            headers={
                'Content-Type': 'text/event-stream',
                'Cache-Control': 'no-cache',
                REQUEST_HEADER: call.id,
                RECEIPT_HEADER: f'r-{call.id}',
            },
        )

    @property
    def is_started(self) -> bool:
        """Return whether part of the response has been sent to the caller."""
        return self.response.prepared

    async def write(self, block: bytes) -> None:
        """Send a block of complete events.

        :raises CallerDisconnectedError: the caller has disconnected
        """
        response = self.response
        try:
            if not response.prepared:
                await response.prepare(self.request)
            await response.write(block)
        except ConnectionError as error:
            raise CallerDisconnectedError(step='write') from error

    async def finish(self, stream: ResponseStream, receipt: Receipt) -> None:
        """Send the usage event with the charge, and the ``[DONE]`` event."""
        await self.write(stream.final_events(receipt.id, receipt.cost))
        try:
            await self.response.write_eof()
        except ConnectionError as error:
            raise CallerDisconnectedError(step='write') from error

    async def fail(self, error: DandelionplankError) -> None:
        """Send an error event in place of the ``[DONE]`` event."""
        await self.write(encode_event(describe_error(error)))
        await self.response.write_eof()


class TextSink:
    """Collects a response for a caller that did not request a stream."""

    def __init__(self, call: Call) -> None:
        """Hold the call and the events collected so far."""
        self.call = call
        self.completion = CompletionBuilder()
        self.response: web.Response | None = None

    @property
    def is_started(self) -> bool:
        """Return whether events were collected, which prevents a retry."""
        return bool(self.completion.parts)

    async def write(self, block: bytes) -> None:
        """Add a block of complete events."""
        self.completion.add(block)

    async def finish(self, stream: ResponseStream, receipt: Receipt) -> None:
        """Build the response."""
        self.response = web.Response(
            body=self.completion.body(stream.usage, receipt.id, receipt.cost),
            content_type='application/json',
            headers=receipt_headers(self.call.id, receipt),
        )


def describe_error(error: DandelionplankError) -> dict[str, Any]:
    """Return the JSON form of an error."""
    described: dict[str, Any] = {
        'code': error.code.label,
        'type': error.code.name.lower(),
        'message': error.reason,
        'step': error.step,
        'peer': error.peer,
        'request_id': error.request_id,
        'outcome': error.outcome.value,
    }
    if error.retry_after_s:
        described['retry_after_s'] = error.retry_after_s
    return {'error': described}


def receipt_headers(request_id: str, receipt: Receipt) -> dict[str, str]:
    """Return the headers that state the charge."""
    return {
        REQUEST_HEADER: request_id,
        RECEIPT_HEADER: receipt.id,
        CHARGE_HEADER: f'{receipt.cost:g}',
    }
