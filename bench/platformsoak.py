"""Disturbs gateways at random and checks what callers and targets see.

The gateways are separate processes; the stand-ins of the platform run here,
behind relays that cut, hold or reset connections. Disturbances overlap.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

import cyclopts

from bench.disturbances import Disturbances
from bench.promises import (
    SUCCESS,
    denied_runs,
    foreign_answers,
    repeated_runs,
    revoked_runs,
    unasked_runs,
    unstructured_lines,
)
from bench.soakfleet import CALL_LIMIT_S, SoakFleet

CALLERS = 12

app = cyclopts.App(name='platformsoak')


async def soak(seed: int, seconds: float, directory: Path) -> SoakFleet:
    """Disturb a fleet for a time, then check everything."""
    fleet = SoakFleet(seed, directory)
    disturbances = Disturbances(fleet, seed)
    async with fleet.stack:
        await fleet.start()
        callers = [
            asyncio.ensure_future(fleet.call_until_cancelled(number))
            for number in range(CALLERS)
        ]
        await asyncio.gather(*await disturbances.begin(seconds))
        await asyncio.sleep(CALL_LIMIT_S)
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        await fleet.check_recovery()
    check(fleet)
    return fleet


def check(fleet: SoakFleet) -> None:
    """Check what callers, targets and logs tell of the whole run."""
    sent = {call.request_id: call for call in fleet.calls}
    runs = [run for each in fleet.targets.values() for run in each.runs]
    for broken in (
        unasked_runs(sent, runs),
        repeated_runs(sent, runs),
        denied_runs(sent, runs),
        revoked_runs(sent, runs, fleet.revoked),
        foreign_answers(fleet.calls),
        unstructured_lines(gateway.log for gateway in fleet.gateways),
    ):
        for text in broken:
            fleet.violate(text)


@app.default
def main(seed: int = 1, seconds: float = 30.0) -> None:
    """Disturb gateways at random and check their promises.

    :param seed: seed of the disturbances and of the callers
    :param seconds: length of the run
    """
    directory = Path(tempfile.mkdtemp(prefix='platformsoak-'))
    run = asyncio.run(soak(seed, seconds, directory))
    whole = sum(call.status == SUCCESS for call in run.calls)
    print(
        f'seed {seed}: {whole} of {len(run.calls)} answered well, '
        f'{len(run.trace)} lines of trace, '
        f'{len(run.violations)} broken promises',
    )
    if run.violations:
        print('\n'.join(run.trace))
        print(f'logs: {directory}')
    sys.exit(1 if run.violations else 0)


if __name__ == '__main__':
    app()
