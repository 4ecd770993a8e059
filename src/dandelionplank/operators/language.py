"""Parser of the operators' language."""

from importlib import resources
from types import MappingProxyType
from typing import Any

from lark import Lark, Token, Transformer, UnexpectedInput
from lark.exceptions import UnexpectedCharacters, UnexpectedToken, VisitError

from dandelionplank.errors import ErrorCode, StatementError
from dandelionplank.operators.statements import (
    Assignment,
    CompareUse,
    CreateAccount,
    CreateKey,
    CreateOwner,
    CreateTarget,
    CreateToken,
    DropAccount,
    DropTarget,
    DropToken,
    Explain,
    OwnerStatement,
    RevokeKey,
    SetAccount,
    SetService,
    SetTarget,
    Show,
    ShowUse,
    Statement,
)

STEP = 'parse'
UNIT_SECONDS = MappingProxyType(
    {'s': 1, 'm': 60, 'h': 3600, 'd': 86_400},
)
TOPICS = (
    'ACCOUNTS',
    'OWNERS',
    'SERVICES',
    'TARGETS',
    'INSTANCES',
    'POOLS',
    'HISTORY',
)
USAGE_COLUMNS = ('account', 'owner', 'service', 'period')


class StatementBuilder(Transformer[Token, Statement]):
    """Builds typed statements from a parse tree."""

    def name(self, tokens: list[Token]) -> str:
        """Return a name as written."""
        return str(tokens[0])

    def by(self, tokens: list[Token]) -> tuple[str, ...]:
        """Return the columns to group by."""
        columns = tuple(str(token).lower() for token in tokens)
        for token, column in zip(tokens, columns, strict=True):
            if column not in USAGE_COLUMNS:
                raise StatementError(
                    f'column {token.column}: {token} is not one of '
                    f'{", ".join(USAGE_COLUMNS)}',
                    step=STEP,
                    code=ErrorCode.STATEMENT_SYNTAX,
                )
        return columns

    def since(self, tokens: list[Token]) -> float:
        """Return a duration in seconds."""
        return parse_duration_s(str(tokens[0]))

    def filter(self, parts: list[Any]) -> tuple[str, str]:
        """Return the column and the value of a filter."""
        return str(parts[0]).lower(), parts[1]

    def show_use(self, parts: list[Any]) -> ShowUse:
        """Return a query for usage."""
        by, usage_filter, since_s = parts
        subject, name = usage_filter or ('', '')
        return ShowUse(
            by or ShowUse.by,
            since_s or ShowUse.since_s,
            subject,
            name,
        )

    def show(self, tokens: list[Token]) -> Show:
        """Return a query for a list of objects."""
        return Show(str(tokens[0]).lower())

    def statement_of(self, parts: list[Any]) -> OwnerStatement:
        """Return a query for an owner's usage statement."""
        verb, owner, since_s = parts
        return OwnerStatement(
            str(verb).lower(),
            owner,
            since_s or OwnerStatement.since_s,
        )

    def compare(self, parts: list[Any]) -> CompareUse:
        """Return a query that compares usage with the targets' reports."""
        return CompareUse(parts[0] or CompareUse.since_s)

    def explain(self, tokens: list[Token]) -> Explain:
        """Return a query for the routing decisions of a request."""
        return Explain(str(tokens[0]))

    def set_service(self, parts: list[Any]) -> SetService:
        """Return a change of a service's settings."""
        return SetService(parts[0], tuple(parts[1:]))

    def create_token(self, parts: list[Any]) -> CreateToken:
        """Return the creation of an operator token."""
        name, role, owner = parts
        return CreateToken(name, str(role).lower(), owner or '')

    def drop_token(self, parts: list[Any]) -> DropToken:
        """Return the removal of an operator token."""
        return DropToken(parts[0])

    def create_owner(self, parts: list[Any]) -> CreateOwner:
        """Return the creation of an owner."""
        return CreateOwner(parts[0])

    def create_account(self, parts: list[Any]) -> CreateAccount:
        """Return the creation of an account."""
        name, owner, _keyword, share = parts
        return CreateAccount(name, owner, float(share or 1))

    def assignment(self, tokens: list[Token]) -> Assignment:
        """Return a new value of an account's setting."""
        return Assignment(str(tokens[0]).lower(), float(tokens[1]))

    def service_setting(self, tokens: list[Token]) -> Assignment:
        """Return a new value of a service's setting."""
        return Assignment(str(tokens[0]).lower(), float(tokens[1]))

    def set_account(self, parts: list[Any]) -> SetAccount:
        """Return a change of an account's settings."""
        return SetAccount(parts[0], tuple(parts[1:]))

    def drop_account(self, parts: list[Any]) -> DropAccount:
        """Return the removal of an account."""
        return DropAccount(parts[0])

    def create_key(self, parts: list[Any]) -> CreateKey:
        """Return the creation of a key."""
        name, account, lifetime = parts
        lifetime_s = parse_duration_s(str(lifetime)) if lifetime else 0
        return CreateKey(name, account, lifetime_s)

    def revoke_key(self, parts: list[Any]) -> RevokeKey:
        """Return the revocation of a key."""
        return RevokeKey(parts[0], parts[1])

    def set_target(self, parts: list[Any]) -> SetTarget:
        """Return a change of a target's state."""
        return SetTarget(str(parts[0]).lower(), parts[1])

    def create_target(self, parts: list[Any]) -> CreateTarget:
        """Return the creation of a target."""
        name, service, address, data_center = parts
        return CreateTarget(name, service, str(address), data_center)

    def drop_target(self, parts: list[Any]) -> DropTarget:
        """Return the removal of a target."""
        return DropTarget(parts[0])


