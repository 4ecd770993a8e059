"""Measures how costs grow with size, as input for the capacity page."""

import asyncio
import dataclasses
import gc
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

import msgspec
import numpy as np
import uvloop

from bench.fleet import reserve_ports
from dandelionplank.accounts import CallerKey, ClientAccount, Owner
from dandelionplank.configuration.catalogue import Catalogue
from dandelionplank.configuration.model import Configuration, split_into_shards
from dandelionplank.contracts import ServiceContract, ServiceKind
from dandelionplank.events import Event
from dandelionplank.fairness.scheduler import PoolScheduler
from dandelionplank.fairness.totals import ServiceTotals
from dandelionplank.instances import Instance
from dandelionplank.ledger.usage import Receipt, UsageLedger
from dandelionplank.logs import log_event
from dandelionplank.membership.table import MemberTable
from dandelionplank.messages import (
    FRAME_ENCODER,
    PROBE_DECODER,
    AccountCounter,
    Done,
    Enqueue,
    Grant,
    Ping,
    PingAck,
    PoolTotals,
    Progress,
    TargetReport,
    Ticket,
)
from dandelionplank.router.links import Links
from dandelionplank.settings import Address, MembershipSettings
from dandelionplank.targets import Target

US_PER_SECOND = 1_000_000
PAGE = Path(__file__).parent.parent / 'docs' / 'CAPACITY.md'

DAEMONS = 360
ENGINES = 3_400
REQUESTS_PER_S = 4_200
TOKENS_PER_S = 1_500_000
ACCOUNTS = 17_000
BACKLOGGED = 1_700
MODELS = 11
DATA_CENTERS = 19
CHANGES_PER_DAY = 1_900
DAY_S = 86_400
POOL_SIZE = 18
CORE_BUDGET = 0.014
MEMORY_BUDGET_MB = 128
BYTES_BUDGET = 15_000
PROBE_PERIOD_S = 1.0
REPORT_PERIOD_S = 4.0
TOTALS_PERIOD_S = 10.0
FLUSH_PERIOD_S = 10.0
FRAME_OVERHEAD_BYTES = 30
PACKET_OVERHEAD_BYTES = 28


@dataclasses.dataclass(frozen=True)
class Fit:
    """A straight line through measured points.

    :param points: size and cost of each measurement
    """

    name: str
    unit: str
    points: tuple[tuple[float, float], ...]

    @property
    def line(self) -> tuple[float, float]:
        """Return slope and intercept."""
        sizes, costs = zip(*self.points, strict=True)
        slope, intercept = np.polyfit(sizes, costs, 1)
        return float(slope), float(intercept)

    def at(self, size: float) -> float:
        """Return the cost at a size."""
        slope, intercept = self.line
        return intercept + slope * size


def cpu_us(work: Callable[[], None], count: int) -> float:
    """Return the CPU time of one call in us, the best of three rounds."""
    best = float('inf')
    for _ in range(3):
        started = time.process_time()
        for _ in range(count):
            work()
        best = min(best, time.process_time() - started)
    return best / count * US_PER_SECOND


def build_scheduler(accounts: int, waiting: int) -> PoolScheduler:
    """Return a scheduler with all targets busy and tickets waiting."""
    contract = ServiceContract('m', ServiceKind.MODEL, target_limit=8)
    scheduler = PoolScheduler('m/0', contract)
    names = [f'account-{number}' for number in range(accounts)]
    scheduler.configure(
        contract,
        {name: ClientAccount(name, 'o') for name in names},
        [
            Target(f't{n}', 'm', Address('127.0.0.1', 9000), 'a')
            for n in range(POOL_SIZE)
        ],
    )
    for number in range(waiting):
        name = names[number % accounts]
        scheduler.enqueue('r', Ticket(f'w{number}', name, 300), 0)
    scheduler.schedule(0)
    return scheduler


