"""Parsed statements of the operators' language."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ShowUse:
    """Query for usage, grouped and filtered.

    :param by: columns to group by
    :param since_s: length of the period shown, up to now
    :param subject: column to filter by, empty for no filter
    :param name: value that the column must have
    """

    by: tuple[str, ...] = ('account',)
    since_s: float = 86_400
    subject: str = ''
    name: str = ''


@dataclasses.dataclass(frozen=True)
class Show:
    """Query for a list of objects, such as accounts or targets."""

    topic: str


@dataclasses.dataclass(frozen=True)
class OwnerStatement:
    """Query for an owner's usage statement, printed or recomputed.

    :param verb: ``print`` or ``verify``
    """

    verb: str
    owner: str
    since_s: float = 86_400


@dataclasses.dataclass(frozen=True)
class CompareUse:
    """Query that compares charged usage with usage reported by targets."""

    since_s: float = 86_400


@dataclasses.dataclass(frozen=True)
class Explain:
    """Query for the routing decisions made for a request."""

    request_id: str


@dataclasses.dataclass(frozen=True)
class Assignment:
    """New value of one setting."""

    setting: str
    level: float


@dataclasses.dataclass(frozen=True)
class SetService:
    """Change of a service's settings."""

    name: str
    assignments: tuple[Assignment, ...]


@dataclasses.dataclass(frozen=True)
class CreateToken:
    """Creation of an operator token; its secret is shown once."""

    name: str
    role: str
    owner: str = ''


@dataclasses.dataclass(frozen=True)
class DropToken:
    """Removal of an operator token."""

    name: str


@dataclasses.dataclass(frozen=True)
class CreateOwner:
    """Creation of an owner."""

    name: str


@dataclasses.dataclass(frozen=True)
class CreateAccount:
    """Creation of a client account."""

    name: str
    owner: str
    share: float = 1.0


@dataclasses.dataclass(frozen=True)
class SetAccount:
    """Change of an account's settings."""

    name: str
    assignments: tuple[Assignment, ...]


@dataclasses.dataclass(frozen=True)
class DropAccount:
    """Removal of an account."""

    name: str


@dataclasses.dataclass(frozen=True)
class CreateKey:
    """Creation of an account's key; its secret is shown once.

    :param lifetime_s: time until the key expires, zero for no expiry
    """

    name: str
    account: str
    lifetime_s: float = 0


@dataclasses.dataclass(frozen=True)
class RevokeKey:
    """Revocation of a key."""

    name: str
    account: str


@dataclasses.dataclass(frozen=True)
class SetTarget:
    """Change of a target's state: draining or active.

    :param action: ``drain`` or ``resume``
    """

    action: str
    name: str


@dataclasses.dataclass(frozen=True)
class CreateTarget:
    """Creation of a target of a service."""

    name: str
    service: str
    address: str
    data_center: str


@dataclasses.dataclass(frozen=True)
class DropTarget:
    """Removal of a target."""

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
    """Response to a statement.

    :param note: remark printed below the rows, empty for none
    """

    columns: tuple[str, ...]
    rows: tuple[tuple[object, ...], ...]
    note: str = ''
