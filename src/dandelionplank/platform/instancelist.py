"""Adapter to the platform's lagging list of live and leaving instances."""

import enum
from typing import Protocol, Self

import aiohttp
import msgspec


class ListedState(enum.StrEnum):
    """What the platform says of an instance or target."""

    LIVE = 'live'
    LEAVING = 'leaving'


class ListedInstance(msgspec.Struct, frozen=True):
    """One line of the list.

    :param role: ``router`` or ``target``
    :param address: ``ip:port`` for links, or of the target's service
    """

    id: str
    role: str
    address: str
    data_center: str
    region: str
    state: ListedState = ListedState.LIVE


class InstanceList(Protocol):
    """Tells which instances the platform knows."""

    async def fetch(self) -> tuple[ListedInstance, ...]:
        """Return the list.

        :raises aiohttp.ClientError: the platform did not answer
        :raises TimeoutError: the platform did not answer in time
        """


class HttpInstanceList:
    """Reads the list as JSON over HTTP.

    :param observer: id of the instance that asks
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        observer: str,
        timeout_s: float,
    ) -> None:
        """Keep the session; no call is made yet."""
        self.session = session
        self.url = url.rstrip('/')
        self.observer = observer
        self.timeout = aiohttp.ClientTimeout(total=timeout_s)
        self.decoder = msgspec.json.Decoder(tuple[ListedInstance, ...])

    @classmethod
    def from_url(cls, url: str, observer: str, timeout_s: float) -> Self:
        """Build a list with a session of its own."""
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
