"""Statements of the operators' language, as typed values."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ShowUse:
    """Who used what.

    :param by: columns to group by
    :param since_s: length of the past that is shown
    :param subject: kind of the filter, empty for none
    """

    by: tuple[str, ...] = ('account',)
    since_s: float = 86_400
    subject: str = ''
    name: str = ''


@dataclasses.dataclass(frozen=True)
class Show:
    """A list of objects: accounts, targets and others."""

    topic: str


@dataclasses.dataclass(frozen=True)
class OwnerStatement:
    """An owner's statement, printed or recomputed.

    :param verb: ``print`` or ``verify``
    """

    verb: str
    owner: str
    since_s: float = 86_400


@dataclasses.dataclass(frozen=True)
class CompareUse:
    """Use as charged beside use as the targets report it."""

    since_s: float = 86_400


@dataclasses.dataclass(frozen=True)
class Explain:
    """Why a request went where it did."""

    request_id: str


@dataclasses.dataclass(frozen=True)
class Assignment:
    """A new level of one setting."""

    setting: str
    level: float


@dataclasses.dataclass(frozen=True)
class SetService:
    """A change of a service's settings."""

    name: str
    assignments: tuple[Assignment, ...]


@dataclasses.dataclass(frozen=True)
class CreateToken:
    """A new operator token; its secret is shown once."""

    name: str
    role: str
    owner: str = ''


@dataclasses.dataclass(frozen=True)
class DropToken:
    """The end of an operator token."""

    name: str


@dataclasses.dataclass(frozen=True)
class CreateOwner:
    """A new owner."""

    name: str


@dataclasses.dataclass(frozen=True)
class CreateAccount:
    """A new client account."""

    name: str
    owner: str
    share: float = 1.0


@dataclasses.dataclass(frozen=True)
class SetAccount:
    """A change of an account's settings."""

    name: str
    assignments: tuple[Assignment, ...]


@dataclasses.dataclass(frozen=True)
class DropAccount:
    """The end of an account."""

    name: str


@dataclasses.dataclass(frozen=True)
class CreateKey:
    """A new key of an account; its secret is shown once.

    :param lifetime_s: after which it expires, zero for never
    """

    name: str
    account: str
    lifetime_s: float = 0


@dataclasses.dataclass(frozen=True)
class RevokeKey:
    """The end of a key."""

    name: str
    account: str


@dataclasses.dataclass(frozen=True)
class SetTarget:
    """A target is drained or takes work again.

    :param action: ``drain`` or ``resume``
    """

    action: str
    name: str


@dataclasses.dataclass(frozen=True)
class CreateTarget:
    """A new target of a service."""

    name: str
    service: str
    address: str
    data_center: str


@dataclasses.dataclass(frozen=True)
class DropTarget:
    """The end of a target."""

    name: str


Query = ShowUse | Show | OwnerStatement | CompareUse | Explain
ChangeStatement = (
    CreateOwner
    | CreateAccount
    | SetAccount
    | DropAccount
    | CreateKey
    | RevokeKey
    | SetTarget
    | CreateTarget
    | DropTarget
    | SetService
    | CreateToken
    | DropToken
)
Statement = Query | ChangeStatement


@dataclasses.dataclass(frozen=True)
class Table:
    """The answer to a statement."""

    columns: tuple[str, ...]
    rows: tuple[tuple[object, ...], ...]
    note: str = ''
