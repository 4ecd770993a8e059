"""Tables returned for operators' queries."""

import time
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import Any, Protocol

import msgspec

from dandelionplank.configuration.catalogue import Catalogue
from dandelionplank.configuration.model import (
    OBJECT_KINDS,
    Configuration,
    find_changes,
    named_objects,
)
from dandelionplank.instances import Instance
from dandelionplank.ledger.closing import UsageStatement
from dandelionplank.ledger.usage import UsageKey, UsageRow
from dandelionplank.operators.statements import ShowUse, Table


class FleetReader(Protocol):
    """Read access to the state of the running fleet."""

    @property
    def catalogue(self) -> Catalogue:
        """The configuration in force."""

    @property
    def instances(self) -> tuple[Instance, ...]:
        """All known instances."""

    def dispatcher_of(self, pool: str) -> str:
        """Return the instance that dispatches a pool."""

    async def explain(self, request_id: str) -> Table:
        """Return the routing decisions made for a request."""

    async def reported_tokens(self) -> dict[str, int]:
        """Return the output tokens that targets report, by service."""


def usage_table(
    query: ShowUse,
    totals: dict[UsageKey, UsageRow],
    catalogue: Catalogue,
) -> Table:
    """Filter usage and sum it by the requested columns."""
    groups: dict[tuple[str, ...], list[float]] = {}
    for key, row in totals.items():
        column_values = _group_values(key, catalogue)
        if query.subject and column_values[query.subject] != query.name:
            continue
        group = tuple(column_values[column] for column in query.by)
        sums = groups.setdefault(group, [0, 0, 0, 0])
        amounts = (row.calls, row.input_tokens, row.output_tokens, row.cost)
        for index, amount in enumerate(amounts):
            sums[index] += amount
    rows = tuple(
        (*group, *map(int, sums[:3]), round(sums[3], 2))
        for group, sums in sorted(groups.items())
    )
    columns = (*query.by, 'calls', 'input_tokens', 'output_tokens', 'charge')
    return Table(columns, rows)


def statement_table(statement: UsageStatement) -> Table:
    """List the lines of a usage statement, with the head digest as note."""
    return Table(
        (
            'period',
            'account',
            'service',
            'calls',
            'output_tokens',
            'charge',
            'state',
        ),
        tuple(
            (
                format_time(line.period),
                line.account,
                line.service,
                line.calls,
                line.output_tokens,
                round(line.cost, 2),
                'closed' if line.is_closed else 'open',
            )
            for line in statement.lines
        ),
        f'digest {statement.head or "none, no period is closed"}',
    )


def difference_table(before: Configuration, after: Configuration) -> Table:
    """List the objects that a change would alter."""
    old, new = named_objects(before), named_objects(after)
    changed = sorted(
        find_changes(before, after),
        key=lambda key: (OBJECT_KINDS.index(key[0]), key[1]),
    )
    rows = tuple(
        (*key, _to_json(old.get(key)), _to_json(new.get(key)))
        for key in changed
    )
    return Table(('kind', 'name', 'before', 'after'), rows)


def _group_values(key: UsageKey, catalogue: Catalogue) -> dict[str, str]:
    """Return the values of the columns by which usage can be grouped."""
    account = catalogue.accounts.get(key.account)
    return {
        'account': key.account,
        'owner': account.owner if account else '',
        'service': key.service,
        'period': format_time(key.period),
    }


def _list_accounts(fleet: FleetReader) -> Table:
    """List client accounts."""
    return Table(
        ('account', 'owner', 'share', 'queue_limit', 'keys'),
        tuple(
            (
                each.name,
                each.owner,
                each.share,
                each.queue_limit,
                ' '.join(key.id for key in each.keys),
            )
            for each in _by_name(fleet.catalogue.accounts.values())
        ),
    )


def _list_owners(fleet: FleetReader) -> Table:
    """List owners."""
    owners = fleet.catalogue.configuration.owners
    return Table(('owner',), tuple((each.name,) for each in _by_name(owners)))


def _list_services(fleet: FleetReader) -> Table:
    """List services."""
    return Table(
        ('service', 'kind', 'models', 'target_limit'),
        tuple(
            (
                each.name,
                each.kind.value,
                ' '.join(each.models),
                each.target_limit,
            )
            for each in _by_name(fleet.catalogue.services.values())
        ),
    )


def _list_targets(fleet: FleetReader) -> Table:
    """List targets."""
    return Table(
        ('target', 'service', 'address', 'data_center', 'state'),
        tuple(
            (
                each.name,
                each.service,
                each.address.text,
                each.data_center,
                each.state.value,
            )
            for each in _by_name(fleet.catalogue.targets.values())
        ),
    )


def _list_instances(fleet: FleetReader) -> Table:
    """List instances."""
    return Table(
        ('instance', 'data_center', 'status', 'address'),
        tuple(
            (
                each.id,
                each.data_center,
                each.status.name.lower(),
                each.address,
            )
            for each in sorted(fleet.instances, key=lambda each: each.id)
        ),
    )


def _list_pools(fleet: FleetReader) -> Table:
    """List pools and their dispatchers."""
    return Table(
        ('pool', 'service', 'targets', 'dispatcher'),
        tuple(
            (
                pool.name,
                pool.service,
                len(pool.targets),
                fleet.dispatcher_of(pool.name),
            )
            for pool in _by_name(fleet.catalogue.pools.values())
        ),
    )


LIST_BUILDERS: Mapping[str, Callable[[FleetReader], Table]] = MappingProxyType(
    {
        'accounts': _list_accounts,
        'owners': _list_owners,
        'services': _list_services,
        'targets': _list_targets,
        'instances': _list_instances,
        'pools': _list_pools,
    }
)


def _by_name(named: Iterable[Any]) -> list[Any]:
    """Sort objects by their names."""
    return sorted(named, key=lambda each: each.name)


def _to_json(config_object: object) -> str:
    """Return an object as JSON, empty if it is absent."""
    return msgspec.json.encode(config_object).decode() if config_object else ''


def format_time(at_s: float) -> str:
    """Return a Unix time as an ISO 8601 timestamp in UTC."""
    return time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime(at_s))
