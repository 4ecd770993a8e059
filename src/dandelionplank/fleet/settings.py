"""Settings of a gateway: frozen types, read from YAML and validated."""

from typing import Annotated

import msgspec

from dandelionplank.settings import Frozen, InstanceSettings, Port, Positive

AddressText = Annotated[str, msgspec.Meta(pattern=r'^[0-9.]+:\d{1,5}$')]
Share = Annotated[float, msgspec.Meta(gt=0, le=1)]


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
    call_timeout_s: Positive = 0.5
    presence_ttl_s: Positive = 10.0
    target_report_s: Positive = 1.2


class GatewayBounds(Frozen, frozen=True):
    """Guarantees to callers and operators.

    :param revoked_after_s: a revoked key is refused after this time
    :param grace_s: time from SIGTERM to the end of the process
    :param repeat_ratio: retries per request that the fleet may make
    :param repeat_extra: additional retries in a window
    :param repeat_window_s: length of the window
    """

    revoked_after_s: Positive = 5.0
    grace_s: Positive = 8.0
    repeat_ratio: Positive = 0.2
    repeat_extra: Positive = 56.0
    repeat_window_s: Positive = 10.0


class GatewaySettings(Frozen, frozen=True):
    """All settings of a gateway."""

    instance: InstanceSettings
    listen: GatewayListen
    store: GatewayStore
    bounds: GatewayBounds = GatewayBounds()
    log_level: str = 'INFO'
