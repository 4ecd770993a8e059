"""Long randomised run over real processes, with promises checked all along."""

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

CALM_S = 1.0
FAULT_S = (0.5, 4.0)

app = cyclopts.App(name='soak', help='Disturb a fleet at random.')


class Soak:
    """Disturbs a fleet under load and keeps the first violation."""

    def __init__(self, fleet: Fleet, load: Load, seed: int) -> None:
        """Start without violations."""
        self.fleet = fleet
        self.load = load
        self.rng = random.Random(seed)
        self.trace: list[str] = []
        self.violation = ''
        self.began_s = time.monotonic()

    async def run(self, seconds: float) -> None:
        """Disturb the fleet until the time is over or a promise is broken."""
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
        while time.monotonic() - self.began_s < seconds:
            chosen = self.rng.sample(faults, self.rng.choice((1, 1, 2)))
            await asyncio.gather(*(fault() for fault in chosen))
            await asyncio.sleep(CALM_S)
            await self.check()
            if self.violation:
                return

    def note(self, text: str) -> None:
        """Add a line to the trace."""
        self.trace.append(f'{time.monotonic() - self.began_s:8.2f} {text}')

    async def check(self) -> None:
        """Look for answers that were wrong or cut, and broken invariants."""
        for _, outcome in self.load.outcomes:
            if outcome.wrong:
                self.violation = f'wrong answer: {outcome}'
            cut = outcome.status == 200 and not outcome.whole
            if cut and not outcome.refusal:
                self.violation = f'cut answer: {outcome}'
        broken = await sum_metric(self.fleet, 'invariant_violations_total')
        if broken:
            self.violation = f'{broken:g} invariants broken, see the logs'

    async def hold(self) -> None:
        """Wait while a fault lasts."""
        await asyncio.sleep(self.rng.uniform(*FAULT_S))

    def running(self) -> list[RouterProcess]:
        """Return the routers that run."""
        return [
            each
            for each in self.fleet.routers
            if each.process and each.process.returncode is None
        ]

    async def kill_router(self) -> None:
        """Kill a router and start it again, empty."""
        victim = self._victim('kill')
        if victim and victim.process:
            victim.process.kill()
            await self._start_again(victim)

    async def stop_gracefully(self) -> None:
        """Let a router leave, and start it again."""
        victim = self._victim('stop')
        if victim and victim.process:
            victim.is_leaving = True
            victim.process.terminate()
            await self._start_again(victim)

    async def freeze_router(self) -> None:
        """Pause a router, so that its leases and links run out."""
        victim = self._victim('freeze')
        if victim and victim.process:
            victim.process.send_signal(19)
            await self.hold()
            if victim.process.returncode is None:
                victim.process.send_signal(18)
            self.note(f'wake {victim.id}')

    async def cut_links(self) -> None:
        """Cut the routers into two groups, and join them again."""
        assert self.fleet.network is not None
        routers = list(self.fleet.routers)
        self.rng.shuffle(routers)
        cut = self.rng.randrange(1, len(routers))
        self.note(f'cut off {[each.id for each in routers[:cut]]}')
        self.fleet.network.cut(routers[:cut], routers[cut:])
        await self.hold()
        self.fleet.network.join()
        self.note('join')

    async def stop_store(self) -> None:
        """Take the key-value service away."""
        await self._disturb(self.fleet.store_url, down=True)

    async def slow_store(self) -> None:
        """Slow the key-value service down."""
        await self._disturb(self.fleet.store_url, delay_s=0.8)

    async def lose_store_answers(self) -> None:
        """Lose answers of the key-value service after their writes."""
        await self._disturb(self.fleet.store_url, lose_answers=0.4)

    async def slow_target(self) -> None:
        """Slow an engine tenfold."""
        await self._disturb(self._engine(), slowdown=10.0)

    async def cut_streams(self) -> None:
        """Break an engine's streams after a few events."""
        await self._disturb(self._engine(), cut_after=15)

    async def silence_target(self) -> None:
        """Let an engine's streams fall silent."""
        await self._disturb(self._engine(), silent=True)

    async def refuse_calls(self) -> None:
        """Let a booking service refuse calls without running them."""
        url = self.rng.choice(self.fleet.targets['booking'])
        await self._disturb(url, refuse=0.5, lose_answers=0.3)

    async def drain_target(self) -> None:
        """Drain an engine and let it work again."""
        number = self.rng.randrange(len(self.fleet.targets['assistant']))
        self.note(f'drain assistant-{number}')
        await self._tell(f'DRAIN TARGET assistant-{number}')
        await self.hold()
        await self._tell(f'RESUME TARGET assistant-{number}')

    def _engine(self) -> str:
        """Return the URL of an engine."""
        return self.rng.choice(self.fleet.targets['assistant'])

    def _victim(self, verb: str) -> RouterProcess | None:
        """Choose a router, as long as two others run."""
        running = self.running()
        if len(running) < 3:
            return None
        victim = self.rng.choice(running)
        self.note(f'{verb} {victim.id}')
        return victim

    async def _start_again(self, victim: RouterProcess) -> None:
        """Start a router again once it has ended."""
        assert victim.process is not None
        await victim.process.wait()
        await self.hold()
        await self.fleet.start_router(victim)
        self.note(f'started {victim.id}')

    async def _disturb(self, url: str, **faults: float) -> None:
        """Switch faults on for a while."""
        self.note(f'{url} {faults}')
        await self.fleet.set_faults(url, **faults)
        await self.hold()
        await self.fleet.set_faults(url)

    async def _tell(self, statement: str) -> None:
        """Run a statement on some router; it may fail."""
        running = self.running()
        number = self.fleet.routers.index(self.rng.choice(running))
        try:
            async with asyncio.timeout(3):
                await self.fleet.run_statement(statement, number)
        except (TimeoutError, OSError):
            self.note(f'failed: {statement}')


async def soak(seed: int, minutes: float) -> bool:
    """Run one soak and tell whether every promise was kept."""
    plan = deployment('ro-centru', 'fair')
    async with Fleet(plan) as fleet:
        engines = plan.services[0].targets
        load = Load(fleet, steady(plan.routers, engines), seed)
        run = Soak(fleet, load, seed)
        deposits = Deposits(fleet, 'booking', seed)
        taking = asyncio.create_task(deposits.run())
        loading = asyncio.create_task(load.run(minutes * 60 + 5))
        await run.run(minutes * 60)
        taking.cancel()
        counts = await deposits.judge()
        load.is_over = True
        await loading
        await run.check()
        for name in ('double_runs', 'false_not_run'):
            if counts[name] and not run.violation:
                run.violation = f'{name}: {counts[name]:g}'
        outcomes = [outcome for _, outcome in load.outcomes]
        whole = sum(outcome.whole for outcome in outcomes)
        others = Counter(
            str(outcome.refusal.get('type'))
            for outcome in outcomes
            if not outcome.whole
        )
        print(
            f'seed {seed}: {whole} whole of {len(load.outcomes)} answers, '
            f'{counts["deposits"]:g} deposits, '
            f'{len(run.trace)} disturbances, not whole: {dict(others)}, '
            f'{run.violation or "no violation"}',
        )
        if run.violation:
            print('\n'.join(run.trace))
            print(f'logs: {Path(fleet.directory)}')
        return not run.violation


@app.default
def main(seed: int = 1, minutes: float = 1.0) -> None:
    """Disturb a fleet at random and check the promises.

    :param seed: seed of the disturbances and of the callers
    :param minutes: length of the run
    """
    sys.exit(0 if asyncio.run(soak(seed, minutes)) else 1)


if __name__ == '__main__':
    app()
