"""Sends deposits during a scenario and checks each of them."""

import asyncio
import random
import uuid

import aiohttp
import msgspec

from bench.fleet import Fleet

SEND_PERIOD_S = 0.05
EXECUTED = 'run'


class Deposits:
    """Sends deposits and compares reported outcomes with actual runs.

    A third has no idempotency key; the others are sent to two routers at
    once with the same key.
    """

    def __init__(
        self,
        fleet: Fleet,
        service: str,
        seed: int,
        account: str = 'large-0',
    ) -> None:
        """Hold the reported outcomes of each deposit by its label.

        :param seed: seed of the random choices of keys and routers
        """
        self.fleet = fleet
        self.service = service
        self.account = account
        self.rng = random.Random(seed)
        self.outcomes: dict[str, list[str]] = {}
        self.calls: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send deposits until cancelled."""
        while True:
            await asyncio.sleep(SEND_PERIOD_S)
            label = uuid.uuid4().hex
            has_key = self.rng.random() < 2 / 3
            running = [
                each
                for each in self.fleet.routers
                if each.process and each.process.returncode is None
            ]
            routers = self.rng.sample(running, 2 if has_key else 1)
            for router in routers:
                call = self._send(router.url, label, has_key=has_key)
                task = asyncio.create_task(call)
                self.calls.add(task)
                task.add_done_callback(self.calls.discard)

    async def count_violations(self) -> dict[str, float]:
        """Wait up to 40 s for open calls, then count violated guarantees."""
        if self.calls:
            await asyncio.wait(self.calls, timeout=40)
        runs: dict[str, int] = {}
        for url in self.fleet.targets[self.service]:
            counted = await self.fleet.get(f'{url}/standin/runs')
            for text, count in counted.items():
                label = text.rpartition(' ')[2]
                runs[label] = runs.get(label, 0) + count
        return {
            'deposits': len(self.outcomes),
            'double_runs': sum(count > 1 for count in runs.values()),
            'false_not_run': sum(
                runs.get(label, 0) > outcomes.count(EXECUTED)
                and all(outcome == 'not_run' for outcome in outcomes)
                for label, outcomes in self.outcomes.items()
            ),
        }

    async def _send(self, url: str, label: str, *, has_key: bool) -> None:
        """Send one deposit and record the outcome that the router reports."""
        headers = {'Authorization': f'Bearer key-of-{self.account}'}
        if has_key:
            headers['Idempotency-Key'] = label
        assert self.fleet.session is not None
        try:
            async with self.fleet.session.post(
                f'{url}/services/{self.service}/deposits',
                data=label,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=30),
            ) as response:
                document = msgspec.json.decode(await response.read())
                outcome = EXECUTED
                if response.status != 200:
                    outcome = document['error']['outcome']
        except (aiohttp.ClientError, ConnectionError, TimeoutError):
            outcome = 'no response'
        self.outcomes.setdefault(label, []).append(outcome)
