"""What the tasks of one entry share while they serve calls."""

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
from dandelionplank.ledger.usage import Receipt, UseLedger
from dandelionplank.messages import Ticket
from dandelionplank.router.calls import Call
from dandelionplank.router.intents import IntentTask
from dandelionplank.router.observations import ObservationTask
from dandelionplank.router.targets import TargetConnections
from dandelionplank.router.tickets import TicketTask
from dandelionplank.routing.rendezvous import pick_instance
from dandelionplank.routing.retries import RepeatBudget
from dandelionplank.settings import Settings
from dandelionplank.targets import Target


@dataclasses.dataclass
class Entry:
    """One router's part towards callers.

    :param incarnation: name of this run of the instance
    :param catalogue: the configuration in force, none before the first one
    """

    settings: Settings
    incarnation: str
    tickets: TicketTask
    observations: ObservationTask
    connections: TargetConnections
    intents: IntentTask
    ledger: UseLedger
    estimator: CostEstimator = dataclasses.field(default_factory=CostEstimator)
    catalogue: Catalogue | None = None
    is_leaving: bool = False
    open_calls: int = 0
    background: 'set[asyncio.Task[Any]]' = dataclasses.field(
        default_factory=set,
    )
    sequence: 'itertools.count[int]' = dataclasses.field(
        default_factory=itertools.count,
    )

    def __post_init__(self) -> None:
        """Build the budgets of repeated work from the settings."""
        self.rng = random.Random(self.incarnation)
        ratio = self.settings.dispatch.retry_budget_ratio
        self.retries = RepeatBudget(ratio)
        self.hedges = RepeatBudget(self.settings.dispatch.hedge_budget_ratio)

    def start_background(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run something that no caller waits for."""
        task = asyncio.get_running_loop().create_task(work)
        self.background.add(task)
        task.add_done_callback(self.finish_background)

    def finish_background(self, task: 'asyncio.Task[Any]') -> None:
        """Forget a task and take note of its error."""
        self.background.discard(task)
        if not task.cancelled():
            task.exception()

    def new_request_id(self) -> str:
        """Return an id that no other call of the fleet has."""
        return f'{self.incarnation}-{next(self.sequence):x}'

    def ready_catalogue(self) -> Catalogue:
        """Return the configuration in force.

        :raises RefusalError: there is none yet, or the instance leaves
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

        With several pools, the first is the better of two choices: the one
        that the prompt's prefix points to, and one at random. The others
        follow in random order.

        :raises RefusalError: the service has no target
        """
        pools = self.ready_catalogue().pools_of_service[call.contract.name]
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
        first = min(preferred, names[0], key=self._waiting_in)
        names.remove(first)
        return (first, *names)

    def target_named(self, name: str, ticket: Ticket) -> Target:
        """Return a granted target.

        :raises RefusalError: a newer configuration has removed it
        """
        target = self.ready_catalogue().targets.get(name)
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
        self.ledger.record(receipt, time.time())
        return receipt

    def _waiting_in(self, pool: str) -> int:
        """Return how many of this entry's tickets wait in a pool."""
        return len(self.tickets.view_of(pool).waiting())
