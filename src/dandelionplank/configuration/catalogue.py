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
    """Targets of one service that one dispatcher assigns requests to."""

    name: str
    service: str
    targets: tuple[Target, ...]


@dataclasses.dataclass(frozen=True)
class KeyHolder:
    """A caller's key and the account that it authenticates."""

    account: ClientAccount
    key: CallerKey


class Catalogue:
    """Indexes accounts, services, targets, keys, tokens and pools."""

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
        self.service_by_model = {
            model: service
            for service in configuration.services
            for model in service.models
        }
        self.pools = _partition_targets(self.services, configuration.targets)
        self.pools_by_service: dict[str, list[Pool]] = defaultdict(list)
        for pool in self.pools.values():
            self.pools_by_service[pool.service].append(pool)

    def find_token(self, digest: str) -> OperatorToken | None:
        """Return the operator token with a digest, if there is one."""
        return self.tokens.get(digest)


def _partition_targets(
    services: dict[str, ServiceContract],
    targets: Iterable[Target],
) -> dict[str, Pool]:
    """Partition each service's targets into pools.

    A service with at most ``pool_size`` targets is one pool, so that one
    queue orders all of its requests. A larger one is split by data centre,
    then into pools of at most ``pool_size`` targets.
    """
    by_service: dict[str, list[Target]] = defaultdict(list)
    for target in targets:
        by_service[target.service].append(target)
    pools: dict[str, Pool] = {}
    for service, members in by_service.items():
        size = services[service].pool_size
        for name, chunk in _split_service(service, members, size):
            pools[name] = Pool(name, service, tuple(chunk))
    return pools


def _split_service(
    service: str,
    members: list[Target],
    size: int,
) -> list[tuple[str, list[Target]]]:
    """Return the names and targets of a service's pools."""
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
