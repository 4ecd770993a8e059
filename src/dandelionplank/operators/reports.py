"""Tables that answer operators' questions."""

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
from dandelionplank.ledger.closing import Statement as OwnerBill
from dandelionplank.ledger.usage import UseKey, UseRow
from dandelionplank.operators.statements import ShowUse, Table


class FleetView(Protocol):
    """What reports need to know of the running fleet."""

    @property
    def catalogue(self) -> Catalogue:
        """The configuration in force."""

    @property
    def instances(self) -> tuple[Instance, ...]:
        """All instances that are known."""

    def dispatcher_of(self, pool: str) -> str:
        """Return the instance that dispatches a pool."""

    async def explain(self, request_id: str) -> Table:
        """Return how a request was routed."""

    async def reported_tokens(self) -> dict[str, int]:
        """Return the output tokens that targets report, by service."""


def use_table(
    query: ShowUse,
    totals: dict[UseKey, UseRow],
    catalogue: Catalogue,
) -> Table:
    """Group use by the columns asked for."""
    groups: dict[tuple[str, ...], list[float]] = {}
    for key, row in totals.items():
        facts = _facts_of(key, catalogue)
        if query.subject and facts[query.subject] != query.name:
            continue
        group = tuple(facts[column] for column in query.by)
        sums = groups.setdefault(group, [0, 0, 0, 0])
        figures = (row.calls, row.input_tokens, row.output_tokens, row.cost)
        for index, figure in enumerate(figures):
            sums[index] += figure
    rows = tuple(
        (*group, *map(int, sums[:3]), round(sums[3], 2))
        for group, sums in sorted(groups.items())
    )
    columns = (*query.by, 'calls', 'input_tokens', 'output_tokens', 'charge')
    return Table(columns, rows)


def statement_table(statement: OwnerBill) -> Table:
    """Print the lines of a statement and the digest they rest on."""
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
        (*key, _describe(old.get(key)), _describe(new.get(key)))
        for key in changed
    )
    return Table(('kind', 'name', 'before', 'after'), rows)


def _facts_of(key: UseKey, catalogue: Catalogue) -> dict[str, str]:
    """Return the columns by which use can be grouped."""
    account = catalogue.accounts.get(key.account)
    return {
        'account': key.account,
        'owner': account.owner if account else '',
        'service': key.service,
        'period': format_time(key.period),
    }


def _list_accounts(fleet: FleetView) -> Table:
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


def _list_owners(fleet: FleetView) -> Table:
    """List owners."""
    owners = fleet.catalogue.configuration.owners
    return Table(('owner',), tuple((each.name,) for each in _by_name(owners)))


def _list_services(fleet: FleetView) -> Table:
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


def _list_targets(fleet: FleetView) -> Table:
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


def _list_instances(fleet: FleetView) -> Table:
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


def _list_pools(fleet: FleetView) -> Table:
    """List pools and who dispatches them."""
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


LISTS: Mapping[str, Callable[[FleetView], Table]] = MappingProxyType(
    {
        'accounts': _list_accounts,
        'owners': _list_owners,
        'services': _list_services,
        'targets': _list_targets,
        'instances': _list_instances,
        'pools': _list_pools,
    }
)


def _by_name(members: Iterable[Any]) -> list[Any]:
    """Sort objects by their names."""
    return sorted(members, key=lambda each: each.name)


def _describe(member: object) -> str:
    """Return an object in one line, nothing if it does not exist."""
    return msgspec.json.encode(member).decode() if member else ''


def format_time(at_s: float) -> str:
    """Return a time in the usual form, UTC."""
    return time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime(at_s))
