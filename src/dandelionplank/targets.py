"""Targets: the model engines and plain services that execute calls."""

import enum

from dandelionplank.settings import Address, Frozen, Name


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
    """

    name: Name
    service: Name
    address: Address
    data_center: Name
    state: TargetState = TargetState.ACTIVE
    checks_fencing: bool = False
    limit: int = 0
    started_ms: int = 0
    version: str = ''

    @property
    def url(self) -> str:
        """Return the base URL of the target."""
        return f'http://{self.address.text}'
