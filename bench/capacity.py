"""Writes docs/CAPACITY.md: measured slopes projected to two-year size."""

import dataclasses
from pathlib import Path

from bench.slopes import (
    ACCOUNTS,
    BACKLOGGED,
    BYTES_BUDGET,
    CHANGES_PER_DAY,
    CORE_BUDGET,
    DAEMONS,
    DATA_CENTERS,
    DAY_S,
    ENGINES,
    FLUSH_PERIOD_S,
    FRAME_OVERHEAD_BYTES,
    MEMORY_BUDGET_MB,
    MODELS,
    POOL_SIZE,
    PROBE_PERIOD_S,
    REPORT_PERIOD_S,
    REQUESTS_PER_S,
    TOKENS_PER_S,
    TOTALS_PERIOD_S,
    US_PER_SECOND,
    Fit,
    Slopes,
)
from dandelionplank.ledger.usage import MAX_SEGMENT_ROWS

STEADY_TOKENS_PER_STREAM_S = 1 / 0.028
IDLE_RSS_MB = 51
PROGRESS_PER_REQUEST = 1.5


@dataclasses.dataclass(frozen=True)
class Row:
    """The costs of one role in one daemon at the two-year size."""

    role: str
    state: str
    messages_per_s: float
    bytes_per_s: float
    core: float
    memory_mb: float
    store_calls_per_s: float
    mechanism: str


def pool_count() -> int:
    """Return the number of pools at the two-year size."""
    return round(ENGINES / POOL_SIZE)


def compute_rows(slopes: Slopes) -> list[Row]:
    """Return the projected cost of each role."""
    return [
        entry_row(slopes),
        dispatcher_row(slopes),
        aggregator_row(slopes),
        membership_row(slopes),
        configuration_row(slopes),
        usage_row(slopes),
    ]


def frame_core(slopes: Slopes, messages_per_s: float, links: float) -> float:
    """Return one end's share of a core for messages spread over links.

    A link sends at most one frame per 10 ms.
    """
    frames = min(messages_per_s, links / 0.01)
    frames = max(frames, 0.001)
    per_frame = messages_per_s / frames
    return slopes.frame.at(per_frame) / 2 * frames / US_PER_SECOND


def entry_row(slopes: Slopes) -> Row:
    """Return the entry's row: tickets, grants and target reports."""
    requests = REQUESTS_PER_S / DAEMONS
    streams = TOKENS_PER_S / DAEMONS / STEADY_TOKENS_PER_STREAM_S
    used_targets = min(streams, ENGINES)
    sizes = slopes.messages
    out = requests * (sizes['Enqueue'] + sizes['Done'])
    out += requests * PROGRESS_PER_REQUEST * sizes['Progress']
    out += used_targets / REPORT_PERIOD_S * sizes['TargetReport'] * 0.35
    messages = requests * (3 + PROGRESS_PER_REQUEST)
    messages += used_targets / REPORT_PERIOD_S
    frames = messages
    core = frame_core(slopes, messages, pool_count())
    core += requests * 2 * slopes.log_us / US_PER_SECOND
    return Row(
        'entry',
        f'{streams:.0f} streams, {requests:.1f} requests/s',
        messages,
        out + frames * FRAME_OVERHEAD_BYTES,
        core,
        3.0,
        0.0,
        'tickets batched per link; progress only when a charge is '
        'exceeded; one report per target and period',
    )


def dispatcher_row(slopes: Slopes) -> Row:
    """Return the dispatcher's row.

    A daemon has half a pool on average and at most twice that.
    """
    share = pool_count() / DAEMONS
    requests = REQUESTS_PER_S / DAEMONS
    backlogged = BACKLOGGED / MODELS
    sizes = slopes.messages
    core = requests * slopes.ticket.at(backlogged) / US_PER_SECOND
    core += frame_core(slopes, requests, pool_count())
    return Row(
        'dispatcher',
        f'{share:.2f} pools, {backlogged:.0f} backlogged accounts each',
        requests,
        requests * (sizes['Grant'] + FRAME_OVERHEAD_BYTES),
        core,
        slopes.waiting_mb.at(2_000),
        0.0,
        'one scheduler per pool by rendezvous hashing; counters merged by '
        'maximum; state rebuilt from the entries',
    )


def aggregator_row(slopes: Slopes) -> Row:
    """Return the row of the aggregator of account totals and its reports."""
    backlogged = BACKLOGGED / MODELS
    reports = pool_count() / DAEMONS / TOTALS_PERIOD_S
    report_bytes = backlogged * 24
    busiest = pool_count() / MODELS / TOTALS_PERIOD_S
    core = busiest * slopes.totals.at(backlogged) / US_PER_SECOND
    return Row(
        'aggregator (busiest)',
        f'{pool_count() / MODELS:.0f} pools x {backlogged:.0f} accounts',
        busiest + reports,
        busiest * report_bytes,
        core,
        pool_count() / MODELS * backlogged * 200 / 1e6,
        0.0,
        'cumulative totals of changed accounts only, one aggregator per '
        'service',
    )


