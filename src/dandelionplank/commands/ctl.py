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

EXIT_REFUSED = 1
DEFAULT_URL = 'http://127.0.0.1:8100'
TIMEOUT_S = 30.0
TRIES = 3

app = cyclopts.App(name='dandelionplankctl')


class Format(StrEnum):
    """How answers are printed."""

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

    A statement whose answer is lost is sent again with the same command id,
    so it is carried out once.
    """

    def __init__(self, url: str, token: str) -> None:
        """Keep where to send and who sends."""
        self.url = url.rstrip('/')
        self.headers = {'Authorization': f'Bearer {token}'}

    async def run(
        self,
        statement: str,
        *,
        dry_run: bool = False,
        expected_revision: int | None = None,
    ) -> Table:
        """Send a statement and return its answer.

        :raises StatementError: it was refused, or no router answered
        """
        document = {
            'statement': statement,
            'command_id': uuid.uuid4().hex,
            'dry_run': dry_run,
            'expected_revision': expected_revision,
        }
        body = await self._send(
            'POST',
            '/admin/v1/statements',
            msgspec.json.encode(document),
        )
        return msgspec.json.decode(body, type=Table)

    async def replace_configuration(self, text: str) -> int:
        """Replace the whole configuration and return the new revision."""
        body = await self._send(
            'PUT',
            '/admin/v1/configuration',
            text.encode(),
            {'Idempotency-Key': uuid.uuid4().hex},
        )
        revision: int = msgspec.json.decode(body)['revision']
        return revision

    async def export(self, owner: str, since_s: float) -> bytes:
        """Return an owner's statement with everything to recompute it."""
        return await self._send(
            'GET',
            f'/admin/v1/owners/{owner}/statement?since_s={since_s}',
            b'',
        )

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str] | None = None,
    ) -> bytes:
        """Send a request, again if no answer came."""
        for _ in range(TRIES):
            try:
                return await self._exchange(method, path, body, headers or {})
            except (aiohttp.ClientError, TimeoutError) as error:
                lost = error
        raise StatementError(str(lost), step='send', peer=self.url)

    async def _exchange(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> bytes:
        """Send one request and return the body of its answer."""
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
            answer = await response.read()
        if response.status == HTTPStatus.OK:
            return answer
        refusal: dict[str, Any] = msgspec.json.decode(answer)['error']
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
    """Ask the fleet and change its configuration.

    Runs one statement, or opens a prompt if none is given.

    Example: ``dandelionplankctl 'SHOW USE BY ACCOUNT SINCE 1h'``

    Statements: SHOW USE [BY ACCOUNT, OWNER, SERVICE, PERIOD] [FOR ACCOUNT a]
    [SINCE 1h]; SHOW ACCOUNTS | OWNERS | SERVICES | TARGETS | INSTANCES |
    POOLS | HISTORY; CREATE OWNER o; CREATE ACCOUNT a OWNER o [SHARE n];
    SET ACCOUNT a SHARE n; DROP ACCOUNT a; CREATE KEY k FOR ACCOUNT a
    [EXPIRES IN 30d]; REVOKE KEY k FOR ACCOUNT a; CREATE TARGET t SERVICE s
    AT ip:port IN data-center; DRAIN TARGET t; RESUME TARGET t; PRINT or
    VERIFY STATEMENT FOR OWNER o; EXPLAIN REQUEST id. docs/OPERATORS.md has
    them all.

    :param statement: the statement
    :param url: base URL of any router
    :param token: the operator's token
    :param format: table or json
    :param dry_run: show what a change would alter and change nothing
    :param expected_revision: refuse unless this revision is in force
    """
    client = Client(url, token)
    if not statement:
        _prompt(client, format)
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
        raise SystemExit(EXIT_REFUSED) from error
    sys.stdout.write(f'{_render(table, format)}\n')


@app.command(name='apply')
def apply_configuration(
    path: Path,
    *,
    url: Url = DEFAULT_URL,
    token: Token = '',
) -> None:
    """Replace the whole configuration by a YAML file.

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
        raise SystemExit(EXIT_REFUSED) from error
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
    """Write an owner's statement with all records to a file.

    Check it, anywhere, with ``dandelionplank-check statement FILE``.

    :param owner: the owner
    :param path: file to write
    :param since: length of the past, such as 30d
    :param url: base URL of any router
    :param token: the operator's token
    """
    begins_s = time.time() - parse_duration_s(since)
    try:
        body = uvloop.run(Client(url, token).export(owner, begins_s))
    except DandelionplankError as error:
        sys.stderr.write(f'{error.reason}\n')
        raise SystemExit(EXIT_REFUSED) from error
    path.write_bytes(body)
    sys.stdout.write(f'{path}: {len(body)} bytes\n')


def _prompt(client: Client, chosen: Format) -> None:
    """Read statements from a prompt until end of file."""
    from dandelionplank.operators.prompt import (  # noqa: PLC0415
        read_statements,
    )

    for statement in read_statements():
        try:
            table = uvloop.run(client.run(statement))
        except DandelionplankError as error:
            sys.stderr.write(f'{error.reason}\n')
            continue
        sys.stdout.write(f'{_render(table, chosen)}\n')


def _render(table: Table, chosen: Format) -> str:
    """Return an answer in the chosen form."""
    if chosen is Format.JSON:
        return format_json(table)
    return format_table(table)


def main() -> None:
    """Run the command line."""
    app()
