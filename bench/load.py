"""Load of a scenario: callers of many client accounts, and their results."""

import asyncio
import dataclasses
import random
import time
from collections import defaultdict
from collections.abc import Sequence
from statistics import quantiles

from bench.callers import ChatOutcome, chat
from bench.fleet import Fleet, RouterProcess

SAMPLE_PERIOD_S = 0.05


@dataclasses.dataclass(frozen=True)
class CallerGroup:
    """Callers of one client account with the same behaviour.

    :param routers: numbers of the routers that they use
    :param workers: callers that send the next request as soon as a response
        is complete
    :param rate: calls per second at random (exponential) intervals, for
        groups without workers
    :param start_s: start of the group's load, from the start of the run
    :param ramp_s: time over which the workers start, each at a random moment
    :param kind: label that groups the outcomes in figures and plots
    """

    account: str
    routers: Sequence[int]
    tokens: int
    prompt_bytes: int = 60
    workers: int = 0
    rate: float = 0
    start_s: float = 0
    ramp_s: float = 0
    end_s: float = 1e9
    kind: str = 'chat'


@dataclasses.dataclass
class Sample:
    """Tokens received so far by every account at one moment."""

    at_s: float
    served: dict[str, float]


class Load:
    """Runs groups of callers against a fleet and records their outcomes."""

    def __init__(
        self,
        fleet: Fleet,
        groups: Sequence[CallerGroup],
        seed: int,
    ) -> None:
        """Hold the outcomes and samples of the load.

        :param seed: seed of the callers' random choices
        """
        self.fleet = fleet
        self.groups = groups
        self.rng = random.Random(seed)
        self.served: dict[str, float] = defaultdict(float)
        self.samples: list[Sample] = []
        self.outcomes: list[tuple[CallerGroup, ChatOutcome]] = []
        self.started_s = time.monotonic()
        self.is_finished = False
        self.calls: set[asyncio.Task[None]] = set()
        self.request_count = 0

    async def run(self, seconds: float) -> None:
        """Run the load for a time, then wait up to 40 s for open calls."""
        self.started_s = time.monotonic()
        tasks = [asyncio.create_task(self._record_samples())]
        for group in self.groups:
            if group.rate:
                tasks.append(asyncio.create_task(self._run_arrivals(group)))
            for _ in range(group.workers):
                tasks.append(asyncio.create_task(self._run_worker(group)))
        await asyncio.sleep(seconds)
        self.is_finished = True
        await asyncio.wait([*tasks, *self.calls], timeout=40)
        for task in tasks:
            task.cancel()

    @property
    def elapsed_s(self) -> float:
        """Seconds since the load started."""
        return time.monotonic() - self.started_s

    def first_tokens(
        self, kind: str, since_s: float, until_s: float
    ) -> list[float]:
        """Return the times to first token of calls sent in an interval."""
        return [
            outcome.first_token_s
            for group, outcome in self._outcomes_sent_in(kind, since_s, until_s)
            if outcome.first_token_at_s
        ]

    def durations(
        self, kind: str, since_s: float, until_s: float
    ) -> list[float]:
        """Return the durations of complete calls sent in an interval."""
        return [
            outcome.ended_at_s - outcome.sent_at_s
            for group, outcome in self._outcomes_sent_in(kind, since_s, until_s)
            if outcome.is_complete
        ]

    def on_tokens(self, account: str, tokens: int) -> None:
        """Add received tokens to the service of an account."""
        self.served[account] += tokens

    def _outcomes_sent_in(
        self,
        kind: str,
        since_s: float,
        until_s: float,
    ) -> list[tuple[CallerGroup, ChatOutcome]]:
        """Return the outcomes of calls that were sent in an interval."""
        return [
            (group, outcome)
            for group, outcome in self.outcomes
            if group.kind == kind
            and since_s <= outcome.sent_at_s - self.started_s < until_s
        ]

    async def _record_samples(self) -> None:
        """Record the cumulative service of all accounts periodically."""
        while not self.is_finished:
            self.samples.append(Sample(self.elapsed_s, dict(self.served)))
            await asyncio.sleep(SAMPLE_PERIOD_S)

    async def _run_worker(self, group: CallerGroup) -> None:
        """Send one request after the other until the group's load ends."""
        ramp_s = group.ramp_s * self.rng.random()
        await asyncio.sleep(group.start_s + ramp_s)
        while not self.is_finished and self.elapsed_s < group.end_s:
            outcome = await self._send_chat(group)
            if not outcome.is_complete:
                await asyncio.sleep(0.1)

    async def _run_arrivals(self, group: CallerGroup) -> None:
        """Send requests at random intervals until the group's load ends."""
        await asyncio.sleep(group.start_s)
        while not self.is_finished and self.elapsed_s < group.end_s:
            task = asyncio.create_task(self._run_chat(group))
            self.calls.add(task)
            task.add_done_callback(self.calls.discard)
            await asyncio.sleep(self.rng.expovariate(group.rate))

    async def _run_chat(self, group: CallerGroup) -> None:
        """Send one chat in a task of its own, without a result."""
        await self._send_chat(group)

    async def _send_chat(self, group: CallerGroup) -> ChatOutcome:
        """Send one chat and record its outcome."""
        self.request_count += 1
        prompt = f'{group.account} {self.request_count} '.ljust(
            group.prompt_bytes, 'x'
        )
        router = self._choose_router(group)
        assert self.fleet.session is not None
        outcome = await chat(
            self.fleet.session,
            router.url,
            group.account,
            prompt,
            group.tokens,
            on_tokens=self.on_tokens,
        )
        self.outcomes.append((group, outcome))
        return outcome

    def _choose_router(self, group: CallerGroup) -> RouterProcess:
        """Choose a running router, as a load balancer does."""
        running = [
            each
            for each in self.fleet.routers
            if each.process
            and each.process.returncode is None
            and not each.is_leaving
        ]
        assigned = [self.fleet.routers[number] for number in group.routers]
        preferred = [each for each in assigned if each in running]
        return self.rng.choice(preferred or running)


def percentile(figures: Sequence[float], percent: int) -> float:
    """Return a percentile, NaN for fewer than two figures."""
    if len(figures) < 2:
        return float('nan')
    return quantiles(figures, n=100)[percent - 1]


def service_gap(
    samples: Sequence[Sample],
    shares: dict[str, float],
    since_s: float,
    until_s: float,
) -> float:
    """Return the largest gap in service per share between two accounts.

    The gap of a pair over any interval is the range of the difference of
    their cumulative services.

    :param shares: shares of the accounts that were backlogged throughout
    """
    window = [each for each in samples if since_s <= each.at_s <= until_s]
    names = sorted(shares)
    largest = 0.0
    for index, left in enumerate(names):
        for right in names[index + 1 :]:
            gaps = [
                each.served.get(left, 0) / shares[left]
                - each.served.get(right, 0) / shares[right]
                for each in window
            ]
            if gaps:
                largest = max(largest, max(gaps) - min(gaps))
    return largest


def longest_starvation(
    samples: Sequence[Sample],
    accounts: Sequence[str],
    since_s: float,
    until_s: float,
) -> float:
    """Return the longest time in which any account received no token."""
    longest = 0.0
    for account in accounts:
        last_s, level = since_s, -1.0
        for each in samples:
            if not since_s <= each.at_s <= until_s:
                continue
            served = each.served.get(account, 0)
            if served > level:
                last_s, level = each.at_s, served
            longest = max(longest, each.at_s - last_s)
    return longest
