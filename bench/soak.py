"""Injects random faults into a fleet of processes and checks its guarantees."""

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

import cyclopts

from bench.deposits import Deposits
from bench.fleet import Fleet, RouterProcess
from bench.load import Load
from bench.scenarios import deployment, steady, sum_metric

SETTLE_S = 1.0
FAULT_DURATION_S = (0.5, 4.0)

app = cyclopts.App(name='soak', help='Disturb a fleet at random.')


class Soak:
    """Injects random faults into a fleet under load until a violation."""

    def __init__(self, fleet: Fleet, load: Load, seed: int) -> None:
        """Seed the random choices; nothing is disturbed yet."""
        self.fleet = fleet
        self.load = load
        self.rng = random.Random(seed)
        self.trace: list[str] = []
        self.violation = ''
        self.started_s = time.monotonic()

    async def run(self, seconds: float) -> None:
        """Inject faults until the time is over or a guarantee is violated."""
        faults = (
            self.kill_router,
            self.freeze_router,
            self.stop_gracefully,
            self.cut_links,
            self.stop_store,
            self.slow_store,
            self.lose_store_answers,
            self.slow_target,
            self.cut_streams,
            self.silence_target,
            self.refuse_calls,
            self.drain_target,
        )
        while time.monotonic() - self.started_s < seconds:
            chosen = self.rng.sample(faults, self.rng.choice((1, 1, 2)))
            await asyncio.gather(*(fault() for fault in chosen))
            await asyncio.sleep(SETTLE_S)
            await self.check()
            if self.violation:
                return

    def record_event(self, text: str) -> None:
        """Add a line to the trace."""
        self.trace.append(f'{time.monotonic() - self.started_s:8.2f} {text}')

    async def check(self) -> None:
        """Check for wrong or truncated responses and violated invariants."""
        for _, outcome in self.load.outcomes:
            if outcome.has_mismatch:
                self.violation = f'wrong response: {outcome}'
            is_truncated = outcome.status == 200 and not outcome.is_complete
            if is_truncated and not outcome.refusal:
                self.violation = f'truncated response: {outcome}'
        violation_count = await sum_metric(
            self.fleet, 'invariant_violations_total'
        )
        if violation_count:
            self.violation = (
                f'{violation_count:g} invariant violations, see the logs'
            )

    async def sleep_for_duration(self) -> None:
        """Sleep for the random duration of a fault."""
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_S))

    def running_routers(self) -> list[RouterProcess]:
        """Return the routers whose processes are running."""
        return [
            each
            for each in self.fleet.routers
            if each.process and each.process.returncode is None
        ]

    async def kill_router(self) -> None:
        """Kill a router and restart it without its state."""
        router = self._choose_router('kill')
        if router and router.process:
            router.process.kill()
            await self._restart(router)

    async def stop_gracefully(self) -> None:
        """Let a router leave gracefully, and restart it."""
        router = self._choose_router('stop')
        if router and router.process:
            router.is_leaving = True
            router.process.terminate()
            await self._restart(router)

    async def freeze_router(self) -> None:
        """Suspend a router, so that its leases and links time out."""
        router = self._choose_router('freeze')
        if router and router.process:
            router.process.send_signal(19)
            await self.sleep_for_duration()
            if router.process.returncode is None:
                router.process.send_signal(18)
            self.record_event(f'wake {router.id}')

    async def cut_links(self) -> None:
        """Partition the routers into two groups, and heal the partition."""
        assert self.fleet.network is not None
        routers = list(self.fleet.routers)
        self.rng.shuffle(routers)
        split = self.rng.randrange(1, len(routers))
        self.record_event(f'cut off {[each.id for each in routers[:split]]}')
        self.fleet.network.partition(routers[:split], routers[split:])
        await self.sleep_for_duration()
        self.fleet.network.heal()
        self.record_event('join')

    async def stop_store(self) -> None:
        """Make the key-value service unavailable."""
        await self._inject_faults(self.fleet.store_url, down=True)

    async def slow_store(self) -> None:
        """Slow the key-value service down."""
        await self._inject_faults(self.fleet.store_url, delay_s=0.8)

    async def lose_store_answers(self) -> None:
        """Drop responses of the key-value service after their writes."""
        await self._inject_faults(self.fleet.store_url, lose_answers=0.4)

    async def slow_target(self) -> None:
        """Slow an engine down tenfold."""
        await self._inject_faults(self._random_engine_url(), slowdown=10.0)

    async def cut_streams(self) -> None:
        """Break an engine's streams after a few events."""
        await self._inject_faults(self._random_engine_url(), cut_after=15)

    async def silence_target(self) -> None:
        """Let an engine's streams fall silent."""
        await self._inject_faults(self._random_engine_url(), silent=True)

    async def refuse_calls(self) -> None:
        """Let a booking service refuse calls unexecuted, or drop responses."""
        url = self.rng.choice(self.fleet.targets['booking'])
        await self._inject_faults(url, refuse=0.5, lose_answers=0.3)

    async def drain_target(self) -> None:
        """Drain an engine and resume it."""
        number = self.rng.randrange(len(self.fleet.targets['assistant']))
        self.record_event(f'drain assistant-{number}')
        await self._run_statement(f'DRAIN TARGET assistant-{number}')
        await self.sleep_for_duration()
        await self._run_statement(f'RESUME TARGET assistant-{number}')

    def _random_engine_url(self) -> str:
        """Return the URL of a random engine."""
        return self.rng.choice(self.fleet.targets['assistant'])

    def _choose_router(self, action: str) -> RouterProcess | None:
        """Choose a running router and record what happens to it.

        Return None unless two others run.
        """
        running_routers = self.running_routers()
        if len(running_routers) < 3:
            return None
        router = self.rng.choice(running_routers)
        self.record_event(f'{action} {router.id}')
        return router

    async def _restart(self, router: RouterProcess) -> None:
        """Wait until a router has ended, and start it some time later."""
        assert router.process is not None
        await router.process.wait()
        await self.sleep_for_duration()
        await self.fleet.start_router(router)
        self.record_event(f'started {router.id}')

    async def _inject_faults(self, url: str, **faults: float) -> None:
        """Inject faults into a stand-in for a random duration."""
        self.record_event(f'{url} {faults}')
        await self.fleet.set_faults(url, **faults)
        await self.sleep_for_duration()
        await self.fleet.set_faults(url)

    async def _run_statement(self, statement: str) -> None:
        """Run an operator's statement on a random router; it may fail."""
        running_routers = self.running_routers()
        number = self.fleet.routers.index(self.rng.choice(running_routers))
        try:
            async with asyncio.timeout(3):
                await self.fleet.run_statement(statement, number)
        except (TimeoutError, OSError):
            self.record_event(f'failed: {statement}')


