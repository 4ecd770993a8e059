"""Apply operators' statements to a configuration, without side effects."""

import dataclasses
import time
from typing import TypeVar

import msgspec

from dandelionplank.accounts import (
    CallerKey,
    ClientAccount,
    OperatorToken,
    Owner,
)
from dandelionplank.configuration.model import Configuration
from dandelionplank.contracts import ServiceContract
from dandelionplank.errors import StatementError
from dandelionplank.operators.statements import (
    ChangeStatement,
    CreateAccount,
    CreateKey,
    CreateOwner,
    CreateTarget,
    CreateToken,
    DropAccount,
    DropTarget,
    DropToken,
    RevokeKey,
    SetAccount,
    SetService,
    SetTarget,
)
from dandelionplank.settings import Address
from dandelionplank.targets import Target, TargetState

STEP = 'change'
Named = TypeVar(
    'Named',
    bound=Owner | ClientAccount | Target | ServiceContract | OperatorToken,
)


@dataclasses.dataclass(frozen=True)
class Change:
    """A statement that can be applied to any configuration.

    :param secret_digest: digest of the secret of a new key or token, else empty
    """

    statement: ChangeStatement
    secret_digest: str = ''

    def __call__(self, before: Configuration) -> Configuration:
        """Return the changed configuration.

        :raises StatementError: the change conflicts with the configuration
        """
        try:
            return self._apply(before)
        except msgspec.ValidationError as error:
            raise StatementError(str(error), step=STEP) from error

    def _apply(self, before: Configuration) -> Configuration:
        """Apply the change that belongs to the statement's type."""
        statement = self.statement
        match statement:
            case CreateOwner():
                owners = _added(before.owners, Owner(statement.name))
                return msgspec.structs.replace(before, owners=owners)
            case CreateTarget() | DropTarget() | SetTarget():
                targets = _change_targets(before.targets, statement)
                return msgspec.structs.replace(before, targets=targets)
            case SetService():
                services = _with_service_settings(before.services, statement)
                return msgspec.structs.replace(before, services=services)
            case CreateToken():
                token = OperatorToken(
                    statement.name,
                    self.secret_digest,
                    statement.role,
                    statement.owner,
                )
                tokens = _added(before.tokens, token)
                return msgspec.structs.replace(before, tokens=tokens)
            case DropToken():
                tokens = _removed(before.tokens, statement.name)
                return msgspec.structs.replace(before, tokens=tokens)
            case CreateKey():
                accounts = _with_key(before, statement, self.secret_digest)
            case CreateAccount() | DropAccount() | SetAccount() | RevokeKey():
                accounts = _change_accounts(before, statement)
        return msgspec.structs.replace(before, accounts=accounts)


def _change_accounts(
    before: Configuration,
    statement: CreateAccount | DropAccount | SetAccount | RevokeKey,
) -> tuple[ClientAccount, ...]:
    """Return the accounts after any change but the creation of a key."""
    accounts = before.accounts
    match statement:
        case CreateAccount():
            created = ClientAccount(
                statement.name,
                statement.owner,
                statement.share,
            )
            return _added(accounts, created)
        case DropAccount():
            return _removed(accounts, statement.name)
        case SetAccount():
            return _with_account_settings(accounts, statement)
        case RevokeKey():
            account = find_named(accounts, statement.account)
            _require_key(account, statement.name)
            keys = tuple(
                key for key in account.keys if key.id != statement.name
            )
            changed = msgspec.structs.replace(account, keys=keys)
            return _replaced(accounts, changed)


def _with_account_settings(
    accounts: tuple[ClientAccount, ...],
    statement: SetAccount,
) -> tuple[ClientAccount, ...]:
    """Return the accounts with one account's settings changed."""
    account = find_named(accounts, statement.name)
    for assignment in statement.assignments:
        if assignment.setting == 'share':
            account = msgspec.structs.replace(account, share=assignment.level)
        else:
            limit = int(assignment.level)
            account = msgspec.structs.replace(account, queue_limit=limit)
    return _replaced(accounts, _validated(account))


def _with_service_settings(
    services: tuple[ServiceContract, ...],
    statement: SetService,
) -> tuple[ServiceContract, ...]:
    """Return the services with one service's settings changed."""
    service = find_named(services, statement.name)
    for assignment in statement.assignments:
        level = int(assignment.level)
        if assignment.setting == 'limit':
            service = msgspec.structs.replace(service, target_limit=level)
        else:
            service = msgspec.structs.replace(service, short_overdraft=level)
    return _replaced(services, _validated(service))


def _with_key(
    before: Configuration,
    statement: CreateKey,
    digest: str,
) -> tuple[ClientAccount, ...]:
    """Return the accounts with a key added to one of them."""
    account = find_named(before.accounts, statement.account)
    if any(key.id == statement.name for key in account.keys):
        raise StatementError(
            f'key {statement.name} exists already',
            step=STEP,
        )
    expires_at_s = 0.0
    if statement.lifetime_s:
        expires_at_s = time.time() + statement.lifetime_s
    key = CallerKey(statement.name, digest, expires_at_s)
    changed = msgspec.structs.replace(account, keys=(*account.keys, key))
    return _replaced(before.accounts, changed)


def _change_targets(
    targets: tuple[Target, ...],
    statement: CreateTarget | DropTarget | SetTarget,
) -> tuple[Target, ...]:
    """Return the targets after a change."""
    match statement:
        case CreateTarget():
            created = Target(
                statement.name,
                statement.service,
                Address.from_text(statement.address),
                statement.data_center,
            )
            return _added(targets, created)
        case DropTarget():
            return _removed(targets, statement.name)
        case SetTarget():
            state = TargetState.ACTIVE
            if statement.action == 'drain':
                state = TargetState.DRAINING
            target = find_named(targets, statement.name)
            changed = msgspec.structs.replace(target, state=state)
            return _replaced(targets, changed)


def find_named(existing: tuple[Named, ...], name: str) -> Named:
    """Return the object with a name.

    :raises StatementError: no object has this name
    """
    for each in existing:
        if each.name == name:
            return each
    raise StatementError(f'{name} is not known', step=STEP, peer=name)


def _added(existing: tuple[Named, ...], new: Named) -> tuple[Named, ...]:
    """Return the objects with a new one."""
    if any(each.name == new.name for each in existing):
        raise StatementError(f'{new.name} exists already', step=STEP)
    return (*existing, _validated(new))


def _removed(existing: tuple[Named, ...], name: str) -> tuple[Named, ...]:
    """Return the objects without one of them."""
    find_named(existing, name)
    return tuple(each for each in existing if each.name != name)


def _replaced(existing: tuple[Named, ...], new: Named) -> tuple[Named, ...]:
    """Return the objects with one of them replaced."""
    return tuple(new if each.name == new.name else each for each in existing)


def _validated(new: Named) -> Named:
    """Validate an object as if it were decoded from a file.

    Constructing a struct in Python does not check its constraints.
    """
    return msgspec.convert(msgspec.to_builtins(new), type(new))


def _require_key(account: ClientAccount, name: str) -> None:
    """Raise an error if an account has no key of this name."""
    if all(key.id != name for key in account.keys):
        raise StatementError(f'key {name} is not known', step=STEP)