def load_parser() -> Lark:
    """Build the parser from the grammar in this package."""
    grammar = resources.files(__package__).joinpath('operators.lark')
    return Lark(
        grammar.read_text(encoding='utf-8'),
        parser='lalr',
        maybe_placeholders=True,
        propagate_positions=True,
    )


_PARSER = load_parser()
_BUILDER = StatementBuilder()


def parse_statement(text: str) -> Statement:
    """Parse one statement.

    :param text: the statement, with or without a semicolon
    :raises StatementError: a syntax error; its reason marks the token
    """
    try:
        statement: Statement = _BUILDER.transform(_PARSER.parse(text))
    except UnexpectedInput as error:
        raise StatementError(
            _describe_syntax_error(text, error),
            step=STEP,
            code=ErrorCode.STATEMENT_SYNTAX,
        ) from error
    except VisitError as error:
        if isinstance(error.orig_exc, StatementError):
            raise error.orig_exc from error
        raise
    return statement


def parse_duration_s(text: str) -> float:
    """Return the seconds of a duration such as ``90m``."""
    return float(text[:-1]) * UNIT_SECONDS[text[-1].lower()]


def expected_words(text: str) -> list[str]:
    """Return the words that may follow an incomplete statement."""
    try:
        _PARSER.parse(text)
    except UnexpectedToken as error:
        return _describe_terminals(error.accepts or error.expected)
    except UnexpectedInput:
        return []
    return []


def _describe_syntax_error(text: str, error: UnexpectedInput) -> str:
    """Describe a syntax error and mark its column below the statement."""
    column = max(1, getattr(error, 'column', 1) or 1)
    expected: list[str] = []
    if isinstance(error, UnexpectedToken):
        if error.token.type == '$END':
            column = len(text) + 1
        expected = _describe_terminals(error.accepts or error.expected)
    elif isinstance(error, UnexpectedCharacters):
        expected = _describe_terminals(error.allowed or set())
    marker = ' ' * (column - 1)
    return (
        f'column {column}: expected {" or ".join(expected) or "nothing more"}\n'
        f'  {text}\n  {marker}^'
    )


def _describe_terminals(terminals: 'set[str] | frozenset[str]') -> list[str]:
    """Return descriptions of terminals of the grammar for error messages."""
    described = {
        'NAME': 'a name',
        'NUMBER': 'a number',
        'DURATION': 'a duration such as 1h',
        'ADDRESS': 'an address such as 127.0.0.1:9000',
        'TOPIC': ', '.join(TOPICS),
        'SUBJECT': 'ACCOUNT, OWNER or SERVICE',
        'ACTION': 'DRAIN or RESUME',
        'STATEMENT_VERB': 'PRINT or VERIFY',
        'ROLE': 'READER, OPERATOR or ADMINISTRATOR',
        'REQUEST': 'a request id',
    }
    return sorted(
        described.get(name, name.lstrip('_'))
        for name in terminals
        if name not in {'$END', 'SEMICOLON', '__ANON_0'}
    )
