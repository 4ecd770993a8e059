"""State that is shared by all calls of one entry."""

import asyncio
import dataclasses
import itertools
import random
import time
from collections.abc import Coroutine
from typing import Any

from dandelionplank.configuration.catalogue import Catalogue
from dandelionplank.errors import ErrorCode, Outcome, RefusalError
from dandelionplank.fairness.cost import CostEstimator, Usage
from dandelionplank.ledger.usage import Receipt, UsageLedger
from dandelionplank.messages import Ticket
from dandelionplank.router.calls import Call
from dandelionplank.router.intents import IntentTask
from dandelionplank.router.observations import ObservationTask
from dandelionplank.router.targets import TargetConnections
from dandelionplank.router.tickets import TicketTask
from dandelionplank.routing.rendezvous import pick_instance
from dandelionplank.routing.retries import RetryBudget
from dandelionplank.settings import Settings
from dandelionplank.targets import Target


@dataclasses.dataclass
class Entry:
    """Holds the shared state of a router that serves callers.

    :param incarnation: name of this run of the instance
    :param catalogue: the current configuration. None until one is received
    """

    settings: Settings
    incarnation: str
    tickets: TicketTask
    observations: ObservationTask
    connections: TargetConnections
    intents: IntentTask
    ledger: UsageLedger
    estimator: CostEstimator = dataclasses.field(default_factory=CostEstimator)
    catalogue: Catalogue | None = None
    is_leaving: bool = False
    open_calls: int = 0
    background_tasks: 'set[asyncio.Task[Any]]' = dataclasses.field(
        default_factory=set,
    )
    sequence: 'itertools.count[int]' = dataclasses.field(
        default_factory=itertools.count,
    )

    def __post_init__(self) -> None:
        """Create the random generator and the retry and hedge budgets."""
        self.rng = random.Random(self.incarnation)
        ratio = self.settings.dispatch.retry_budget_ratio
        self.retry_budget = RetryBudget(ratio)
        self.hedge_budget = RetryBudget(
            self.settings.dispatch.hedge_budget_ratio
        )

    def start_background(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine that no caller awaits."""
        task = asyncio.get_running_loop().create_task(work)
        self.background_tasks.add(task)
        task.add_done_callback(self.finish_background)

    def finish_background(self, task: 'asyncio.Task[Any]') -> None:
        """Discard a finished task and retrieve its exception."""
        self.background_tasks.discard(task)
        if not task.cancelled():
            task.exception()

    def new_request_id(self) -> str:
        """Return a request id that is unique in the fleet."""
        return f'{self.incarnation}-{next(self.sequence):x}'

    def require_catalogue(self) -> Catalogue:
        """Return the current configuration.

        :raises RefusalError: no configuration has been received yet
        """
        if self.catalogue is None:
            raise RefusalError(
                step='ready',
                code=ErrorCode.NOT_READY,
                retry_after_s=1,
            )
        return self.catalogue

    def pools_for(self, call: Call) -> tuple[str, ...]:
        """Return the pools in which a call may run, the preferred one first.

        With several pools, the first is the less loaded of two, by this
        entry's waiting tickets: the one that the prompt's prefix hashes to,
        and a random one. The others follow in random order.

        :raises RefusalError: the service has no target
        """
        pools = self.require_catalogue().pools_by_service[call.contract.name]
        if not pools:
            raise RefusalError(
                step='route',
                peer=call.contract.name,
                request_id=call.id,
                code=ErrorCode.NO_TARGET,
                outcome=Outcome.NOT_RUN,
                retry_after_s=1,
            )
        names = [pool.name for pool in pools]
        if len(names) == 1:
            return (names[0],)
        self.rng.shuffle(names)
        preferred = pick_instance(f'prefix/{call.prefix}', names)
        first = min(preferred, names[0], key=self._count_waiting)
        names.remove(first)
        return (first, *names)

    def target_named(self, name: str, ticket: Ticket) -> Target:
        """Return the configured target of a grant.

        :raises RefusalError: a newer configuration has removed it
        """
        target = self.require_catalogue().targets.get(name)
        if target is None:
            raise RefusalError(
                step='route',
                peer=name,
                request_id=ticket.id,
                code=ErrorCode.NO_TARGET,
                retry_after_s=1,
            )
        return target

    def charge(self, call: Call, cost: float, usage: Usage) -> Receipt:
        """Charge a call once and return its receipt."""
        receipt = Receipt(
            f'r-{call.id}',
            call.account.name,
            call.contract.name,
            cost,
            usage.input_tokens,
            usage.output_tokens,
        )
        self.ledger.record_receipt(receipt, time.time())
        return receipt

    def _count_waiting(self, pool: str) -> int:
        """Return how many of this entry's tickets wait in a pool."""
        return len(self.tickets.pool_view(pool).waiting())
