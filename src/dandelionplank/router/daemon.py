"""The router daemon: creates all tasks, runs them and shuts down."""

import asyncio
import contextlib
import random
import signal
import time
from collections.abc import Coroutine
from typing import Any, Self

from aiohttp import web

from dandelionplank.configuration.catalogue import Catalogue
from dandelionplank.configuration.repository import ConfigurationRepository
from dandelionplank.events import Event
from dandelionplank.ledger.repository import UsageRepository
from dandelionplank.ledger.usage import UsageLedger
from dandelionplank.logs import log_event
from dandelionplank.platform.etcd import EtcdStore
from dandelionplank.platform.instancelist import HttpInstanceList
from dandelionplank.router.administration import AdministrationInterface
from dandelionplank.router.aggregation import AggregationTask
from dandelionplank.router.callers import CallerInterface
from dandelionplank.router.closing import PeriodClosingTask
from dandelionplank.router.configuration import ConfigurationTask
from dandelionplank.router.dispatch import DispatchTask
from dandelionplank.router.entry import Entry
from dandelionplank.router.idle import IdleConnectionTask
from dandelionplank.router.intents import IntentTask
from dandelionplank.router.links import Links
from dandelionplank.router.membership import MembershipTask, leaving_targets
from dandelionplank.router.observations import ObservationTask
from dandelionplank.router.targets import TargetConnections
from dandelionplank.router.tickets import TicketTask
from dandelionplank.router.tls import (
    PeerTls,
    ServerTls,
    authority_context,
)
from dandelionplank.router.usage import UsageTask
from dandelionplank.settings import Settings

INCARNATION_RANDOM_BITS = 10
HEX_BASE = 16
MS_PER_SECOND = 1000
DRAIN_POLL_S = 0.05
DRAIN_TIMEOUT_S = 600.0
READINESS_GRACE_S = 0.5
FLUSH_TIMEOUT_S = 10.0
LEAVING_TARGETS_PERIOD_S = 0.2


