"""Carries out operators' statements."""

import dataclasses
import time
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import Any, Protocol

import msgspec

from dandelionplank.accounts import OperatorToken, digest_secret, new_secret
from dandelionplank.configuration.catalogue import Catalogue
from dandelionplank.configuration.model import Configuration
from dandelionplank.configuration.repository import (
    Command,
    ConfigurationRepository,
)
from dandelionplank.errors import ErrorCode, StatementError
from dandelionplank.instances import Instance
from dandelionplank.ledger.repository import UseReader
from dandelionplank.ledger.usage import UseKey, UseRow
from dandelionplank.operators.changes import Change
from dandelionplank.operators.language import parse_statement
from dandelionplank.operators.statements import (
    ChangeStatement,
    CreateAccount,
    CreateKey,
    Query,
    ShowUse,
    Statement,
    Table,
)

STEP = 'execute'
ROLES_THAT_CHANGE = ('operator', 'administrator')


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


class StatementRequest(msgspec.Struct, frozen=True):
    """A statement as it reaches the administration API.

    :param command_id: stays the same when the statement is sent again
    :param expected_revision: refuse unless this revision is in force
    :param dry_run: check and describe, but change nothing
    """

    statement: str
    command_id: str = ''
    expected_revision: int | None = None
    dry_run: bool = False


@dataclasses.dataclass(frozen=True)
class Executor:
    """Carries out statements against the stored state."""

    fleet: FleetView
    repository: ConfigurationRepository
    use: UseReader

    async def execute(
        self,
        request: StatementRequest,
        token: OperatorToken,
    ) -> Table:
        """Parse and carry out a statement.

        :param token: of the operator who sends it
        :raises DandelionplankError: it was not carried out
        """
        statement = parse_statement(request.statement)
        if isinstance(statement, Query):
            return await self.answer(statement)
        self._authorize(statement, token)
        return await self._change(request, statement, token)

    async def answer(self, query: Query) -> Table:
        """Answer a question."""
        if isinstance(query, ShowUse):
            totals = await self.use.totals(time.time() - query.since_s)
            return use_table(query, totals, self.fleet.catalogue)
        if query.topic == 'history':
            return await self._history()
        return LISTS[query.topic](self.fleet)

    async def _change(
        self,
        request: StatementRequest,
        statement: ChangeStatement,
        token: OperatorToken,
    ) -> Table:
        """Make a change and describe it."""
        secret = new_secret() if isinstance(statement, CreateKey) else ''
        change = Change(statement, digest_secret(secret) if secret else '')
        if request.dry_run:
            loaded = await self.repository.load()
            return difference_table(
                loaded.configuration,
                change(loaded.configuration),
            )
        command = Command(
            token.name,
            request.statement,
            request.command_id,
            request.expected_revision,
        )
        record = await self.repository.commit(command, change)
        note = f'secret, shown only now: {secret}' if secret else ''
        return Table(
            ('revision', 'command_id', 'operator'),
            ((record.revision, record.command_id, record.operator),),
            note,
        )

    async def _history(self) -> Table:
        """List the latest changes."""
        loaded = await self.repository.load()
        rows = tuple(
            (
                record.revision,
                _format_time(record.at_s),
                record.operator,
                record.statement,
                record.command_id,
            )
            for record in loaded.manifest.recent
        )
        columns = ('revision', 'time', 'operator', 'statement', 'command_id')
        return Table(columns, rows)

    def _authorize(self, statement: Statement, token: OperatorToken) -> None:
        """Refuse changes beyond the operator's role and owner."""
        if token.role not in ROLES_THAT_CHANGE:
            raise _forbidden(f'role {token.role} may not change anything')
        if not token.owner:
            return
        owner = self._owner_concerned(statement)
        if owner != token.owner:
            raise _forbidden(f'{token.name} may change only {token.owner}')

    def _owner_concerned(self, statement: Statement) -> str:
        """Return the owner whose account a statement changes, or nothing."""
        if isinstance(statement, CreateAccount):
            return statement.owner
        name = getattr(statement, 'account', getattr(statement, 'name', ''))
        account = self.fleet.catalogue.accounts.get(name)
        return account.owner if account else ''


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


def difference_table(before: Configuration, after: Configuration) -> Table:
    """List the objects that a change would alter."""
    rows: list[tuple[str, ...]] = []
    for kind in ('owners', 'accounts', 'services', 'targets', 'tokens'):
        old = {each.name: each for each in getattr(before, kind)}
        new = {each.name: each for each in getattr(after, kind)}
        rows.extend(
            (kind, name, _describe(old.get(name)), _describe(new.get(name)))
            for name in sorted(old.keys() | new.keys())
            if old.get(name) != new.get(name)
        )
    return Table(('kind', 'name', 'before', 'after'), tuple(rows))


def _facts_of(key: UseKey, catalogue: Catalogue) -> dict[str, str]:
    """Return the columns by which use can be grouped."""
    account = catalogue.accounts.get(key.account)
    return {
        'account': key.account,
        'owner': account.owner if account else '',
        'service': key.service,
        'period': _format_time(key.period),
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


def _format_time(at_s: float) -> str:
    """Return a time in the usual form, UTC."""
    return time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime(at_s))


def _forbidden(reason: str) -> StatementError:
    """Return a refusal for lack of rights."""
    return StatementError(reason, step=STEP, code=ErrorCode.FORBIDDEN)
