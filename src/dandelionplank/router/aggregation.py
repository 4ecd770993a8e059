"""Task that adds up the charges of services with several pools."""

import time

from dandelionplank.fairness.totals import ServiceTotals
from dandelionplank.messages import ForeignTotals, PoolTotals
from dandelionplank.metrics import METRICS
from dandelionplank.router.links import LinkEvent, Links


class AggregationTask:
    """Answers the reports of dispatchers.

    Which instance aggregates a service is decided by the dispatchers, by
    rendezvous hashing; one that is asked does it. A new one learns all
    figures from the next reports, since they are cumulative.
    """

    def __init__(self, links: Links) -> None:
        """Subscribe to the reports."""
        self.links = links
        self.services: dict[str, ServiceTotals] = {}
        links.subscribe((PoolTotals,), self.receive)

    def receive(self, sender: str, message: LinkEvent) -> None:
        """Take in one report and answer it."""
        if not isinstance(message, PoolTotals):
            return
        METRICS.add('total_reports_total')
        totals = self.services.setdefault(message.service, ServiceTotals())
        news = totals.report(message, time.monotonic())
        if news:
            self.links.send(sender, ForeignTotals(message.pool, news))
