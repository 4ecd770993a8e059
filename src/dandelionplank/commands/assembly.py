"""Assembles a gateway with the platform's adapter."""

from pathlib import Path

from dandelionplank.fleet.adapter import PlatformAdapter
from dandelionplank.fleet.daemon import GatewayDaemon
from dandelionplank.fleet.explainer import EXPLAIN_PATH, Explainer
from dandelionplank.fleet.settings import GatewaySettings
from dandelionplank.platform import headers, names
from dandelionplank.platform.engines import fetch_cached_parts
from dandelionplank.platform.follow import (
    StoreChangeSource,
    StorePresence,
    StoreQuarantines,
    StoreStreamRecords,
)
from dandelionplank.platform.store import PlatformStore


def build_daemon(settings: GatewaySettings, path: Path) -> GatewayDaemon:
    """Build a gateway that uses the platform's adapter.

    :param path: file that the settings were loaded from
    """
    store = PlatformStore.from_address(
        settings.store.address,
        settings.store.call_timeout_s,
    )
    adapter = PlatformAdapter(
        StoreChangeSource(store),
        StorePresence(store, settings.instance.id, settings.listen.peers),
        headers,
        names.READY_PATH,
        fetch_cached_parts,
        StoreQuarantines(store),
        StoreStreamRecords(store, settings.instance.id),
        store.close,
    )
    daemon = GatewayDaemon.from_settings(settings, adapter, path)
    explainer = Explainer(
        daemon.view, daemon.pool_client, daemon.exchange.cold_owners
    )
    daemon.pages.queries[EXPLAIN_PATH] = explainer.answer
    return daemon
