"""Load of a scenario: callers of many accounts, and what they received."""

import asyncio
import dataclasses
import random
import time
from collections import defaultdict
from collections.abc import Sequence
from statistics import quantiles

from bench.callers import ChatOutcome, chat
from bench.fleet import Fleet, RouterProcess

SAMPLE_S = 0.05


@dataclasses.dataclass(frozen=True)
class CallerGroup:
    """Callers of one account that behave alike.

    :param routers: numbers of the routers that they use
    :param workers: callers that ask again as soon as they are answered
    :param rate: calls a second that come at random, for groups without
        workers
    :param start_s: begin of the group's load, from the start of the run
    :param ramp_s: time over which the workers begin one after the other
    :param kind: label for the figures
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
    """Cumulative service of every account at one moment."""

    at_s: float
    served: dict[str, float]


class Load:
    """Runs groups of callers against a fleet and records what they see."""

    def __init__(
        self,
        fleet: Fleet,
        groups: Sequence[CallerGroup],
        seed: int,
    ) -> None:
        """Start without outcomes."""
        self.fleet = fleet
        self.groups = groups
        self.rng = random.Random(seed)
        self.served: dict[str, float] = defaultdict(float)
        self.samples: list[Sample] = []
        self.outcomes: list[tuple[CallerGroup, ChatOutcome]] = []
        self.began_s = time.monotonic()
        self.is_over = False
        self.calls: set[asyncio.Task[None]] = set()
        self.number = 0

    async def run(self, seconds: float) -> None:
        """Keep the load up for a time, then let open calls end."""
        self.began_s = time.monotonic()
        tasks = [asyncio.create_task(self._sample())]
        for group in self.groups:
            if group.rate:
                tasks.append(asyncio.create_task(self._arrive(group)))
            for _ in range(group.workers):
                tasks.append(asyncio.create_task(self._work(group)))
        await asyncio.sleep(seconds)
        self.is_over = True
        await asyncio.wait([*tasks, *self.calls], timeout=40)
        for task in tasks:
            task.cancel()

    @property
    def elapsed_s(self) -> float:
        """Seconds since the load began."""
        return time.monotonic() - self.began_s

    def first_tokens(
        self, kind: str, since_s: float, until_s: float
    ) -> list[float]:
        """Return the times to the first token of answers to calls in a time."""
        return [
            outcome.first_s
            for group, outcome in self._sent(kind, since_s, until_s)
            if outcome.first_at_s
        ]

    def durations(
        self, kind: str, since_s: float, until_s: float
    ) -> list[float]:
        """Return the times to the end of answers to calls in a time."""
        return [
            outcome.ended_at_s - outcome.sent_at_s
            for group, outcome in self._sent(kind, since_s, until_s)
            if outcome.whole
        ]

    def on_tokens(self, account: str, tokens: int) -> None:
        """Count service as it arrives."""
        self.served[account] += tokens

    def _sent(
        self,
        kind: str,
        since_s: float,
        until_s: float,
    ) -> list[tuple[CallerGroup, ChatOutcome]]:
        """Return the outcomes of calls that were sent in a time."""
        return [
            (group, outcome)
            for group, outcome in self.outcomes
            if group.kind == kind
            and since_s <= outcome.sent_at_s - self.began_s < until_s
        ]

    async def _sample(self) -> None:
        """Note the cumulative service of all accounts now and then."""
        while not self.is_over:
            self.samples.append(Sample(self.elapsed_s, dict(self.served)))
            await asyncio.sleep(SAMPLE_S)

    async def _work(self, group: CallerGroup) -> None:
        """Ask again as soon as the answer is here."""
        ramp_s = group.ramp_s * self.rng.random()
        await asyncio.sleep(group.start_s + ramp_s)
        while not self.is_over and self.elapsed_s < group.end_s:
            outcome = await self._ask(group)
            if not outcome.whole:
                await asyncio.sleep(0.1)

    async def _arrive(self, group: CallerGroup) -> None:
        """Ask at random moments."""
        await asyncio.sleep(group.start_s)
        while not self.is_over and self.elapsed_s < group.end_s:
            task = asyncio.create_task(self._ask_once(group))
            self.calls.add(task)
            task.add_done_callback(self.calls.discard)
            await asyncio.sleep(self.rng.expovariate(group.rate))

    async def _ask_once(self, group: CallerGroup) -> None:
        """Ask once."""
        await self._ask(group)

    async def _ask(self, group: CallerGroup) -> ChatOutcome:
        """Send one chat and keep its outcome."""
        self.number += 1
        prompt = f'{group.account} {self.number} '.ljust(
            group.prompt_bytes, 'x'
        )
        router = self._balance(group)
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

    def _balance(self, group: CallerGroup) -> RouterProcess:
        """Choose a router as the balancer does: one that runs."""
        running = [
            each
            for each in self.fleet.routers
            if each.process
            and each.process.returncode is None
            and not each.is_leaving
        ]
        usual = [self.fleet.routers[number] for number in group.routers]
        preferred = [each for each in usual if each in running]
        return self.rng.choice(preferred or running)


def percentile(figures: Sequence[float], percent: int) -> float:
    """Return a percentile, not a number if there are too few figures."""
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

    :param shares: shares of the accounts that were backlogged all the time
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
    """Return the longest time in which an account received nothing."""
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
