"""Demonstration: accounts of two owners share a small fleet."""

import asyncio
import sys
import time

from bench.callers import ChatOutcome, chat
from bench.fleet import AccountPlan, Fleet, FleetPlan, ServicePlan

LOAD_S = 6.0
CHAT_TOKENS = 40
FILE_TOKENS = 300
FILE_PROMPT = 'whole building file ' * 2000

PLAN = FleetPlan(
    routers=3,
    services=(
        ServicePlan(
            'assistant',
            'model',
            5,
            {'models': ['standin'], 'target_limit': 4, 'target_limit_max': 4},
            ('--token-ms', '8', '--batch', '4'),
        ),
        ServicePlan('booking', 'plain', 3, {'target_limit': 8}),
    ),
    accounts=(
        AccountPlan('installers', 'dobrescu', 1),
        AccountPlan('office', 'dobrescu', 2),
        AccountPlan('rounds', 'rota-limpa', 4),
        AccountPlan('parents', 'rota-limpa', 1),
    ),
)


class Demonstration:
    """Sends the demonstration's load and prints the results."""

    def __init__(self, fleet: Fleet) -> None:
        """Hold the outcomes and the time at which the chats stop."""
        self.fleet = fleet
        self.outcomes: list[ChatOutcome] = []
        self.deposits: list[int] = []
        self.load_end_s = time.monotonic() + LOAD_S

    async def run(self) -> bool:
        """Run the load, print the tables and return whether all succeeded."""
        tasks = [self._file_check()]
        for number, account in enumerate(PLAN.accounts[:3]):
            url = self.fleet.routers[number].url
            tasks.extend(self._chats(account.name, url) for _ in range(30))
        tasks.extend(self._deposit(number) for number in range(12))
        await asyncio.gather(*tasks)
        await asyncio.sleep(2.5)
        await self._print()
        is_complete = all(
            each.is_complete and not each.has_mismatch for each in self.outcomes
        )
        return is_complete and set(self.deposits) == {200}

    async def _chats(self, account: str, url: str) -> None:
        """Send chats without a pause until the load ends."""
        number = 0
        while time.monotonic() < self.load_end_s:
            number += 1
            self.outcomes.append(
                await chat(
                    self._session,
                    url,
                    account,
                    f'{account} asks {id(asyncio.current_task())} {number}',
                    CHAT_TOKENS,
                ),
            )

    async def _file_check(self) -> None:
        """Send one request with a complete file as its prompt."""
        url = self.fleet.routers[1].url
        self.outcomes.append(
            await chat(self._session, url, 'parents', FILE_PROMPT, FILE_TOKENS),
        )

    async def _deposit(self, number: int) -> None:
        """Send a deposit to every router with the same idempotency key."""
        calls = [
            self._session.post(
                f'{router.url}/services/booking/deposits',
                data=f'deposit {number}',
                headers={
                    'Authorization': 'Bearer key-of-installers',
                    'Idempotency-Key': f'deposit-{number}',
                },
            )
            for router in self.fleet.routers
        ]
        responses = await asyncio.gather(*calls)
        self.deposits.append(min(response.status for response in responses))
        for response in responses:
            response.release()

    @property
    def _session(self):  # type: ignore[no-untyped-def]
        """The session of the fleet."""
        return self.fleet.session

    async def _print(self) -> None:
        """Print service against share, charges and the fleet's state."""
        served: dict[str, int] = {}
        for outcome in self.outcomes:
            tokens = served.get(outcome.account, 0)
            if outcome.ended_at_s < self.load_end_s:
                served[outcome.account] = tokens + outcome.tokens
        backlogged = PLAN.accounts[:3]
        total = sum(served.get(each.name, 0) for each in backlogged)
        shares = sum(each.share for each in backlogged)
        print('account      tokens  received   fair share')
        for each in backlogged:
            tokens = served.get(each.name, 0)
            print(
                f'{each.name:<12} {tokens:>6}  {tokens / total:>8.1%}'
                f'  {each.share / shares:>11.1%}',
            )
        for statement in (
            'SHOW USE BY ACCOUNT, SERVICE SINCE 1h',
            'SHOW TARGETS',
            'SHOW INSTANCES',
            'SHOW POOLS',
        ):
            print(f'\n{statement}')
            table = await self.fleet.run_statement(statement)
            for row in (table['columns'], *table['rows']):
                print('  '.join(f'{cell!s:<14}' for cell in row).rstrip())


async def main() -> int:
    """Run the demonstration and return the exit status."""
    async with Fleet(PLAN) as fleet:
        succeeded = await Demonstration(fleet).run()
    print('\nall answers whole' if succeeded else '\nsome answers failed')
    return 0 if succeeded else 1


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
