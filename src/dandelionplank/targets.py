"""Targets: the model engines and plain services that execute calls."""

import enum
from typing import Annotated

import msgspec

from dandelionplank.settings import Address, Frozen, Name

# Largest numbers that messages between instances and sums can hold.
MAX_TARGET_LIMIT = 1_000_000
MAX_UNIX_MS = 9_007_199_254_740_991

TargetLimit = Annotated[int, msgspec.Meta(ge=0, le=MAX_TARGET_LIMIT)]
UnixMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]


class TargetState(enum.StrEnum):
    """Whether a target may be given new work."""

    ACTIVE = 'active'
    DRAINING = 'draining'


class Target(Frozen, frozen=True):
    """One server that executes calls of a service.

    :param checks_fencing: it refuses orders with an outdated fencing token
    :param limit: initial limit on calls in flight, zero for the contract's
    :param started_ms: Unix time of its start, zero if not reported
    :param version: version of its software, empty if not reported
    :param cold_left_s: time for which it stays cold, counted from the writing
        of its entry, None if not reported
    """

    name: Name
    service: Name
    address: Address
    data_center: Name
    state: TargetState = TargetState.ACTIVE
    checks_fencing: bool = False
    limit: TargetLimit = 0
    started_ms: UnixMs = 0
    version: str = ''
    cold_left_s: float | None = None

    def is_same_start(self, other: 'Target') -> bool:
        """Return whether two entries of a target describe the same start."""
        return (
            self.started_ms == other.started_ms
            and self.version == other.version
        )

    @property
    def url(self) -> str:
        """Return the base URL of the target."""
        return f'http://{self.address.text}'
