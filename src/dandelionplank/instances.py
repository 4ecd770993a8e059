"""Instances of the fleet as the platform and the peers describe them."""

import enum

import msgspec


class InstanceStatus(enum.IntEnum):
    """Liveness of an instance; at one incarnation the larger one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Instance(msgspec.Struct, frozen=True, array_like=True):
    """One machine that runs a router.

    :param incarnation: rises with every start and every refuted suspicion
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
        """Whether the instance may still play a role."""
        return self.status in {InstanceStatus.ALIVE, InstanceStatus.SUSPECT}