async def soak(seed: int, minutes: float) -> bool:
    """Run one soak and return whether no guarantee was violated."""
    plan = deployment('ro-centru', 'fair')
    async with Fleet(plan) as fleet:
        engines = plan.services[0].targets
        load = Load(fleet, steady(plan.routers, engines), seed)
        run = Soak(fleet, load, seed)
        deposits = Deposits(fleet, 'booking', seed)
        deposits_task = asyncio.create_task(deposits.run())
        load_task = asyncio.create_task(load.run(minutes * 60 + 5))
        await run.run(minutes * 60)
        deposits_task.cancel()
        counts = await deposits.count_violations()
        load.is_finished = True
        await load_task
        await run.check()
        for name in ('double_runs', 'false_not_run'):
            if counts[name] and not run.violation:
                run.violation = f'{name}: {counts[name]:g}'
        outcomes = [outcome for _, outcome in load.outcomes]
        complete = sum(outcome.is_complete for outcome in outcomes)
        incomplete = Counter(
            str(outcome.refusal.get('type'))
            for outcome in outcomes
            if not outcome.is_complete
        )
        print(
            f'seed {seed}: {complete} of {len(load.outcomes)} calls completed, '
            f'{counts["deposits"]:g} deposits, '
            f'{len(run.trace)} disturbances, incomplete: {dict(incomplete)}, '
            f'{run.violation or "no violation"}',
        )
        if run.violation:
            print('\n'.join(run.trace))
            print(f'logs: {Path(fleet.directory)}')
        return not run.violation


@app.default
def main(seed: int = 1, minutes: float = 1.0) -> None:
    """Disturb a fleet at random and check the guarantees.

    :param seed: seed of the disturbances and of the callers
    :param minutes: length of the run
    """
    sys.exit(0 if asyncio.run(soak(seed, minutes)) else 1)


if __name__ == '__main__':
    app()
