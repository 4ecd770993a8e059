"""The operators' command line."""

import sys
import time
import uuid
from enum import StrEnum
from http import HTTPStatus
from pathlib import Path
from typing import Annotated, Any

import aiohttp
import cyclopts
import msgspec
import uvloop
from cyclopts import Parameter

from dandelionplank.errors import DandelionplankError, StatementError
from dandelionplank.operators.language import parse_duration_s
from dandelionplank.operators.statements import Table
from dandelionplank.operators.tables import format_json, format_table

EXIT_FAILURE = 1
DEFAULT_URL = 'http://127.0.0.1:8100'
TIMEOUT_S = 30.0
MAX_ATTEMPTS = 3

app = cyclopts.App(name='dandelionplankctl')


class Format(StrEnum):
    """Output format of results."""

    TABLE = 'table'
    JSON = 'json'


Url = Annotated[
    str,
    Parameter(env_var='DANDELIONPLANK_URL', help='Base URL of any router'),
]
Token = Annotated[
    str,
    Parameter(env_var='DANDELIONPLANK_TOKEN', help="The operator's token"),
]


class Client:
    """Sends statements to the administration API.

    A request without a response is retried. Retries carry the same command
    id, so a statement is executed once.

    :param url: base URL of any router
    :param token: the operator's token
    """

    def __init__(self, url: str, token: str) -> None:
        """Prepare requests to one router under one token."""
        self.url = url.rstrip('/')
        self.headers = {'Authorization': f'Bearer {token}'}

    async def run(
        self,
        statement: str,
        *,
        dry_run: bool = False,
        expected_revision: int | None = None,
    ) -> Table:
        """Send a statement and return its result.

        :raises StatementError: it was refused, or no response was received
        """
        document = {
            'statement': statement,
            'command_id': uuid.uuid4().hex,
            'dry_run': dry_run,
            'expected_revision': expected_revision,
        }
        body = await self._send_with_retries(
            'POST',
            '/admin/v1/statements',
            msgspec.json.encode(document),
        )
        return msgspec.json.decode(body, type=Table)

    async def replace_configuration(self, text: str) -> int:
        """Replace the whole configuration and return the new revision."""
        body = await self._send_with_retries(
            'PUT',
            '/admin/v1/configuration',
            text.encode(),
            {'Idempotency-Key': uuid.uuid4().hex},
        )
        revision: int = msgspec.json.decode(body)['revision']
        return revision

    async def export_usage(self, owner: str, since_s: float) -> bytes:
        """Return an owner's usage statement with the records behind it."""
        return await self._send_with_retries(
            'GET',
            f'/admin/v1/owners/{owner}/statement?since_s={since_s}',
            b'',
        )

    async def _send_with_retries(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str] | None = None,
    ) -> bytes:
        """Send a request, retrying if no response is received."""
        for _ in range(MAX_ATTEMPTS):
            try:
                return await self._send_once(method, path, body, headers or {})
            except (aiohttp.ClientError, TimeoutError) as error:
                last_error = error
        raise StatementError(str(last_error), step='send', peer=self.url)

    async def _send_once(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> bytes:
        """Send a request and return the body of its response.

        :raises StatementError: the request was refused
        """
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(
                method,
                f'{self.url}{path}',
                data=body,
                headers={**self.headers, **headers},
            ) as response,
        ):
            response_body = await response.read()
        if response.status == HTTPStatus.OK:
            return response_body
        refusal: dict[str, Any] = msgspec.json.decode(response_body)['error']
        raise StatementError(
            f'{refusal["code"]} {refusal["message"]}',
            step=refusal['step'],
        )


