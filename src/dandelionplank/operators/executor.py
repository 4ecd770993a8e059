"""Execution of operators' statements."""

import dataclasses
import time

import msgspec

from dandelionplank.accounts import OperatorToken, digest_secret, new_secret
from dandelionplank.configuration.repository import (
    Command,
    ConfigurationRepository,
)
from dandelionplank.errors import ErrorCode, StatementError
from dandelionplank.ledger.closing import (
    UsageStatement,
    build_statement,
    find_faults,
)
from dandelionplank.ledger.repository import UsageReader
from dandelionplank.operators.changes import Change
from dandelionplank.operators.language import parse_statement
from dandelionplank.operators.reports import (
    LIST_BUILDERS,
    FleetReader,
    difference_table,
    format_time,
    statement_table,
    usage_table,
)
from dandelionplank.operators.statements import (
    ChangeStatement,
    CompareUse,
    CreateAccount,
    CreateKey,
    CreateToken,
    Explain,
    OwnerStatement,
    Query,
    ShowUse,
    Statement,
    Table,
)

STEP = 'execute'
ROLES_ALLOWED_TO_CHANGE = ('operator', 'administrator')


class StatementRequest(msgspec.Struct, frozen=True):
    """A statement as received by the administration API.

    :param command_id: identifies the command; the same on every retry
    :param expected_revision: refuse unless this revision is current
    :param dry_run: validate and describe the change without applying it
    """

    statement: str
    command_id: str = ''
    expected_revision: int | None = None
    dry_run: bool = False


@dataclasses.dataclass(frozen=True)
class StatementExecutor:
    """Executes statements against the stored configuration and usage."""

    fleet: FleetReader
    repository: ConfigurationRepository
    usage: UsageReader

    async def execute(
        self,
        request: StatementRequest,
        token: OperatorToken,
    ) -> Table:
        """Parse and execute a statement.

        :param token: token of the operator who sends the statement
        :raises DandelionplankError: the statement was not executed
        """
        statement = parse_statement(request.statement)
        if isinstance(statement, Query):
            return await self.run_query(statement)
        self._authorize(statement, token)
        return await self._apply_change(request, statement, token)

    async def run_query(self, query: Query) -> Table:
        """Return the result of a query."""
        if isinstance(query, ShowUse):
            totals = await self.usage.totals(time.time() - query.since_s)
            return usage_table(query, totals, self.fleet.catalogue)
        if isinstance(query, OwnerStatement):
            return await self._owner_statement(query)
        if isinstance(query, CompareUse):
            return await self._compare_usage(query)
        if isinstance(query, Explain):
            return await self.fleet.explain(query.request_id)
        if query.topic == 'history':
            return await self._history()
        return LIST_BUILDERS[query.topic](self.fleet)

    async def owner_statement(
        self, owner: str, since_s: float
    ) -> UsageStatement:
        """Build an owner's usage statement from the stored records.

        :param since_s: start of the statement, Unix time
        """
        accounts = [
            account.name
            for account in self.fleet.catalogue.accounts.values()
            if account.owner == owner
        ]
        return build_statement(
            owner,
            accounts,
            await self.usage.closures(since_s),
            await self.usage.records(since_s),
        )

    async def _owner_statement(self, query: OwnerStatement) -> Table:
        """Return an owner's usage statement, or the faults found in it."""
        since_s = time.time() - query.since_s
        statement = await self.owner_statement(query.owner, since_s)
        if query.verb == 'verify':
            faults = find_faults(statement)
            note = f'{len(statement.closures)} closed periods recomputed'
            return Table(('fault',), tuple((each,) for each in faults), note)
        return statement_table(statement)

    async def _compare_usage(self, query: CompareUse) -> Table:
        """Compare charged usage with the usage that targets report."""
        totals = await self.usage.totals(time.time() - query.since_s)
        charged: dict[str, int] = {}
        for key, row in totals.items():
            tokens = charged.get(key.service, 0) + row.output_tokens
            charged[key.service] = tokens
        reported = await self.fleet.reported_tokens()
        return Table(
            ('service', 'charged_tokens', 'reported_tokens', 'not_charged'),
            tuple(
                (
                    service,
                    charged.get(service, 0),
                    tokens,
                    tokens - charged.get(service, 0),
                )
                for service, tokens in sorted(reported.items())
            ),
            'targets count since they started, cancelled work included',
        )

    async def _apply_change(
        self,
        request: StatementRequest,
        statement: ChangeStatement,
        token: OperatorToken,
    ) -> Table:
        """Commit a change, or list its effects if it is a dry run."""
        has_secret = isinstance(statement, CreateKey | CreateToken)
        secret = new_secret() if has_secret else ''
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
        """List the most recent changes."""
        loaded = await self.repository.load()
        rows = tuple(
            (
                record.revision,
                format_time(record.at_s),
                record.operator,
                record.statement,
                record.command_id,
            )
            for record in loaded.manifest.recent
        )
        columns = ('revision', 'time', 'operator', 'statement', 'command_id')
        return Table(columns, rows)

    def _authorize(self, statement: Statement, token: OperatorToken) -> None:
        """Check that the operator's role and owner permit a change.

        :raises StatementError: the change is forbidden
        """
        if isinstance(statement, CreateToken) and token.role != 'administrator':
            raise _forbidden('only an administrator may create tokens')
        if token.role not in ROLES_ALLOWED_TO_CHANGE:
            raise _forbidden(f'role {token.role} may not change anything')
        if not token.owner:
            return
        owner = self._affected_owner(statement)
        if owner != token.owner:
            raise _forbidden(f'{token.name} may change only {token.owner}')

    def _affected_owner(self, statement: Statement) -> str:
        """Return the owner whose account a statement changes, empty if none."""
        if isinstance(statement, CreateAccount):
            return statement.owner
        name = getattr(statement, 'account', getattr(statement, 'name', ''))
        account = self.fleet.catalogue.accounts.get(name)
        return account.owner if account else ''


def _forbidden(reason: str) -> StatementError:
    """Return an error for an operator without permission."""
    return StatementError(reason, step=STEP, code=ErrorCode.FORBIDDEN)
