"""Task that adds up the charges of services with several pools."""

import time

from dandelionplank.fairness.totals import ServiceTotals
from dandelionplank.messages import PoolTotals, RemoteTotals
from dandelionplank.metrics import METRICS
from dandelionplank.router.links import LinkEvent, Links


class AggregationTask:
    """Replies to each pool's report with the charges of the other pools.

    The dispatchers choose the aggregator of a service by rendezvous hashing;
    any instance that receives a report acts as aggregator. A new aggregator
    receives all figures with the next reports, since they are cumulative.
    """

    def __init__(self, links: Links) -> None:
        """Subscribe to the reports of dispatchers."""
        self.links = links
        self.services: dict[str, ServiceTotals] = {}
        links.subscribe((PoolTotals,), self.receive)

    def receive(self, sender: str, message: LinkEvent) -> None:
        """Record a report and reply with the totals new to its pool."""
        if not isinstance(message, PoolTotals):
            return
        METRICS.add('total_reports_total')
        totals = self.services.setdefault(message.service, ServiceTotals())
        updates = totals.report(message, time.monotonic())
        if updates:
            self.links.send(sender, RemoteTotals(message.pool, updates))
