"""Settings of a gateway: frozen types, read from YAML and validated."""

from typing import Annotated

import msgspec

from dandelionplank.settings import Frozen, InstanceSettings, Port, Positive

AddressText = Annotated[str, msgspec.Meta(pattern=r'^[0-9.]+:\d{1,5}$')]
Share = Annotated[float, msgspec.Meta(gt=0, le=1)]


class GatewayListen(Frozen, frozen=True):
    """Addresses on which a gateway listens.

    :param peers: for reports of the other gateways, over UDP
    :param metrics_port: for metrics, on the address of the callers
    """

    callers: AddressText
    readiness: AddressText
    peers: AddressText
    metrics_port: Port = 9464


class GatewayStore(Frozen, frozen=True):
    """The platform's store and how it is used.

    :param call_timeout_s: longest wait for an answer
    :param presence_ttl_s: an instance that is silent this long has left
    :param target_report_s: period at which targets renew their entries
    """

    address: AddressText
    call_timeout_s: Positive = 0.5
    presence_ttl_s: Positive = 10.0
    target_report_s: Positive = 1.2


class GatewayBounds(Frozen, frozen=True):
    """Promises towards callers and operators.

    :param revoked_after_s: a revoked key is refused after this time
    :param grace_s: time from SIGTERM to the end of the process
    :param repeat_ratio: repeats per request that the fleet may make
    :param repeat_extra: repeats beyond it in a window
    :param repeat_window_s: length of the window
    """

    revoked_after_s: Positive = 5.0
    grace_s: Positive = 8.0
    repeat_ratio: Positive = 0.2
    repeat_extra: Positive = 56.0
    repeat_window_s: Positive = 10.0


class GatewaySettings(Frozen, frozen=True):
    """Everything one gateway reads at its start."""

    instance: InstanceSettings
    listen: GatewayListen
    store: GatewayStore
    bounds: GatewayBounds = GatewayBounds()
    log_level: str = 'INFO'
