"""Instances of the fleet, as reported by the platform and by peers."""

import enum

import msgspec


class InstanceStatus(enum.IntEnum):
    """Liveness of an instance; within one incarnation the higher wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Instance(msgspec.Struct, frozen=True, array_like=True):
    """One machine that runs a router.

    :param incarnation: increases at every start and refuted suspicion
    :param address: ``ip:port`` for links and probes
    """

    id: str
    address: str
    data_center: str
    region: str
    incarnation: int
    status: InstanceStatus = InstanceStatus.ALIVE

    @property
    def is_present(self) -> bool:
        """Return whether the instance is alive or only suspected of failure."""
        return self.status in {InstanceStatus.ALIVE, InstanceStatus.SUSPECT}
