"""Adapter to the platform's list of live and leaving instances, which lags."""

import enum
from typing import Protocol, Self

import aiohttp
import msgspec


class ListedState(enum.StrEnum):
    """State of an instance or target in the list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class ListedInstance(msgspec.Struct, frozen=True):
    """One entry of the list.

    :param role: ``router`` or ``target``
    :param address: ``ip:port`` for links between routers, or of the target
    """

    id: str
    role: str
    address: str
    data_center: str
    region: str
    state: ListedState = ListedState.LIVE


class InstanceList(Protocol):
    """Source of the instances that the platform lists."""

    async def fetch(self) -> tuple[ListedInstance, ...]:
        """Return the list.

        :raises aiohttp.ClientError: the call failed
        :raises TimeoutError: the platform did not respond in time
        """


class HttpInstanceList:
    """Fetches the list as JSON over HTTP.

    :param observer: id of the instance that fetches the list
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        observer: str,
        timeout_s: float,
    ) -> None:
        """Hold the session and the URL; no call is made yet."""
        self.session = session
        self.url = url.rstrip('/')
        self.observer = observer
        self.timeout = aiohttp.ClientTimeout(total=timeout_s)
        self.decoder = msgspec.json.Decoder(tuple[ListedInstance, ...])

    @classmethod
    def from_url(cls, url: str, observer: str, timeout_s: float) -> Self:
        """Build an adapter with its own session."""
        return cls(aiohttp.ClientSession(), url, observer, timeout_s)

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def fetch(self) -> tuple[ListedInstance, ...]:
        """Return the list."""
        async with self.session.get(
            f'{self.url}/instances',
            params={'observer': self.observer},
            timeout=self.timeout,
        ) as response:
            response.raise_for_status()
            return self.decoder.decode(await response.read())
