"""Connections to targets."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Mapping
from typing import Self

import aiohttp
import msgspec

from dandelionplank.decoding import DECODE_ERRORS
from dandelionplank.errors import ErrorCode, Outcome, TargetError
from dandelionplank.routing.retries import AttemptState
from dandelionplank.settings import CallerSettings
from dandelionplank.targets import Target

ATTEMPT_HEADER = 'X-Request-Id'
RESUME_HEADER = 'X-Resume-Offset'
NOT_RUN_HEADER = 'X-Not-Run'
STEP = 'target'
CANCEL_TIMEOUT_S = 2.0
TRANSFER_TIMEOUT_S = 2.0
KEEPALIVE_S = 15
LOAD_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, *DECODE_ERRORS)


class EngineLoad(msgspec.Struct, frozen=True):
    """Holds the load that an engine reports, with a delay.

    :param tokens: output tokens since it started
    """

    active: int = 0
    tokens: int = 0


class Attempt:
    """Holds the state of one attempt of a call at one target.

    :param id: sent with the call and echoed in the response
    """

    def __init__(self, attempt_id: str, target: Target) -> None:
        """Hold an attempt of which nothing has been sent."""
        self.id = attempt_id
        self.target = target
        self.state = AttemptState.NOT_SENT

    def error(self, reason: str, code: ErrorCode) -> TargetError:
        """Return an error that states whether the call may have executed."""
        outcome = Outcome.UNKNOWN
        if self.state.is_not_executed:
            outcome = Outcome.NOT_RUN
        return TargetError(
            reason,
            step=STEP,
            peer=self.target.name,
            request_id=self.id,
            code=code,
            outcome=outcome,
        )


class TargetConnections:
    """Sends calls to targets.

    Calls that are not retryable use a new connection each, since a reused
    connection may no longer respond. The sessions never retry a call by
    themselves.

    :param keepalive_session: keeps connections open and reuses them
    :param new_connection_session: opens a new connection for every call
    """

    def __init__(
        self,
        keepalive_session: aiohttp.ClientSession,
        new_connection_session: aiohttp.ClientSession,
    ) -> None:
        """Hold the sessions, with their own retries disabled."""
        self.keepalive_session = keepalive_session
        self.new_connection_session = new_connection_session
        for session in (keepalive_session, new_connection_session):
            session._retry_connection = False  # noqa: SLF001

    @classmethod
    def from_settings(cls, settings: CallerSettings) -> Self:
        """Create both sessions from the settings."""
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=settings.connect_timeout_s,
        )
        return cls(
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=0, keepalive_timeout=KEEPALIVE_S
                ),
                timeout=timeout,
                auto_decompress=False,
            ),
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True),
                timeout=timeout,
                auto_decompress=False,
            ),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.keepalive_session.close()
        await self.new_connection_session.close()

    @contextlib.asynccontextmanager
    async def send(
        self,
        attempt: Attempt,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        *,
        on_new_connection: bool = False,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a call and yield the response once its headers have arrived.

        :raises TargetError: with the outcome; ``not_run`` only if no byte
            was sent or the target reports that it did not execute the call
        """
        session = (
            self.new_connection_session
            if on_new_connection
            else self.keepalive_session
        )
        request = session.request(
            method,
            f'{attempt.target.url}{path}',
            data=body or None,
            headers={**headers, ATTEMPT_HEADER: attempt.id},
            allow_redirects=False,
        )
        response = await self._open(attempt, request)
        try:
            self._check(attempt, response)
            yield response
        except (aiohttp.ClientError, ConnectionError) as error:
            attempt.state = AttemptState.UNKNOWN
            raise attempt.error(str(error), ErrorCode.TARGET_FAILED) from error
        finally:
            response.close()

    async def cancel(self, attempt: Attempt) -> None:
        """Ask a target to cancel an attempt whose connection is silent."""
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with asyncio.timeout(CANCEL_TIMEOUT_S):
                url = f'{attempt.target.url}/v1/streams/{attempt.id}'
                async with self.new_connection_session.delete(url) as response:
                    await response.read()

    async def transfer(self, attempt: Attempt, target: Target) -> None:
        """Copy the cache of a stopped stream to another target.

        :raises TargetError: the cache could not be exported or imported
        """
        path = f'/v1/streams/{attempt.id}/cache'
        try:
            async with asyncio.timeout(TRANSFER_TIMEOUT_S):
                async with self.keepalive_session.get(
                    f'{attempt.target.url}{path}',
                ) as exported:
                    exported.raise_for_status()
                    cache = await exported.read()
                async with self.keepalive_session.put(
                    f'{target.url}{path}',
                    data=cache,
                ) as imported:
                    imported.raise_for_status()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise attempt.error(
                f'cache transfer to {target.name}: {error}',
                ErrorCode.TARGET_FAILED,
            ) from error

    async def read_load(self, target: Target) -> EngineLoad:
        """Return a target's reported load, zeros if it does not respond."""
        with contextlib.suppress(*LOAD_ERRORS):
            async with asyncio.timeout(CANCEL_TIMEOUT_S):
                async with self.keepalive_session.get(
                    f'{target.url}/load'
                ) as response:
                    body = await response.read()
                    return msgspec.json.decode(body, type=EngineLoad)
        return EngineLoad()

    async def _open(
        self,
        attempt: Attempt,
        request: 'aiohttp.client._RequestContextManager',
    ) -> aiohttp.ClientResponse:
        """Send the call and wait for the headers of the response."""
        try:
            response = await request
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise attempt.error(
                str(error),
                ErrorCode.TARGET_UNREACHABLE,
            ) from error
        except (aiohttp.ClientError, ConnectionError, TimeoutError) as error:
            attempt.state = AttemptState.UNKNOWN
            raise attempt.error(str(error), ErrorCode.TARGET_FAILED) from error
        except BaseException:
            attempt.state = AttemptState.UNKNOWN
            raise
        attempt.state = AttemptState.SENT
        return response

    def _check(
        self,
        attempt: Attempt,
        response: aiohttp.ClientResponse,
    ) -> None:
        """Reject mismatched responses and calls that were not executed."""
        echoed_id = response.headers.get(ATTEMPT_HEADER, attempt.id)
        if echoed_id != attempt.id:
            attempt.state = AttemptState.UNKNOWN
            raise attempt.error(
                f'answer of attempt {echoed_id}',
                ErrorCode.ANSWER_MISMATCH,
            )
        if NOT_RUN_HEADER in response.headers:
            attempt.state = AttemptState.REFUSED_NOT_EXECUTED
            raise attempt.error(
                f'refused with status {response.status}',
                ErrorCode.TARGET_REFUSED,
            )
