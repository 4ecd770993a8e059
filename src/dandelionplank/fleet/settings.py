"""Settings of a gateway: frozen types, read from YAML and validated."""

from typing import Annotated

import msgspec

from dandelionplank.settings import Frozen, Port

AddressText = Annotated[str, msgspec.Meta(pattern=r'^[0-9.]+:\d{1,5}$')]


# A name that the platform gives; it is part of a key of its store.
MAX_PLATFORM_NAME_LENGTH = 150
PlatformName = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_PLATFORM_NAME_LENGTH)
]
# Numbers up to which sums and timers are exact enough.
MAX_BOUND = 1e9
Limit = Annotated[float, msgspec.Meta(ge=0, le=MAX_BOUND)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=MAX_BOUND)]


class GatewayInstance(Frozen, frozen=True):
    """Identity and location of a gateway."""

    id: PlatformName
    data_center: PlatformName
    region: PlatformName


class GatewayListen(Frozen, frozen=True):
    """Addresses on which a gateway listens.

    :param peers: for reports of the other gateways, over UDP
    :param metrics_port: for metrics, on the IP address of ``callers``
    """

    callers: AddressText
    readiness: AddressText
    peers: AddressText
    metrics_port: Port = 9464


class GatewayStore(Frozen, frozen=True):
    """Address and timing of the platform's store.

    :param call_timeout_s: maximum wait for a response
    :param presence_ttl_s: an instance that is silent this long is removed
    :param target_report_s: period at which targets renew their entries
    """

    address: AddressText
    call_timeout_s: Seconds = 0.5
    presence_ttl_s: Seconds = 10.0
    target_report_s: Seconds = 1.2


class GatewayBounds(Frozen, frozen=True):
    """Guarantees to callers and operators.

    :param revoked_after_s: a revoked key is refused after this time
    :param grace_s: time from SIGTERM to the end of the process
    :param repeat_ratio: retries per request that the fleet may make
    :param repeat_extra: additional retries in a window
    :param repeat_window_s: length of the window
    """

    revoked_after_s: Seconds = 5.0
    grace_s: Limit = 8.0
    repeat_ratio: Limit = 0.2
    repeat_extra: Limit = 56.0
    repeat_window_s: Seconds = 10.0


class GatewayLimits(Frozen, frozen=True):
    """What the machine grants this process; zero if it is not known.

    :param memory_mb: memory beyond which the process is killed
    :param file_descriptors: files and sockets that it may have open
    :param processor_share: part of the machine's processors
    :param processor_speed: speed of a whole machine, in cores
    """

    memory_mb: Limit = 0
    file_descriptors: Limit = 0
    processor_share: Limit = 0
    processor_speed: Limit = 0

    @property
    def processor_cores(self) -> float:
        """Return the cores that the process may use."""
        return self.processor_share * self.processor_speed


class GatewaySettings(Frozen, frozen=True):
    """All settings of a gateway."""

    instance: GatewayInstance
    listen: GatewayListen
    store: GatewayStore
    bounds: GatewayBounds = GatewayBounds()
    limits: GatewayLimits = GatewayLimits()
    log_level: str = 'INFO'
