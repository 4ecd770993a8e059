"""The administration API over HTTP."""

import msgspec
from aiohttp import web

from dandelionplank.accounts import OperatorToken, digest_secret
from dandelionplank.configuration.catalogue import Catalogue
from dandelionplank.configuration.model import Configuration
from dandelionplank.configuration.repository import (
    Command,
    ConfigurationRepository,
)
from dandelionplank.contracts import ServiceKind
from dandelionplank.decoding import DECODE_ERRORS
from dandelionplank.errors import (
    DandelionplankError,
    ErrorCode,
    RefusalError,
)
from dandelionplank.events import Event
from dandelionplank.instances import Instance
from dandelionplank.ledger.repository import UsageRepository
from dandelionplank.logs import log_event
from dandelionplank.operators.executor import (
    StatementExecutor,
    StatementRequest,
)
from dandelionplank.operators.statements import Table
from dandelionplank.router.entry import Entry
from dandelionplank.router.membership import MembershipTask
from dandelionplank.router.refusals import log_failure
from dandelionplank.router.sinks import describe_error
from dandelionplank.settings import parse_yaml

STATEMENTS_PATH = '/admin/v1/statements'
CONFIGURATION_PATH = '/admin/v1/configuration'
EXPORT_PATH = '/admin/v1/owners/{owner}/statement'
BOOTSTRAP_TOKEN = OperatorToken('bootstrap', digest_secret(''), 'administrator')
_REQUEST_DECODER = msgspec.json.Decoder(StatementRequest)


class RouterFleetView:
    """State of the fleet as known to this router."""

    def __init__(self, entry: Entry, membership: MembershipTask) -> None:
        """Hold the entry and the member table."""
        self.entry = entry
        self.membership = membership

    @property
    def catalogue(self) -> Catalogue:
        """The active configuration, empty until the first one is loaded."""
        return self.entry.catalogue or Catalogue(Configuration())

    @property
    def instances(self) -> tuple[Instance, ...]:
        """All known instances."""
        return tuple(self.membership.table.members.values())

    def dispatcher_of(self, pool: str) -> str:
        """Return the instance that dispatches a pool."""
        return self.entry.tickets.dispatcher_of(pool)

    async def explain(self, request_id: str) -> Table:
        """Return how a request received by this router was routed."""
        steps = self.entry.tickets.decisions.for_request(request_id)
        columns = ('ticket', 'pool', 'target', 'dispatcher', 'why', 'waited_ms')
        note = '' if steps else 'not known to this router; ask the entry'
        return Table(columns, steps, note)

    async def reported_tokens(self) -> dict[str, int]:
        """Return the output tokens that engines report, by service."""
        totals: dict[str, int] = {}
        for target in self.catalogue.targets.values():
            contract = self.catalogue.services[target.service]
            if contract.kind is ServiceKind.MODEL:
                load = await self.entry.connections.read_load(target)
                tokens = totals.get(target.service, 0) + load.tokens
                totals[target.service] = tokens
        return totals


class AdministrationInterface:
    """HTTP handlers for operators' statements and configurations."""

    def __init__(
        self,
        entry: Entry,
        membership: MembershipTask,
        repository: ConfigurationRepository,
        usage: UsageRepository,
    ) -> None:
        """Hold the executor of statements and the state that it reads."""
        self.entry = entry
        self.fleet = RouterFleetView(entry, membership)
        self.repository = repository
        self.executor = StatementExecutor(self.fleet, repository, usage)

    def routes(self) -> list[web.AbstractRouteDef]:
        """Return the HTTP routes of this interface."""
        return [
            web.post(STATEMENTS_PATH, self.run_statement),
            web.put(CONFIGURATION_PATH, self.replace_configuration),
            web.get(EXPORT_PATH, self.export_statement),
        ]

    async def run_statement(self, request: web.Request) -> web.Response:
        """Execute one statement."""
        try:
            token = self._authenticate(request)
            statement_request = await _decode_request(request)
            table = await self.executor.execute(statement_request, token)
        except DandelionplankError as error:
            return _error_response(error)
        log_event(
            Event.CONFIGURATION_CHANGED,
            operator=token.name,
            statement=statement_request.statement,
        )
        return web.Response(
            body=msgspec.json.encode(table),
            content_type='application/json',
        )

    async def export_statement(self, request: web.Request) -> web.Response:
        """Return an owner's statement with all data to recompute it."""
        try:
            self._authenticate(request)
            since_s = float(request.query.get('since_s', '0'))
            statement = await self.executor.owner_statement(
                request.match_info['owner'],
                since_s,
            )
        except DandelionplankError as error:
            return _error_response(error)
        return web.Response(
            body=msgspec.json.encode(statement),
            content_type='application/json',
        )

    async def replace_configuration(
        self,
        request: web.Request,
    ) -> web.Response:
        """Replace the complete configuration."""
        try:
            token = self._authenticate(request)
            if token.owner or token.role != 'administrator':
                raise RefusalError(
                    step='authorize',
                    code=ErrorCode.FORBIDDEN,
                )
            text = (await request.read()).decode(errors='replace')
            configuration = parse_yaml(text, Configuration, origin='body')
            command = Command(
                token.name,
                'REPLACE CONFIGURATION',
                request.headers.get('Idempotency-Key', ''),
            )
            record = await self.repository.commit(
                command, lambda _: configuration
            )
        except DandelionplankError as error:
            return _error_response(error)
        return web.json_response({'revision': record.revision})

    def _authenticate(self, request: web.Request) -> OperatorToken:
        """Return the operator's token.

        :raises RefusalError: the token is not known
        """
        header = request.headers.get('Authorization', '')
        digest = digest_secret(header.removeprefix('Bearer ').strip())
        bootstrap = self.entry.settings.administration.bootstrap_token_sha256
        if bootstrap and digest == bootstrap:
            return BOOTSTRAP_TOKEN
        token = self.fleet.catalogue.find_token(digest)
        if token is None:
            raise RefusalError(
                step='authenticate',
                code=ErrorCode.UNAUTHENTICATED,
            )
        return token


async def _decode_request(request: web.Request) -> StatementRequest:
    """Return the statement request in a JSON body."""
    try:
        return _REQUEST_DECODER.decode(await request.read())
    except DECODE_ERRORS as error:
        raise RefusalError(
            f'body: {error}',
            step='parse',
            code=ErrorCode.BAD_REQUEST,
        ) from error


def _error_response(error: DandelionplankError) -> web.Response:
    """Log an error and return it as a response."""
    log_failure(Event.CONFIGURATION_REFUSED, error, '')
    return web.Response(
        status=error.code.status,
        body=msgspec.json.encode(describe_error(error)),
        content_type='application/json',
    )
