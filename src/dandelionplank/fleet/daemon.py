"""The gateway daemon: builds all tasks, runs them and shuts them down."""

import asyncio
import functools
import signal
import time
from pathlib import Path
from typing import Self

from dandelionplank.delivery.connections import ConnectionPool
from dandelionplank.delivery.delivery import Delivery
from dandelionplank.delivery.dispatch import Dispatcher
from dandelionplank.errors import StoreError
from dandelionplank.events import Event
from dandelionplank.fleet.adapter import PlatformAdapter
from dandelionplank.fleet.crashreports import CrashReporter
from dandelionplank.fleet.exchange import PeerExchange, keep_presence
from dandelionplank.fleet.follower import StoreFollower
from dandelionplank.fleet.owners import OwnerDirectory
from dandelionplank.fleet.peers import PeerLoadTable
from dandelionplank.fleet.poolclient import PoolClient
from dandelionplank.fleet.poolowner import PoolOwner
from dandelionplank.fleet.reload import SettingsFollower
from dandelionplank.fleet.rotation import RotationTask
from dandelionplank.fleet.settings import GatewayBounds, GatewaySettings
from dandelionplank.fleet.sockets import (
    Page,
    PageServer,
    open_when_possible,
)
from dandelionplank.fleet.streamrecords import StreamRecordKeeper
from dandelionplank.fleet.supervision import Supervisor, TaskFactory
from dandelionplank.fleet.view import FleetView
from dandelionplank.fleet.warmup import CacheWarmup
from dandelionplank.ingress.gateway import Gateway
from dandelionplank.ingress.server import CallerServer
from dandelionplank.logs import log_event
from dandelionplank.metrics import METRICS
from dandelionplank.routing.budget import RetryLimits, ServiceRetryBudgets
from dandelionplank.routing.pools import TargetPools
from dandelionplank.routing.scheduler import Scheduler
from dandelionplank.settings import Address

# The balancer removes an instance after two failed readiness checks, a second
# apart; until then new connections still arrive.
BALANCER_REMOVAL_S = 2.9
# Longest share of the grace that this wait may take.
BALANCER_GRACE_SHARE = 0.5
# Part of the grace that is reserved for closing.
CLOSE_RESERVE_S = 0.5
# Part of the grace that is reserved for the responses of requests ended by it.
LAST_RESPONSE_S = 0.2
DRAIN_POLL_S = 0.05
SWEEP_PERIOD_S = 0.5
LOAD_PERIOD_S = 1.0
# Shorter delays of the event loop are not logged.
LOGGED_LOOP_DELAY_S = 0.1
# While one of these fails, other instances serve callers better.
SERVING_TASKS = frozenset((Dispatcher.run.__qualname__,))
LEAVE_TIMEOUT_S = 0.3