def membership_row(slopes: Slopes) -> Row:
    """Return the membership row: one probe sent and one received per period."""
    probes = 2 / PROBE_PERIOD_S
    return Row(
        'membership',
        f'{DAEMONS} members',
        probes,
        probes * slopes.probe_bytes / 2,
        probes * (slopes.probe_us + 60) / US_PER_SECOND,
        DAEMONS * 600 / 1e6,
        1 / 10,
        'one random peer per period, indirect probes, updates piggybacked',
    )


def configuration_row(slopes: Slopes) -> Row:
    """Return the row of configuration: changes applied and passed on."""
    changes = CHANGES_PER_DAY / DAY_S
    core = changes * slopes.catalogue_us.at(ACCOUNTS) / US_PER_SECOND
    watchers = 2 * DATA_CENTERS
    return Row(
        'configuration',
        f'{ACCOUNTS} accounts, {ENGINES} targets',
        changes * 2,
        changes * (slopes.shard_bytes + 30_000),
        core,
        slopes.catalogue_mb.at(ACCOUNTS),
        watchers / 5 / DAEMONS,
        f'{watchers} watchers, the others learn of a revision from probes and '
        'fetch the changed shard from a peer',
    )


def usage_row(slopes: Slopes) -> Row:
    """Return the row of usage: receipts recorded and segments written."""
    requests = REQUESTS_PER_S / DAEMONS
    rows = min(ACCOUNTS, requests * 600)
    core = requests * slopes.usage_us / US_PER_SECOND
    written = MAX_SEGMENT_ROWS / 2
    core += written * 0.5 / FLUSH_PERIOD_S / US_PER_SECOND
    return Row(
        'use',
        f'{rows:.0f} rows a period, '
        f'{rows * slopes.usage_row_bytes / 1e3:.0f} KB',
        0.0,
        written * slopes.usage_row_bytes * 4 / 3 / FLUSH_PERIOD_S,
        core,
        rows * 600 / 1e6,
        1 / FLUSH_PERIOD_S,
        'segments of 200 rows; only the latest changes and is rewritten',
    )


def write_page(slopes: Slopes, path: Path) -> None:
    """Write the capacity page and print it."""
    rows = compute_rows(slopes)
    lines = [INTRODUCTION, *slope_lines(slopes), '', TABLE_HEAD]
    lines.extend(map(row_line, rows))
    lines.extend(sum_lines(rows))
    lines.append(CLOSING)
    text = '\n'.join(lines)
    path.write_text(text, encoding='utf-8')
    print(text)


def slope_lines(slopes: Slopes) -> list[str]:
    """Return the table of measured points and fits."""
    fits = [
        slopes.ticket,
        slopes.frame,
        slopes.totals,
        slopes.waiting_mb,
        slopes.catalogue_mb,
        slopes.catalogue_us,
    ]
    lines = [
        '| what | points measured | fit |',
        '|---|---|---|',
        *map(fit_line, fits),
    ]
    singles = (
        (
            'probe with its response, CPU at one end',
            f'{slopes.probe_us:.1f} us',
        ),
        ('probe with its response, bytes', f'{slopes.probe_bytes:.0f} B'),
        ('log line, CPU', f'{slopes.log_us:.1f} us'),
        ('recording a receipt, CPU', f'{slopes.usage_us:.1f} us'),
        ('stored usage row', f'{slopes.usage_row_bytes:.0f} B'),
        ('shard of accounts, median', f'{slopes.shard_bytes:.0f} B'),
    )
    lines.extend(f'| {name} | {figure} | |' for name, figure in singles)
    lines.extend(
        f'| message {name} | {size} B | |'
        for name, size in slopes.messages.items()
    )
    return lines


def fit_line(fit: Fit) -> str:
    """Return one fit as a table row."""
    slope, intercept = fit.line
    points = ', '.join(f'{size:g}: {cost:.3g}' for size, cost in fit.points)
    return (
        f'| {fit.name} | {points} {fit.unit} '
        f'| {intercept:.3g} + {slope:.3g} n {fit.unit} |'
    )


def row_line(row: Row) -> str:
    """Return one role as a table row."""
    return (
        f'| {row.role} | {row.state} | {row.messages_per_s:.1f} '
        f'| {row.bytes_per_s / 1000:.2f} | {row.core:.3%} '
        f'| {row.memory_mb:.1f} | {row.store_calls_per_s:.3f} '
        f'| {row.mechanism} |'
    )


