"""Runs the scenarios, prints their figures and keeps them."""

import asyncio
import dataclasses
import sys
from pathlib import Path
from typing import Annotated

import cyclopts
import msgspec

from bench.plots import draw_service
from bench.scenarios import SCENARIOS, Scenario, add_ratios, run_scenario

OUT = Path(__file__).parent / 'out'
POLICIES = ('fair', 'local_fair', 'round_robin')
SHORT = ('steady', 'slowed')
UNITS = {
    'seconds': 's',
    'second': 'B/s',
    'mb': 'MB',
    'requests': 'requests',
    'share': 'of a core',
}

app = cyclopts.App(name='bench', help='Measure the fleet beside baselines.')


@dataclasses.dataclass(frozen=True)
class Choice:
    """What is run."""

    scenarios: tuple[Scenario, ...]
    policies: tuple[str, ...]
    seed: int


@app.default
def run_bench(
    *names: str,
    short: bool = False,
    policies: Annotated[str, cyclopts.Parameter()] = ','.join(POLICIES),
    seed: int = 1,
) -> None:
    """Run scenarios under the policies.

    :param names: scenarios, all if none is named
    :param short: run a part that ends within 50 seconds
    :param policies: policies, separated by commas
    :param seed: seed of the callers' random choices
    """
    wanted = names or (SHORT if short else ())
    choice = Choice(
        tuple(each for each in SCENARIOS if not wanted or each.name in wanted),
        ('fair',) if short else tuple(policies.split(',')),
        seed,
    )
    asyncio.run(measure(choice))


async def measure(choice: Choice) -> None:
    """Run everything that was chosen."""
    latest: dict[str, dict[str, dict[str, float]]] = {}
    OUT.mkdir(exist_ok=True)
    path = OUT / 'latest.json'
    if path.exists():
        latest = msgspec.json.decode(path.read_bytes())
    for scenario in choice.scenarios:
        for policy in choice.policies:
            figures, load = await run_scenario(scenario, policy, choice.seed)
            add_ratios(scenario, load, figures)
            print(f'\n{scenario.name} {policy}')
            for name, figure in figures.items():
                unit = UNITS.get(name.rpartition('_')[2], '')
                print(f'{name}: {figure:.4g} {unit}'.rstrip())
            sys.stdout.flush()
            latest.setdefault(scenario.name, {})[policy] = figures
            draw_service(load, OUT / f'{scenario.name}-{policy}.png')
    path.write_bytes(msgspec.json.format(msgspec.json.encode(latest)))


if __name__ == '__main__':
    app()
