"""Indexes over one configuration revision."""

import dataclasses
from collections import defaultdict
from collections.abc import Iterable

from dandelionplank.accounts import CallerKey, ClientAccount, OperatorToken
from dandelionplank.configuration.model import Configuration
from dandelionplank.contracts import ServiceContract
from dandelionplank.targets import Target


@dataclasses.dataclass(frozen=True)
class Pool:
    """Targets of one service that one dispatcher serves."""

    name: str
    service: str
    targets: tuple[Target, ...]


@dataclasses.dataclass(frozen=True)
class KeyHolder:
    """The account that a caller's key opens."""

    account: ClientAccount
    key: CallerKey


class Catalogue:
    """Answers the questions that a request asks of the configuration."""

    def __init__(self, configuration: Configuration) -> None:
        """Index a configuration.

        :param configuration: a consistent revision
        """
        self.configuration = configuration
        self.revision = configuration.revision
        self.accounts = {each.name: each for each in configuration.accounts}
        self.services = {each.name: each for each in configuration.services}
        self.targets = {each.name: each for each in configuration.targets}
        self.key_holders = {
            key.digest: KeyHolder(account, key)
            for account in configuration.accounts
            for key in account.keys
        }
        self.tokens = {each.digest: each for each in configuration.tokens}
        self.service_of_model = {
            model: service
            for service in configuration.services
            for model in service.models
        }
        self.pools = _cut_pools(self.services, configuration.targets)
        self.pools_of_service: dict[str, list[Pool]] = defaultdict(list)
        for pool in self.pools.values():
            self.pools_of_service[pool.service].append(pool)

    def find_token(self, digest: str) -> OperatorToken | None:
        """Return the operator token with a digest."""
        return self.tokens.get(digest)


def _cut_pools(
    services: dict[str, ServiceContract],
    targets: Iterable[Target],
) -> dict[str, Pool]:
    """Cut each service's targets into pools.

    A service with few targets is one pool, so that one queue orders all of
    its work; a large one is cut by data centre and size.
    """
    by_service: dict[str, list[Target]] = defaultdict(list)
    for target in targets:
        by_service[target.service].append(target)
    pools: dict[str, Pool] = {}
    for service, members in by_service.items():
        size = services[service].pool_size
        for name, chunk in _chunks(service, members, size):
            pools[name] = Pool(name, service, tuple(chunk))
    return pools


def _chunks(
    service: str,
    members: list[Target],
    size: int,
) -> list[tuple[str, list[Target]]]:
    """Return pool names and members of one service."""
    if len(members) <= size:
        return [(f'{service}/0', members)]
    by_center: dict[str, list[Target]] = defaultdict(list)
    for target in members:
        by_center[target.data_center].append(target)
    chunks: list[tuple[str, list[Target]]] = []
    for center, group in sorted(by_center.items()):
        group.sort(key=lambda each: each.name)
        chunks.extend(
            (f'{service}/{center}/{start // size}', group[start : start + size])
            for start in range(0, len(group), size)
        )
    return chunks