class GatewayDaemon:
    """An instance that serves callers through the platform."""

    def __init__(
        self,
        settings: GatewaySettings,
        parts: PlatformAdapter,
        settings_path: Path,
    ) -> None:
        """Build all components; :meth:`start` opens the sockets.

        :param settings_path: file from which the settings are reloaded
        """
        self.parts = parts
        bounds = settings.bounds
        self.view = FleetView(bounds.revoked_after_s)
        self.peer_loads = PeerLoadTable()
        pools = TargetPools(
            self.view.targets_of, self.view.registry.is_withdrawn
        )
        self.scheduler = Scheduler(
            settings.instance.data_center,
            pools.targets_in,
            self.peer_loads,
            has_other_pools=pools.has_other_pools,
            is_withdrawn=pools.is_withdrawn,
        )
        self.view.listeners.append(self.scheduler.configure)
        self.scheduler.cold.set_allowance(bounds.cold_over, bounds.cold_slack)
        self.dispatcher = Dispatcher(self.scheduler)
        self.view.exclusion_listeners.append(self.dispatcher.exclude_targets)
        self.view.data_center_restored_listeners.append(self._count_as_cold)
        self.pool = ConnectionPool()
        self.exchange = PeerExchange(
            settings.instance.id,
            self.view,
            self.peer_loads,
            self.scheduler,
        )
        self.pool_owner = PoolOwner(
            settings.instance.id, self.dispatcher, self.exchange.send
        )
        self.pool_client = PoolClient(
            settings.instance.id,
            self.dispatcher,
            pools,
            OwnerDirectory(settings.instance.id, self.view, self.peer_loads),
            self.exchange.send,
        )
        self.exchange.receivers |= (
            self.pool_owner.receivers | self.pool_client.receivers
        )
        self.settings_follower = SettingsFollower(
            settings_path, settings, self._apply_settings
        )
        self.crashes = CrashReporter(
            self.exchange,
            self.pool,
            parts.quarantines,
            self.view.versions_of,
        )
        self.view.quarantine_listeners.append(self.crashes.learn)
        self.view.restoration_listeners.append(self.crashes.store_again)
        self.exchange.receivers.update(self.crashes.receivers)
        streams = StreamRecordKeeper(
            settings.instance.id,
            self.view,
            parts.stream_records,
            self._count_instances,
        )
        self.view.listeners.append(streams.configure)
        self.view.entry_listeners.append(streams.see_entry)
        self.view.restoration_listeners.append(streams.store_again)
        budgets = ServiceRetryBudgets(
            _retry_limits(bounds), self._count_instances
        )
        self.gateway = Gateway(
            self.view,
            Delivery(
                self.pool_client,
                self.pool,
                parts.codec,
                budgets,
                self.crashes.watch,
                streams,
            ),
            parts.codec,
            settings.limits,
            settings.instance.id,
        )
        self.gateway.loop_delay.listeners.append(self.pool_client.health)
        self.exchange.drop_listeners = (self.pool_client.health,)
        self.follower = StoreFollower(
            self.view,
            parts.source,
            settings.store.target_report_s,
            self._forget_targets,
            self.exchange,
        )
        self.follower.stream_listeners.append(streams.apply_record)
        self.warmup = CacheWarmup(
            self.view,
            self.scheduler,
            parts.fetch_cached_parts,
        )
        self.server = CallerServer(self.gateway, self.view)
        self.stopping = asyncio.Event()
        self.supervisor = Supervisor()
        self.pages = PageServer()

    @property
    def settings(self) -> GatewaySettings:
        """Return the settings in force."""
        return self.settings_follower.settings

    @property
    def budgets(self) -> ServiceRetryBudgets:
        """Return the retry budgets of the services."""
        return self.gateway.delivery.budgets

    @classmethod
    def from_settings(
        cls,
        settings: GatewaySettings,
        parts: PlatformAdapter,
        settings_path: Path,
    ) -> Self:
        """Build a daemon from its settings."""
        return cls(settings, parts, settings_path)

    async def run(self, held_signals: frozenset[signal.Signals]) -> None:
        """Serve until a signal requests a graceful shutdown.

        :param held_signals: signals that wait until there are handlers
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.add_signal_handler(
            signal.SIGHUP, self.settings_follower.signalled.set
        )
        signal.pthread_sigmask(signal.SIG_UNBLOCK, held_signals)
        await self._start_or_stop()
        await self.stopping.wait()
        self.gateway.grace.begin(
            self.settings.bounds.grace_s - CLOSE_RESERVE_S - LAST_RESPONSE_S
        )
        await self.shut_down()

    async def start(self) -> None:
        """Start all tasks and open all sockets, as soon as they can be opened.

        The page of the metrics may open later; no caller depends on it.
        """
        listen = self.settings.listen
        callers = Address.from_text(listen.callers)
        rotation = RotationTask(
            self.settings,
            self.gateway.readiness,
            self.gateway.overload,
            self.exchange,
            lambda: self.server.connection_share,
        )
        for run in (
            self.follower.run,
            self.follower.run_expiry,
            self.dispatcher.run,
            self.pool_owner.run_expiry,
            self.pool_client.run_listing,
            self.warmup.run,
            self.crashes.run_storing,
            self.gateway.delivery.origins.run,
            self.settings_follower.run,
            self._sweep,
            self.gateway.loop_delay.run,
            self._log_load,
            self._serve_metrics,
            self.pages.run_checks,
        ):
            self._spawn(run)
        await open_when_possible(
            'callers',
            listen.callers,
            functools.partial(self.server.listen, callers),
        )
        await self.pages.serve(
            Address.from_text(listen.readiness),
            self.parts.ready_path,
            self._readiness,
        )
        await open_when_possible(
            'peers',
            listen.peers,
            functools.partial(
                self.exchange.listen, Address.from_text(listen.peers)
            ),
        )
        for run_open in (
            self.exchange.run,
            self.crashes.run,
            self._keep_presence,
            self.server.idle.run,
            self.server.run_checks,
            rotation.run,
        ):
            self._spawn(run_open)
        log_event(
            Event.STARTED,
            instance=self.settings.instance.id,
            data_center=self.settings.instance.data_center,
            callers=listen.callers,
            store=self.settings.store.address,
        )

    async def shut_down(self) -> None:
        """Finish open requests within the grace, then leave the fleet."""
        start_s = time.monotonic()
        self.gateway.is_leaving = True
        self.exchange.is_leaving = True
        self.exchange.cold_owners.is_leaving = True
        log_event(Event.LEAVING, open_requests=self.gateway.open_requests)
        grace_s = self.settings.bounds.grace_s
        deadline_s = start_s + grace_s - CLOSE_RESERVE_S
        await asyncio.sleep(
            min(BALANCER_REMOVAL_S, grace_s * BALANCER_GRACE_SHARE)
        )
        self.server.stop_accepting()
        # An accepted connection is counted some turns later.
        await self.server.close_idle()
        # A request may have been read whose handler has not started yet, so
        # only closed connections show that none is open.
        while self.server.connection_count and time.monotonic() < deadline_s:
            await asyncio.sleep(DRAIN_POLL_S)
            await self.server.close_idle()
        await self._leave()
        log_event(
            Event.STOPPED,
            instance=self.settings.instance.id,
            open_requests=self.gateway.open_requests,
            open_connections=self.server.connection_count,
            took_s=round(time.monotonic() - start_s, 2),
        )

    async def _start_or_stop(self) -> None:
        """Start, unless a signal requests a shutdown meanwhile."""
        starting = asyncio.ensure_future(self.start())
        stopping = asyncio.ensure_future(self.stopping.wait())
        await asyncio.wait(
            (starting, stopping), return_when=asyncio.FIRST_COMPLETED
        )
        stopping.cancel()
        if self.stopping.is_set():
            starting.cancel()
            await asyncio.gather(starting, return_exceptions=True)
        else:
            await starting

    async def _leave(self) -> None:
        """Remove the presence entry, stop all tasks and close connections."""
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                await self.parts.presence.leave()
        except (StoreError, TimeoutError) as error:
            log_event(Event.LEASE_LOST, why=repr(error))
        await self.supervisor.cancel()
        self.pool.close()
        await self.parts.close()

    def _spawn(self, run: TaskFactory) -> None:
        """Start a supervised task."""
        self.supervisor.spawn(run.__qualname__, run)

    async def _keep_presence(self) -> None:
        """Keep this instance's entry in the store."""
        await keep_presence(
            self.parts.presence, self.settings.store.presence_ttl_s
        )

    async def _serve_metrics(self) -> None:
        """Serve the page of the metrics as soon as its port is free."""
        listen = self.settings.listen
        ip = Address.from_text(listen.callers).ip
        await self.pages.serve(
            Address(ip, listen.metrics_port),
            '/metrics',
            self._metrics,
            self.pages.queries,
        )

    def _is_ready(self) -> bool:
        """Return whether the balancer is to send callers to this instance."""
        is_ready = (
            self.view.is_loaded
            and not self.gateway.is_leaving
            and not self.gateway.readiness.is_withdrawn
            and self.supervisor.failing.isdisjoint(SERVING_TASKS)
        )
        if is_ready and self.view.is_stale:
            peers_age_s = self.peer_loads.min_view_age_s(time.monotonic())
            is_ready = peers_age_s > self.view.age_s
        METRICS.set_gauge('ready', float(is_ready))
        return is_ready

    def _readiness(self) -> Page:
        """Report to the balancer whether this instance is ready."""
        return Page.from_readiness(is_ready=self._is_ready())

    def _metrics(self) -> Page:
        """Return the metrics as text."""
        METRICS.set_gauge('open_requests', self.gateway.open_requests)
        METRICS.set_gauge('view_age_seconds', self.view.capped_age_s)
        METRICS.set_gauge('peers', len(self.peer_loads.reports))
        METRICS.set_gauge('excluded_targets', self.view.excluded_targets)
        return Page(METRICS.render())

    async def _sweep(self) -> None:
        """Close idle connections and update the cold targets periodically."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            self.pool.close_expired()
            now_s = time.monotonic()
            self.exchange.cold_owners.update(now_s)
            self.scheduler.cold.purge(now_s)

    async def _log_load(self) -> None:
        """Log once a second what limits the service of the accounts."""
        while True:
            await asyncio.sleep(LOAD_PERIOD_S)
            self.gateway.delivery.log_demand(self.scheduler.service_levels)
            self._log_owner_replies()
            delay_s = self.gateway.loop_delay.take_longest_s()
            METRICS.observe_s('loop_delay_seconds', delay_s)
            if delay_s >= LOGGED_LOOP_DELAY_S:
                log_event(
                    Event.LOOP_DELAYED,
                    delay_s=round(delay_s, 3),
                    open_requests=self.gateway.open_requests,
                    open_connections=self.server.connection_count,
                    processor_s=round(time.process_time(), 2),
                )

    def _log_owner_replies(self) -> None:
        """Log how owners replied since the last call, if one was silent."""
        replies = self.pool_client.owner_replies.take_report()
        if replies:
            suspected = self.pool_client.owners.count_suspected(
                time.monotonic()
            )
            log_event(Event.OWNERS_SILENT, **replies, suspected=suspected)

    def _forget_targets(self, names: tuple[str, ...]) -> None:
        """Drop connections and state of removed targets."""
        for name in names:
            self.pool.drop(name)
        self.scheduler.forget(names)

    def _count_as_cold(self, data_center: str) -> None:
        """Count the targets of a restored data centre as cold.

        They may have become so during its evacuation.
        """
        now_s = time.monotonic()
        for target in self.view.registry.targets.values():
            if target.data_center == data_center:
                self.scheduler.cold.count_as_cold(target, now_s)

    def _count_instances(self) -> int:
        """Return how many instances share the budgets."""
        return self.exchange.instance_count

    def _apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed bounds."""
        bounds = settings.bounds
        self.view.revoked_after_s = bounds.revoked_after_s
        self.budgets.update_limits(_retry_limits(bounds))
        self.scheduler.cold.set_allowance(bounds.cold_over, bounds.cold_slack)


def _retry_limits(bounds: GatewayBounds) -> RetryLimits:
    """Return the retry limits from the settings."""
    return RetryLimits(
        bounds.repeat_ratio,
        bounds.repeat_extra,
        bounds.repeat_window_s,
    )
