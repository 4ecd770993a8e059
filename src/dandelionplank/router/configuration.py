"""Task that keeps the active configuration up to date.

Two instances of each data centre watch the key-value service. The other
instances see a higher revision in probes and fetch it from a peer, so that an
outage of the service prevents new changes but not their propagation.
"""

import asyncio
import time
from collections.abc import Callable

import msgspec

from dandelionplank.configuration.catalogue import Catalogue
from dandelionplank.configuration.model import (
    Payloads,
    decode_manifest,
    encode_manifest,
    join_shards,
)
from dandelionplank.configuration.repository import (
    ConfigurationRepository,
    StoredConfiguration,
)
from dandelionplank.errors import StoreError
from dandelionplank.events import Event
from dandelionplank.logs import log_event
from dandelionplank.messages import (
    ConfigurationRequest,
    ConfigurationSnapshot,
)
from dandelionplank.metrics import METRICS
from dandelionplank.router.links import LinkEvent, Links
from dandelionplank.router.membership import MembershipTask
from dandelionplank.routing.rendezvous import rank_instances

WATCHERS_PER_DATA_CENTER = 2
RELOAD_PERIOD_S = 5.0
RETRY_PAUSE_S = 0.5
MIN_REQUEST_INTERVAL_S = 0.3

Listener = Callable[[Catalogue], None]


class ConfigurationTask:
    """Loads, watches, propagates and applies configuration revisions."""

    def __init__(
        self,
        repository: ConfigurationRepository,
        links: Links,
        membership: MembershipTask,
    ) -> None:
        """Subscribe to configuration messages and the revisions of peers."""
        self.repository = repository
        self.links = links
        self.membership = membership
        self.listeners: list[Listener] = []
        self.revision = 0
        self.manifest_payload = b''
        self.payloads: Payloads = {}
        self.requested_at_s = 0.0
        self.store_is_down = False
        links.subscribe(
            (ConfigurationRequest, ConfigurationSnapshot),
            self.receive,
        )
        membership.revision_listeners.append(self.receive_revision)

    @property
    def is_watcher(self) -> bool:
        """Return whether this instance watches the service."""
        data_center = self.membership.table.own.data_center
        candidates = [
            name
            for name in self.membership.present
            if self.membership.data_center_of(name) == data_center
        ]
        ranked = rank_instances(f'watch/{data_center}', candidates)
        return self.links.own_id in ranked[:WATCHERS_PER_DATA_CENTER]

    async def run(self) -> None:
        """Load the configuration and watch it while in the watcher role."""
        while True:
            if self.is_watcher or not self.revision:
                await self.reload()
            if self.is_watcher and not self.store_is_down:
                await self._watch()
            else:
                await asyncio.sleep(RETRY_PAUSE_S)

    async def reload(self) -> None:
        """Read the newest revision from the service and apply it."""
        try:
            loaded = await self.repository.load()
        except (StoreError, msgspec.DecodeError) as error:
            self._record_store_state(is_down=True, reason=str(error))
            return
        self._record_store_state(is_down=False)
        self.apply(loaded)

    def apply(self, loaded: StoredConfiguration) -> None:
        """Activate a configuration if it is newer than the active one."""
        if loaded.manifest.revision <= self.revision:
            return
        self.revision = loaded.manifest.revision
        self.manifest_payload = encode_manifest(loaded.manifest)
        self.payloads = loaded.payloads
        self.membership.revision = self.revision
        METRICS.set_gauge('configuration_revision', self.revision)
        catalogue = Catalogue(loaded.configuration)
        for listener in self.listeners:
            listener(catalogue)
        log_event(Event.CONFIGURED, revision=self.revision)

    def receive_revision(self, peer: str, revision: int) -> None:
        """Request a peer's configuration if its revision is newer."""
        now_s = time.monotonic()
        requested_recently = (
            now_s - self.requested_at_s < MIN_REQUEST_INTERVAL_S
        )
        if revision <= self.revision or requested_recently:
            return
        self.requested_at_s = now_s
        self.links.send(peer, ConfigurationRequest(tuple(self.payloads)))

    def receive(self, sender: str, message: LinkEvent) -> None:
        """Respond to a request or apply a snapshot."""
        if isinstance(message, ConfigurationRequest):
            self._send_snapshot(sender, message)
        elif isinstance(message, ConfigurationSnapshot):
            self._apply_snapshot(message)

    async def _watch(self) -> None:
        """Apply changes as the service reports them, for one period.

        A watch may be dropped without notice, so it is renewed, and the
        value read again, once per period.
        """
        try:
            async with asyncio.timeout(RELOAD_PERIOD_S):
                watch = self.repository.store.watch(
                    self.repository.manifest_key,
                )
                async for _ in watch:
                    await self.reload()
        except TimeoutError:
            return
        except StoreError as error:
            self._record_store_state(is_down=True, reason=str(error))
        await asyncio.sleep(RETRY_PAUSE_S)

    def _send_snapshot(
        self, sender: str, request: ConfigurationRequest
    ) -> None:
        """Send the manifest and the shards that a peer lacks."""
        if not self.revision:
            return
        held = set(request.held)
        missing = {
            name: payload
            for name, payload in self.payloads.items()
            if name not in held
        }
        self.links.send(
            sender,
            ConfigurationSnapshot(self.manifest_payload, missing),
        )

    def _apply_snapshot(self, snapshot: ConfigurationSnapshot) -> None:
        """Apply a peer's configuration if it is newer and complete."""
        manifest = decode_manifest(snapshot.manifest)
        if manifest.revision <= self.revision:
            return
        known = {**self.payloads, **snapshot.shards}
        if any(name not in known for name in manifest.shards):
            return
        payloads = {name: known[name] for name in manifest.shards}
        configuration = join_shards(manifest.revision, payloads.values())
        self.apply(StoredConfiguration(manifest, configuration, payloads, 0))

    def _record_store_state(self, *, is_down: bool, reason: str = '') -> None:
        """Log when the service becomes unavailable or available again."""
        if is_down == self.store_is_down:
            return
        self.store_is_down = is_down
        if is_down:
            log_event(Event.STORE_DOWN, why=reason)
        else:
            log_event(Event.STORE_BACK)
