"""Routes: which service handles a request, and under which rules."""

import bisect
import dataclasses
import enum
import itertools
from collections.abc import Mapping
from typing import Self


class RequestKind(enum.StrEnum):
    """Which requests of a route may be executed a second time."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its weight among the services of a route."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One route of the configuration.

    :param choices: services that share the requests, with their weights
    :param attempts: maximum number of targets that one request is sent to
    :param objective_s: time to the response, or to a stream's first event
    :param gap_target_s: longest pause between events that is still on time
    :param is_public: callers need no key
    :param can_resume: a stream may continue at another target
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    choices: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    attempts: int = 1
    is_public: bool = False
    can_resume: bool = False
    gap_target_s: float = 0

    @property
    def is_retryable(self) -> bool:
        """Return whether a request may be executed a second time."""
        if self.kind is RequestKind.STREAM:
            return self.can_resume
        return self.kind is RequestKind.SAFE

    def pick_service(self, point: float) -> str:
        """Return the service for a point of the weighted split.

        :param point: from zero to one
        """
        weights = [choice.weight for choice in self.choices]
        cumulative_weights = list(itertools.accumulate(weights))
        position = bisect.bisect_right(
            cumulative_weights, point * cumulative_weights[-1]
        )
        return self.choices[min(position, len(cumulative_weights) - 1)].service


@dataclasses.dataclass(frozen=True, slots=True)
class ModelMemory:
    """Memory of a model engine.

    :param slots: requests that it runs concurrently
    :param tokens: tokens that running requests and the cache share
    """

    slots: int
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class ColdLimit:
    """What a target of a service tolerates while it is cold.

    :param duration_s: time for which it is cold after its start
    """

    duration_s: float
    requests_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RouteService:
    """A service of the configuration.

    :param memory: memory of its engines, none for plain services
    :param cold: limit of its cold targets, none if it states none
    """

    name: str
    memory: ModelMemory | None = None
    cold: ColdLimit | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Size limits and timeouts of callers' requests."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the configuration; immutable.

    :param by_host: routes of each host, longest prefix first
    :param accounts: account of each key; none of them if accounts have no keys,
        None if there are no accounts, so that callers need no key
    """

    version: int
    by_host: Mapping[str, tuple[Route, ...]]
    accounts: Mapping[str, str] | None
    services: Mapping[str, RouteService]
    limits: RequestLimits

    @classmethod
    def from_routes(
        cls,
        version: int,
        routes: tuple[Route, ...],
        accounts: Mapping[str, str] | None,
        services: tuple[RouteService, ...],
        limits: RequestLimits,
    ) -> Self:
        """Build a table with its index by host."""
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host, []).append(route)
        return cls(
            version,
            {
                host: tuple(
                    sorted(each, key=_prefix_length, reverse=True),
                )
                for host, each in by_host.items()
            },
            accounts,
            {service.name: service for service in services},
            limits,
        )

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path.

        :param host: host name without port
        :param path: path without query, as the caller sent it
        """
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def account_of(self, route: Route, key: str) -> str | None:
        """Return the account that a request belongs to.

        :return: empty if its caller needs no key, None if the key is unknown
        """
        if route.is_public or self.accounts is None:
            return ''
        return self.accounts.get(key)

    def account_name(self, key: str) -> str:
        """Return the account of a key for logs, empty if it is unknown."""
        return (self.accounts or {}).get(key, '')


def _prefix_length(route: Route) -> int:
    """Return the length of a route's prefix."""
    return len(route.prefix)