@app.default
def run_statement(
    statement: str = '',
    *,
    url: Url = DEFAULT_URL,
    token: Token = '',
    format: Format = Format.TABLE,  # noqa: A002
    dry_run: bool = False,
    expected_revision: int | None = None,
) -> None:
    """Query the fleet and change its configuration.

    Runs one statement, or opens a prompt if none is given.

    Example: ``dandelionplankctl 'SHOW USE BY ACCOUNT SINCE 1h'``

    Statements: SHOW USE [BY ACCOUNT, OWNER, SERVICE, PERIOD] [FOR ACCOUNT a]
    [SINCE 1h]; SHOW ACCOUNTS | OWNERS | SERVICES | TARGETS | INSTANCES |
    POOLS | HISTORY; CREATE OWNER o; CREATE ACCOUNT a OWNER o [SHARE n];
    SET ACCOUNT a SHARE n; DROP ACCOUNT a; CREATE KEY k FOR ACCOUNT a
    [EXPIRES IN 30d]; REVOKE KEY k FOR ACCOUNT a; CREATE TARGET t SERVICE s
    AT ip:port IN data-center; DRAIN TARGET t; RESUME TARGET t; PRINT or
    VERIFY STATEMENT FOR OWNER o; EXPLAIN REQUEST id. docs/OPERATORS.md lists
    them all.

    :param statement: statement to run
    :param url: base URL of any router
    :param token: the operator's token
    :param format: table or json
    :param dry_run: show the effects of a change without applying it
    :param expected_revision: refuse unless this revision is current
    """
    client = Client(url, token)
    if not statement:
        _run_prompt(client, format)
        return
    try:
        table = uvloop.run(
            client.run(
                statement,
                dry_run=dry_run,
                expected_revision=expected_revision,
            ),
        )
    except DandelionplankError as error:
        sys.stderr.write(f'{error.reason}\n')
        raise SystemExit(EXIT_FAILURE) from error
    sys.stdout.write(f'{_render(table, format)}\n')


@app.command(name='apply')
def apply_configuration(
    path: Path,
    *,
    url: Url = DEFAULT_URL,
    token: Token = '',
) -> None:
    """Replace the whole configuration with the contents of a YAML file.

    :param path: the file; check it first with dandelionplank-check
    :param url: base URL of any router
    :param token: an administrator's token
    """
    client = Client(url, token)
    text = path.read_text(encoding='utf-8')
    try:
        revision = uvloop.run(client.replace_configuration(text))
    except DandelionplankError as error:
        sys.stderr.write(f'{error.reason}\n')
        raise SystemExit(EXIT_FAILURE) from error
    sys.stdout.write(f'revision {revision}\n')


@app.command(name='export')
def export_statement(
    owner: str,
    path: Path,
    *,
    since: str = '30d',
    url: Url = DEFAULT_URL,
    token: Token = '',
) -> None:
    """Write an owner's usage statement and its records to a file.

    ``dandelionplank-check statement FILE`` verifies it without a router.

    :param owner: the owner
    :param path: file to write
    :param since: length of the period, up to now, such as 30d
    :param url: base URL of any router
    :param token: the operator's token
    """
    start_s = time.time() - parse_duration_s(since)
    try:
        body = uvloop.run(Client(url, token).export_usage(owner, start_s))
    except DandelionplankError as error:
        sys.stderr.write(f'{error.reason}\n')
        raise SystemExit(EXIT_FAILURE) from error
    path.write_bytes(body)
    sys.stdout.write(f'{path}: {len(body)} bytes\n')


def _run_prompt(client: Client, output_format: Format) -> None:
    """Run statements from the prompt until end of file."""
    from dandelionplank.operators.prompt import (  # noqa: PLC0415
        read_statements,
    )

    for statement in read_statements():
        try:
            table = uvloop.run(client.run(statement))
        except DandelionplankError as error:
            sys.stderr.write(f'{error.reason}\n')
            continue
        sys.stdout.write(f'{_render(table, output_format)}\n')


def _render(table: Table, output_format: Format) -> str:
    """Return a table in the output format."""
    if output_format is Format.JSON:
        return format_json(table)
    return format_table(table)


def main() -> None:
    """Run the command line."""
    app()
