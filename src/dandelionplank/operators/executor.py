"""Carries out operators' statements."""

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
    Statement as OwnerBill,
)
from dandelionplank.ledger.closing import (
    build_statement,
    find_faults,
)
from dandelionplank.ledger.repository import UseReader
from dandelionplank.operators.changes import Change
from dandelionplank.operators.language import parse_statement
from dandelionplank.operators.reports import (
    LISTS,
    FleetView,
    difference_table,
    format_time,
    statement_table,
    use_table,
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
ROLES_THAT_CHANGE = ('operator', 'administrator')


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
        if isinstance(query, OwnerStatement):
            return await self._owner_statement(query)
        if isinstance(query, CompareUse):
            return await self._compare(query)
        if isinstance(query, Explain):
            return await self.fleet.explain(query.request_id)
        if query.topic == 'history':
            return await self._history()
        return LISTS[query.topic](self.fleet)

    async def statement(self, owner: str, since_s: float) -> OwnerBill:
        """Build an owner's statement from what is stored.

        :param since_s: Unix time of its beginning
        """
        accounts = [
            account.name
            for account in self.fleet.catalogue.accounts.values()
            if account.owner == owner
        ]
        return build_statement(
            owner,
            accounts,
            await self.use.closures(since_s),
            await self.use.records(since_s),
        )

    async def _owner_statement(self, query: OwnerStatement) -> Table:
        """Print an owner's statement, or recompute it."""
        since_s = time.time() - query.since_s
        statement = await self.statement(query.owner, since_s)
        if query.verb == 'verify':
            faults = find_faults(statement)
            note = f'{len(statement.closures)} closed periods recomputed'
            return Table(('fault',), tuple((each,) for each in faults), note)
        return statement_table(statement)

    async def _compare(self, query: CompareUse) -> Table:
        """Set use as charged beside use as the targets report it."""
        totals = await self.use.totals(time.time() - query.since_s)
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

    async def _change(
        self,
        request: StatementRequest,
        statement: ChangeStatement,
        token: OperatorToken,
    ) -> Table:
        """Make a change and describe it."""
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
        """List the latest changes."""
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
        """Refuse changes beyond the operator's role and owner."""
        if isinstance(statement, CreateToken) and token.role != 'administrator':
            raise _forbidden('only an administrator may create tokens')
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


def _forbidden(reason: str) -> StatementError:
    """Return a refusal for lack of rights."""
    return StatementError(reason, step=STEP, code=ErrorCode.FORBIDDEN)