def measure_ticket(accounts: int) -> float:
    """Return CPU per ticket in a dispatcher, from enqueue to completion."""
    scheduler = build_scheduler(accounts, accounts * 2 + 200)
    running = list(scheduler.in_flight.attempts.values())
    numbers = iter(range(10_000_000))

    def run_once() -> None:
        number = next(numbers)
        ended = running.pop(0)
        name = f'account-{number % accounts}'
        scheduler.enqueue('r', Ticket(f'x{number}', name, 300), 1)
        scheduler.progress(Progress('m/0', ended.ticket.id, 400))
        scheduler.finish(Done('m/0', ended.ticket.id, ended.target, 500), 1)
        for outgoing in scheduler.schedule(1):
            ticket_id = outgoing.message.ticket_id  # type: ignore[attr-defined]
            running.append(scheduler.in_flight.attempts[ticket_id])

    return cpu_us(run_once, 500)


def measure_memory(build: Callable[[], object]) -> float:
    """Return the memory in MB that a built object occupies."""
    gc.collect()
    tracemalloc.start()
    built = build()
    size = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    del built
    return size


def build_configuration(accounts: int) -> Configuration:
    """Return a configuration with accounts and a fifth as many targets."""
    return Configuration(
        owners=(Owner('o'),),
        accounts=tuple(
            ClientAccount(
                f'account-{n}', 'o', keys=(CallerKey('k', f'{n:064x}'),)
            )
            for n in range(accounts)
        ),
        services=(ServiceContract('m', ServiceKind.MODEL, models=('m',)),),
        targets=tuple(
            Target(f't{n}', 'm', Address('127.0.0.1', 9000), f'dc{n % 19}')
            for n in range(accounts // 5)
        ),
    )


def measure_probe() -> tuple[float, float]:
    """Return CPU and bytes of one probe with its response, at one end."""
    members = [
        Instance(f'instance-{n}', '10.0.0.1:7000', f'dc-{n % 19}', 'region', 9)
        for n in range(DAEMONS)
    ]
    table = MemberTable(members[0], 1)
    table.merge(members[1:], 0)
    updates = tuple(members[1:3])
    ping = Ping(members[0], 1, 7, updates)
    acknowledgement = PingAck(members[1], 1, 7, updates)
    payload = FRAME_ENCODER.encode(acknowledgement)

    def run_once() -> None:
        FRAME_ENCODER.encode(ping)
        message = PROBE_DECODER.decode(payload)
        table.record_alive(message.sender, 1)
        table.merge(message.updates, 1)

    size = len(payload) + len(FRAME_ENCODER.encode(ping))
    return cpu_us(run_once, 2000), size + 2 * PACKET_OVERHEAD_BYTES


class LoopbackAddressBook:
    """Address book that returns one address for every instance."""

    def __init__(self, address: str) -> None:
        """Hold the address of the only peer."""
        self.address = address

    def address_of(self, instance: str) -> str:
        """Return the address, for any named instance."""
        return self.address if instance else ''


async def measure_link(batch: int, frames: int) -> float:
    """Return CPU per frame in us at both ends together.

    The CPU time of the same number of idle pauses is subtracted.

    :param batch: messages in each frame
    """
    address = Address('127.0.0.1', reserve_ports(1)[0])
    settings = MembershipSettings()
    near = Links('near', settings, LoopbackAddressBook(address.text))
    far = Links('far', settings, LoopbackAddressBook(''))
    await far.listen(address)
    message = Done('model/dc/0', 'instance-123-18a4.0', 'target-7', 123.5)
    near.send('far', message)
    await asyncio.sleep(0.3)
    started = time.process_time()
    for _ in range(frames):
        for _ in range(batch):
            near.send('far', message)
        await asyncio.sleep(0.002)
    used_s = time.process_time() - started
    idle_started = time.process_time()
    for _ in range(frames):
        await asyncio.sleep(0.002)
    used_s -= time.process_time() - idle_started
    await near.close()
    await far.close()
    return used_s / frames * US_PER_SECOND


def message_bytes() -> dict[str, int]:
    """Return the encoded size of each message that a request needs."""
    ticket = Ticket('instance-123-18a4f00d.0', 'account-12345', 512.5)
    pool = 'model-7/dc-12/0'
    messages = {
        'Enqueue': Enqueue(pool, ticket),
        'Grant': Grant(
            pool, ticket.id, 'target-1234', 512.5, 123456.5, 'x' * 60
        ),
        'Done': Done(pool, ticket.id, 'target-1234', 612.5),
        'Progress': Progress(pool, ticket.id, 612.5),
        'TargetReport': TargetReport(
            pool, 'target-1234', 4, 140, 4.0, 1, 0.3, 0, 0.0
        ),
    }
    return {
        name: len(FRAME_ENCODER.encode((message,)))
        for name, message in messages.items()
    }


def measure_usage_row() -> tuple[float, float]:
    """Return CPU to record a receipt and bytes of a stored usage row."""
    ledger = UsageLedger('instance-123', 600)
    receipts = [
        Receipt(f'r-instance-{n}', f'account-{n % 500}', 'model-7', 512.5)
        for n in range(2000)
    ]
    position = iter(range(10_000_000))

    def run_once() -> None:
        ledger.record_receipt(receipts[next(position) % 2000], 600)

    cost = cpu_us(run_once, 2000)
    record = ledger.take_dirty()[0]
    return cost, len(msgspec.json.encode(record)) / len(record.rows)


def measure_totals(accounts: int) -> float:
    """Return CPU per report at an aggregator of 18 pools."""
    totals = ServiceTotals()
    level = iter(range(1, 10_000_000))

    def run_once() -> None:
        number = next(level)
        counters = tuple(
            AccountCounter(f'account-{n}', float(number))
            for n in range(accounts)
        )
        pool = f'm/{number % 18}'
        totals.report(PoolTotals('m', pool, 'e', counters), 1)

    return cpu_us(run_once, 36)


@dataclasses.dataclass(frozen=True)
class Slopes:
    """All measured fits and single costs."""

    ticket: Fit
    catalogue_mb: Fit
    catalogue_us: Fit
    waiting_mb: Fit
    frame: Fit
    totals: Fit
    probe_us: float
    probe_bytes: float
    log_us: float
    usage_us: float
    usage_row_bytes: float
    shard_bytes: float
    messages: dict[str, int]


def measure_all() -> Slopes:
    """Run every measurement."""
    sizes = (10, 50, 150, 400)
    account_counts = (1_000, 4_000, 8_000, 17_000)
    configurations = {n: build_configuration(n) for n in account_counts}
    probe_us, probe_bytes = measure_probe()
    usage_us, usage_row_bytes = measure_usage_row()
    shards = split_into_shards(configurations[17_000], {})
    account_shards = sorted(len(each) for each in shards.values())
    return Slopes(
        Fit(
            'dispatcher CPU per ticket by backlogged accounts',
            'us',
            tuple((n, measure_ticket(n)) for n in sizes),
        ),
        Fit(
            'catalogue memory by accounts',
            'MB',
            tuple(
                (
                    n,
                    measure_memory(
                        lambda n=n: Catalogue(build_configuration(n))
                    ),
                )
                for n in account_counts
            ),
        ),
        Fit(
            'catalogue build by accounts',
            'us',
            tuple(
                (
                    n,
                    cpu_us(
                        lambda n=n: Catalogue(configurations[n]) and None, 2
                    ),
                )
                for n in account_counts
            ),
        ),
        Fit(
            'dispatcher memory by waiting tickets',
            'MB',
            tuple(
                (n, measure_memory(lambda n=n: build_scheduler(100, n)))
                for n in (1_000, 5_000, 20_000)
            ),
        ),
        Fit(
            'link CPU, both ends, per frame by messages in it',
            'us',
            tuple(
                (n, uvloop.run(measure_link(n, 400))) for n in (1, 4, 16, 48)
            ),
        ),
        Fit(
            'aggregator CPU per report by accounts in it',
            'us',
            tuple((n, measure_totals(n)) for n in (10, 50, 155, 400)),
        ),
        probe_us,
        probe_bytes,
        cpu_us(
            lambda: log_event(Event.ROUTED, request='x', target='y', why='z'),
            2000,
        ),
        usage_us,
        usage_row_bytes,
        float(account_shards[len(account_shards) // 2]),
        message_bytes(),
    )


if __name__ == '__main__':
    from bench.capacity import write_page

    write_page(measure_all(), PAGE)
