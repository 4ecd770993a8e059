"""Deposits during a scenario, and what came of each of them."""

import asyncio
import random
import uuid

import aiohttp
import msgspec

from bench.fleet import Fleet

PERIOD_S = 0.05
RUN = 'run'


class Deposits:
    """Takes deposits all the time and compares words with deeds.

    A third goes without a key; the others are sent to two routers at once
    with the same key.
    """

    def __init__(
        self,
        fleet: Fleet,
        service: str,
        seed: int,
        account: str = 'large-0',
    ) -> None:
        """Start without deposits."""
        self.fleet = fleet
        self.service = service
        self.account = account
        self.rng = random.Random(seed)
        self.words: dict[str, list[str]] = {}
        self.calls: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Take deposits until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            label = uuid.uuid4().hex
            keyed = self.rng.random() < 2 / 3
            running = [
                each
                for each in self.fleet.routers
                if each.process and each.process.returncode is None
            ]
            routers = self.rng.sample(running, 2 if keyed else 1)
            for router in routers:
                call = self._take(router.url, label, keyed=keyed)
                task = asyncio.create_task(call)
                self.calls.add(task)
                task.add_done_callback(self.calls.discard)

    async def judge(self) -> dict[str, float]:
        """Wait for open calls and count what must never happen."""
        if self.calls:
            await asyncio.wait(self.calls, timeout=40)
        runs: dict[str, int] = {}
        for url in self.fleet.targets[self.service]:
            counted = await self.fleet.get(f'{url}/standin/runs')
            for text, count in counted.items():
                label = text.rpartition(' ')[2]
                runs[label] = runs.get(label, 0) + count
        return {
            'deposits': len(self.words),
            'double_runs': sum(count > 1 for count in runs.values()),
            'false_not_run': sum(
                runs.get(label, 0) > words.count(RUN)
                and all(word == 'not_run' for word in words)
                for label, words in self.words.items()
            ),
        }

    async def _take(self, url: str, label: str, *, keyed: bool) -> None:
        """Take one deposit and note what the router says of it."""
        headers = {'Authorization': f'Bearer key-of-{self.account}'}
        if keyed:
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
                word = RUN
                if response.status != 200:
                    word = document['error']['outcome']
        except (aiohttp.ClientError, ConnectionError, TimeoutError):
            word = 'no answer'
        self.words.setdefault(label, []).append(word)