def sum_lines(rows: list[Row]) -> list[str]:
    """Return the sums and budgets, and whether each sum fits."""
    core = sum(row.core for row in rows)
    sent = sum(row.bytes_per_s for row in rows)
    memory = IDLE_RSS_MB + sum(row.memory_mb for row in rows)
    calls = sum(row.store_calls_per_s for row in rows) * DAEMONS
    messages = sum(row.messages_per_s for row in rows)
    lines = [
        f'| **sum** | all roles in one daemon, {IDLE_RSS_MB} MB when idle '
        f'| {messages:.1f} | {sent / 1000:.2f} | {core:.3%} | {memory:.0f} '
        f'| {calls:.0f} for the fleet | |',
        f'| **budget** | | | {BYTES_BUDGET / 1000:.0f} | {CORE_BUDGET:.1%} '
        f'| {MEMORY_BUDGET_MB} | several hundred writes, 2,000 reads | |',
        '',
    ]
    verdicts = (
        ('bytes', sent / BYTES_BUDGET),
        ('processor time', core / CORE_BUDGET),
        ('memory', memory / MEMORY_BUDGET_MB),
    )
    for name, used in verdicts:
        conclusion = 'fits' if used <= 1 else '**does not fit yet**'
        lines.append(f'- {name}: {used:.0%} of the budget, {conclusion}')
    return lines


TABLE_HEAD = (
    '## Each role at the two-year size\n\n'
    '| role | state of a daemon | messages/s | KB/s sent | core | MB '
    '| store calls/s | mechanism |\n'
    '|---|---|---|---|---|---|---|---|'
)

INTRODUCTION = f"""# Capacity at the two-year size

This page is written by `python -m bench.slopes`, which measures the slopes
below on one machine and projects them to the size that the users expect:
{DAEMONS} daemons, {ENGINES:,} engines, {REQUESTS_PER_S:,} requests and
{TOKENS_PER_S:,} tokens a second, {ACCOUNTS:,} accounts of which
{BACKLOGGED:,} are backlogged, {MODELS} models, {DATA_CENTERS} data centres,
{CHANGES_PER_DAY:,} changes a day. It is a projection: nothing of this size
has been run. Periods assumed at that size: probes {PROBE_PERIOD_S:g} s,
target reports {REPORT_PERIOD_S:g} s, account totals {TOTALS_PERIOD_S:g} s,
flush of usage {FLUSH_PERIOD_S:g} s, pools of {POOL_SIZE} targets. The control
budget covers messages between routers and to the platform; the bytes of
responses go from target to entry and are not part of it.

## Measured slopes

CPU is process time on one core, the best of three rounds; memory is traced
allocation; a frame is one write on a link, which carries all queued messages.
"""

CLOSING = f"""
## Assumptions and open points

- **Processor time of links.** A frame costs far more than a message in it.
  At {REQUESTS_PER_S / DAEMONS:.1f} requests a second and entry, spread over
  about 190 pools, few messages share a frame, so links dominate the sum.
  gRPC streams, measured at 604 us a frame, would have taken 5.8 % of a core.
  Reports are sent every {REPORT_PERIOD_S:g} s at this size: a slow target is
  detected by the entries that move requests away from it, not by reports.
- **Tickets in several pools.** The entry's row counts one enqueue per
  request. A waiting ticket is queued in more pools over time, and cancelled in
  all but one: with four pools and everything backlogged a daemon sent 29 KB/s
  (scenario four_pools), twice the budget. With a tenth of the accounts
  backlogged over 17 pools a service this **does not fit yet**; the next step
  is to add only pools that recently had idle slots.
- **A tenth of the accounts backlogged.** {BACKLOGGED / MODELS:.0f} accounts
  per model wait in a pool's queue; the ticket slope covers this size.
- **{CHANGES_PER_DAY:,} changes a day, effective within 11 s.** A change
  rewrites one shard and the manifest. A watcher receives it at once; a
  revision spreads from peer to peer with the probes, doubling each period:
  log2({DAEMONS}) is 9 periods of {PROBE_PERIOD_S:g} s, plus a fetch, about
  9 s. That is close to the 11 s asked for; two watchers in each data centre
  start the spread at 38 routers and save five of the nine periods.
- **59 failures and 260 restarts a day.** A failure moves half a pool on
  average. Its entries resend their state; nothing else is transferred. A
  restart fetches {ACCOUNTS:,} accounts from a peer, about 5 MB, once.
- **A data centre lost.** A nineteenth of the pools change their dispatcher
  at once; each successor receives about one message from each entry that uses
  the pool, within its grace period.
- **Network partition for an hour.** Each side dispatches on its own; the
  targets of a pool may be granted twice, so their limits are lowered as their
  measured speed falls. When the partition heals, counters merge by maximum and
  debts are capped. Watches and changes continue on the side that reaches the
  store.
- **Usage.** A period's rows are cut into segments of 200; a flush writes the
  latest one. (Rewriting the whole period would have sent 38 KB/s.) Closing a
  period reads all segments of the fleet, about 12,600 values in ten minutes,
  and its closure must be split by account hash to stay below 1 MB: not
  implemented yet.
- **Intents.** One value per shard and one write for all claims that wait
  together; at 64 shards and one write in flight each, a store that takes 5 ms
  per write carries 64 / 0.005 = 12,800 batches a second in theory and is
  limited by its several hundred writes a second: claims are batched, never
  one write each. Sending claims to one owner per shard, so that entries share
  batches, is not implemented yet; without it every entry's batch is a write of
  its own.
- **Placement** is not implemented; its orders are few and go through one
  leader per service.
"""
