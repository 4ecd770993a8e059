"""Injects random faults into gateways and checks their guarantees.

The gateways are separate processes; the stand-ins of the platform run in this
process, behind relays that hold bytes back or reset connections. Disturbances
overlap.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

import cyclopts

from bench.disturbances import Disturbances
from bench.guarantees import (
    HTTP_OK,
    duplicate_runs,
    evacuated_runs,
    incorrect_responses,
    joined_streams,
    refused_runs,
    revoked_key_runs,
    unrequested_runs,
    unstructured_log_lines,
)
from bench.soakfleet import CALL_TIMEOUT_S, SoakFleet

CALLER_COUNT = 12

app = cyclopts.App(name='platformsoak')


async def soak(seed: int, seconds: float, directory: Path) -> SoakFleet:
    """Disturb a fleet for some seconds, then check all guarantees."""
    fleet = SoakFleet(seed, directory)
    disturbances = Disturbances(fleet, seed)
    async with fleet.stack:
        await fleet.start()
        callers = [
            asyncio.ensure_future(fleet.call_until_cancelled(number))
            for number in range(CALLER_COUNT)
        ]
        await asyncio.gather(*await disturbances.start(seconds))
        await asyncio.sleep(CALL_TIMEOUT_S)
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        await fleet.check_recovery()
    check(fleet)
    return fleet


def check(fleet: SoakFleet) -> None:
    """Check what callers, targets and logs recorded during the run."""
    sent = {call.request_id: call for call in fleet.calls}
    runs = [run for each in fleet.targets.values() for run in each.runs]
    for violations in (
        unrequested_runs(sent, runs),
        duplicate_runs(sent, runs),
        refused_runs(sent, runs),
        revoked_key_runs(sent, runs, fleet.revoked),
        evacuated_runs(fleet.runs_by_data_center(), fleet.orders.evacuations),
        incorrect_responses(fleet.calls),
        joined_streams(sent, runs),
        unstructured_log_lines(gateway.log_path for gateway in fleet.gateways),
    ):
        for text in violations:
            fleet.record_violation(text)


@app.default
def main(seed: int = 1, seconds: float = 30.0) -> None:
    """Disturb gateways at random and check their guarantees.

    :param seed: seed of the disturbances and of the callers
    :param seconds: length of the run
    """
    directory = Path(tempfile.mkdtemp(prefix='platformsoak-'))
    run = asyncio.run(soak(seed, seconds, directory))
    succeeded = sum(call.status == HTTP_OK for call in run.calls)
    print(
        f'seed {seed}: {succeeded} of {len(run.calls)} calls succeeded, '
        f'{len(run.orders.evacuations)} evacuations, '
        f'{len(run.trace)} trace lines, '
        f'{len(run.violations)} violations',
    )
    if run.violations:
        print('\n'.join(run.trace))
        print(f'logs: {directory}')
    sys.exit(1 if run.violations else 0)


if __name__ == '__main__':
    app()
