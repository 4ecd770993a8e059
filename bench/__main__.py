"""Runs the scenarios, prints their figures and stores them."""

import asyncio
import dataclasses
import sys
from pathlib import Path
from typing import Annotated

import cyclopts
import msgspec

from bench.plots import draw_service
from bench.scenarios import SCENARIOS, Scenario, add_ratios, run_scenario

OUTPUT_DIRECTORY = Path(__file__).parent / 'out'
POLICIES = ('fair', 'local_fair', 'round_robin')
SHORT_SCENARIOS = ('steady', 'slowed')
UNITS = {
    'seconds': 's',
    'second': 'B/s',
    'mb': 'MB',
    'requests': 'requests',
    'share': 'of a core',
}

app = cyclopts.App(name='bench', help='Measure the fleet against baselines.')


@dataclasses.dataclass(frozen=True)
class Selection:
    """The scenarios and policies to run, and the seed."""

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
    selected = names or (SHORT_SCENARIOS if short else ())
    selection = Selection(
        tuple(
            each for each in SCENARIOS if not selected or each.name in selected
        ),
        ('fair',) if short else tuple(policies.split(',')),
        seed,
    )
    asyncio.run(measure(selection))


async def measure(selection: Selection) -> None:
    """Run all selected scenarios under all selected policies."""
    latest: dict[str, dict[str, dict[str, float]]] = {}
    OUTPUT_DIRECTORY.mkdir(exist_ok=True)
    path = OUTPUT_DIRECTORY / 'latest.json'
    if path.exists():
        latest = msgspec.json.decode(path.read_bytes())
    for scenario in selection.scenarios:
        for policy in selection.policies:
            figures, load = await run_scenario(scenario, policy, selection.seed)
            add_ratios(scenario, load, figures)
            print(f'\n{scenario.name} {policy}')
            for name, figure in figures.items():
                unit = UNITS.get(name.rpartition('_')[2], '')
                print(f'{name}: {figure:.4g} {unit}'.rstrip())
            sys.stdout.flush()
            latest.setdefault(scenario.name, {})[policy] = figures
            draw_service(
                load, OUTPUT_DIRECTORY / f'{scenario.name}-{policy}.png'
            )
    path.write_bytes(msgspec.json.format(msgspec.json.encode(latest)))


if __name__ == '__main__':
    app()
