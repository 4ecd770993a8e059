"""Task that withdraws an overloaded instance from the balancer's rotation."""

import asyncio
import time
from collections.abc import Callable

from dandelionplank.events import Event
from dandelionplank.fleet.exchange import PeerExchange
from dandelionplank.fleet.peers import PeerReport
from dandelionplank.fleet.settings import GatewaySettings
from dandelionplank.ingress.overload import OverloadControl
from dandelionplank.ingress.readiness import InstanceState, LoadReadiness
from dandelionplank.logs import log_event
from dandelionplank.metrics import METRICS

UPDATE_PERIOD_S = 0.1
# Instances with as many cores or more are not withdrawn: deployments with 1.07
# cores and more are served as before. Instances of 0.387 core collapsed.
SMALL_CORES = 1.0


class RotationTask:
    """Measures the load of this instance and decides whether it is ready."""

    def __init__(
        self,
        settings: GatewaySettings,
        readiness: LoadReadiness,
        overload: OverloadControl,
        exchange: PeerExchange,
        connection_share: Callable[[], float],
    ) -> None:
        """Hold the parts of the decision.

        :param connection_share: returns the open connections of callers, as a
            share of their bound
        """
        self.data_center = settings.instance.data_center
        self.is_small = 0 < settings.limits.processor_cores < SMALL_CORES
        self.readiness = readiness
        self.overload = overload
        self.exchange = exchange
        self.connection_share = connection_share
        exchange.complete_report = self.complete_report

    async def run(self) -> None:
        """Decide periodically until cancelled."""
        while True:
            self.update(time.monotonic())
            await asyncio.sleep(UPDATE_PERIOD_S)

    def update(self, now_s: float) -> None:
        """Measure the load, decide, and tell the others of a change at once."""
        share = self.connection_share()
        self.overload.connection_share = share
        if not self.is_small:
            return
        figures = self.readiness.figures
        figures.connection_share = share
        figures.refused_share = self.overload.refused_share
        was_withdrawn = self.readiness.is_withdrawn
        changed_s = self.readiness.changed_s
        others = self._others()
        if self.readiness.update(others, now_s):
            self.exchange.send_report()
        if self.readiness.is_withdrawn != was_withdrawn:
            self._log_change(others, now_s - changed_s)

    def complete_report(self, report: PeerReport) -> PeerReport:
        """Return a report with the state of this instance."""
        return report.with_rotation(
            self.data_center,
            self.readiness.announced_pressure,
            is_withdrawn=self.readiness.is_withdrawn,
        )

    def _others(self) -> list[InstanceState]:
        """Return the other known instances of this data centre."""
        return [
            InstanceState(
                name,
                received.report.pressure,
                received.report.is_withdrawn,
                received.report.is_leaving,
            )
            for name, received in self.exchange.peer_loads.reports.items()
            if received.report.data_center == self.data_center
        ]

    def _log_change(self, others: list[InstanceState], after_s: float) -> None:
        """Log a withdrawal or its end, with the figures that decided."""
        is_withdrawn = self.readiness.is_withdrawn
        figures = self.readiness.figures
        METRICS.add(
            'readiness_changes_total',
            change='withdrawn' if is_withdrawn else 'restored',
        )
        fields = {} if is_withdrawn else {'withdrawn_s': round(after_s, 2)}
        log_event(
            Event.READINESS_WITHDRAWN
            if is_withdrawn
            else Event.READINESS_RESTORED,
            delay_s=round(figures.delay_s, 3),
            connection_share=round(figures.connection_share, 3),
            refused_share=round(figures.refused_share, 3),
            instances=len(others) + 1,
            others_withdrawn=sum(each.is_withdrawn for each in others),
            **fields,
        )