class RouterDaemon:
    """A router process with the tasks of all its roles."""

    def __init__(
        self,
        settings: Settings,
        store: EtcdStore,
        platform_list: HttpInstanceList,
    ) -> None:
        """Create the tasks; no socket is open yet."""
        self.settings = settings
        self.store = store
        self.platform_list = platform_list
        start_ms = int(time.time() * MS_PER_SECOND)
        incarnation_number = (
            start_ms << INCARNATION_RANDOM_BITS
        ) + random.getrandbits(
            INCARNATION_RANDOM_BITS,
        )
        incarnation = f'{settings.instance.id}-{incarnation_number:x}'
        self.membership = MembershipTask(
            settings, platform_list, incarnation_number
        )
        peers_tls = settings.listen.peers_tls
        self.links = Links(
            settings.instance.id,
            settings.membership,
            self.membership,
            PeerTls(peers_tls) if peers_tls else None,
        )
        self.dispatch = DispatchTask(
            settings.dispatch,
            self.links,
            self.membership,
        )
        self.aggregation = AggregationTask(self.links)
        tickets = TicketTask(settings.dispatch, self.links, self.membership)
        prefix = settings.platform.key_prefix
        self.repository = ConfigurationRepository(store, prefix)
        self.configuration = ConfigurationTask(
            self.repository,
            self.links,
            self.membership,
        )
        self.entry = Entry(
            settings,
            incarnation,
            tickets,
            ObservationTask(
                tickets,
                settings.dispatch.report_period_s,
                settings.callers.progress_timeout_s,
            ),
            TargetConnections.from_settings(settings.callers),
            IntentTask(
                store,
                prefix,
                settings.ledger,
                incarnation,
                self._is_alive,
            ),
            UsageLedger(incarnation, settings.ledger.period_s),
        )
        self.usage = UsageTask(
            self.entry.ledger,
            UsageRepository(store, prefix, settings.ledger.period_s),
            settings.ledger.flush_period_s,
        )
        self.period_closing = PeriodClosingTask(
            self.usage.repository,
            settings.ledger,
            self.membership,
        )
        self.idle = IdleConnectionTask(settings.callers)
        self.configuration.listeners.append(self._configure)
        self.stopping = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.runner: web.AppRunner | None = None

    @classmethod
    def from_settings(cls, settings: Settings) -> Self:
        """Create a daemon with clients for the platform's services."""
        platform = settings.platform
        return cls(
            settings,
            EtcdStore.from_url(
                platform.key_value_url,
                platform.call_timeout_s,
                authority_context(platform.authority_file),
            ),
            HttpInstanceList.from_url(
                platform.instance_list_url,
                settings.instance.id,
                platform.call_timeout_s,
            ),
        )

    async def run(self) -> None:
        """Serve until a signal requests a graceful shutdown."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stopping.set)
        await self.start()
        await self.stopping.wait()
        await self.shut_down()

    async def start(self) -> None:
        """Open all sockets and start all tasks."""
        await self.links.listen(self.settings.listen.peers)
        await self.membership.start()
        await self._listen_to_callers()
        if self.links.tls:
            self.tasks.append(start_task(self.links.tls.server_tls.run()))
        for work in (
            self.links.run(),
            self.membership.run(),
            self.configuration.run(),
            self.dispatch.run(),
            self.dispatch.report_totals(),
            self.entry.tickets.run(),
            self.entry.observations.run(),
            self.usage.run(),
            self.period_closing.run(),
            self._update_leaving_targets(),
            self.idle.run(),
        ):
            self.tasks.append(start_task(work))
        log_event(
            Event.STARTED,
            instance=self.settings.instance.id,
            callers=self.settings.listen.callers.text,
            peers=self.settings.listen.peers.text,
        )

    async def shut_down(self) -> None:
        """Leave the fleet, wait for open calls to end and stop."""
        self.entry.is_leaving = True
        log_event(Event.LEAVING, open_calls=self.entry.open_calls)
        await asyncio.sleep(READINESS_GRACE_S)
        self.dispatch.hand_over()
        await self.membership.leave()
        self.entry.tickets.reassign_tickets()
        await self._drain()
        await self.entry.intents.flush(FLUSH_TIMEOUT_S)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                await self._flush_usage()
        await self.close()
        log_event(Event.STOPPED, instance=self.settings.instance.id)

    async def close(self) -> None:
        """Close all sockets and cancel all tasks."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.runner:
            await self.runner.cleanup()
        await self.links.close()
        await self.entry.connections.close()
        await self.store.close()
        await self.platform_list.close()
        if self.membership.transport:
            self.membership.transport.close()

    async def _listen_to_callers(self) -> None:
        """Serve callers and operators over HTTP."""
        listen = self.settings.listen
        callers = self.settings.callers
        application = web.Application(
            client_max_size=callers.body_limit_bytes,
        )
        application.add_routes(CallerInterface(self.entry, self.idle).routes())
        application.add_routes(
            AdministrationInterface(
                self.entry,
                self.membership,
                self.repository,
                self.usage.repository,
            ).routes(),
        )
        application.on_response_prepare.append(self._announce_close)
        self.runner = web.AppRunner(
            application,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=callers.idle_timeout_s,
            max_line_size=callers.header_limit_bytes,
            max_field_size=callers.header_limit_bytes,
            shutdown_timeout=1,
        )
        await self.runner.setup()
        tls = ServerTls(listen.callers_tls) if listen.callers_tls else None
        if tls:
            self.tasks.append(start_task(tls.run()))
        site = web.TCPSite(
            self.runner,
            listen.callers.ip,
            listen.callers.port,
            backlog=listen.backlog_connections,
            ssl_context=tls.context if tls else None,
        )
        await site.start()
        self.idle.server = self.runner.server

    async def _announce_close(
        self, _: web.Request, response: web.StreamResponse
    ) -> None:
        """Close connections after their responses while the router leaves."""
        if self.entry.is_leaving:
            response.headers['Connection'] = 'close'
            response.force_close()

    async def _drain(self) -> None:
        """Wait until all open calls have ended, up to a time limit."""
        deadline_s = time.monotonic() + DRAIN_TIMEOUT_S
        while self.entry.open_calls and time.monotonic() < deadline_s:
            await asyncio.sleep(DRAIN_POLL_S)

    async def _flush_usage(self) -> None:
        """Write all usage, retrying while the service is unavailable."""
        while not await self.usage.flush():
            await asyncio.sleep(DRAIN_POLL_S)

    async def _update_leaving_targets(self) -> None:
        """Periodically pass the listed leaving targets to the dispatcher."""
        while True:
            await asyncio.sleep(LEAVING_TARGETS_PERIOD_S)
            self.dispatch.update_leaving_targets(
                leaving_targets(self.membership.listed),
            )

    def _configure(self, catalogue: Catalogue) -> None:
        """Apply a configuration to all tasks that use it."""
        first = self.entry.catalogue is None
        self.entry.catalogue = catalogue
        self.dispatch.configure(catalogue)
        if first:
            log_event(Event.READY, instance=self.settings.instance.id)

    def _is_alive(self, incarnation: str) -> bool:
        """Return whether an incarnation of an instance is still running.

        Refuting a suspicion also raises the incarnation number, but by less
        than a restart, so only the start time in its high bits is compared.
        """
        name, _, number = incarnation.rpartition('-')
        member = self.membership.table.members.get(name)
        if member is None or not member.is_present:
            return False
        start_ms = member.incarnation >> INCARNATION_RANDOM_BITS
        return start_ms == int(number, HEX_BASE) >> INCARNATION_RANDOM_BITS


def start_task(work: Coroutine[Any, Any, None]) -> 'asyncio.Task[None]':
    """Start a task of the daemon; log its failure and stop the process."""
    task = asyncio.get_running_loop().create_task(work)
    task.add_done_callback(_log_failure)
    return task


def _log_failure(task: 'asyncio.Task[None]') -> None:
    """Log the error of a failed task and start a graceful shutdown."""
    if task.cancelled() or task.exception() is None:
        return
    log_event(Event.TASK_FAILED, error=repr(task.exception()))
    signal.raise_signal(signal.SIGTERM)
