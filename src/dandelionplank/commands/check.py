"""Checks settings and configuration files without starting anything."""

import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path

import cyclopts
import msgspec

from dandelionplank.configuration.model import (
    Configuration,
    check_consistency,
)
from dandelionplank.errors import DandelionplankError
from dandelionplank.fleet.settings import GatewaySettings
from dandelionplank.ledger.closing import (
    Statement,
    compare_receipts,
    find_faults,
    sum_receipts,
)
from dandelionplank.settings import load_settings, load_yaml

EXIT_INVALID = 2

app = cyclopts.App(
    name='dandelionplank-check',
    help='Check settings and configuration files.',
)


@app.command(name='settings')
def check_settings(*files: Path) -> None:
    """Check router settings.

    Exits with status 2 and names file, line, key and reason if one is wrong.

    Example: ``dandelionplank-check settings examples/ro-centru/*.yaml``

    :param files: YAML files
    """
    for path in files:
        _check(path, partial(load_settings, path))


@app.command(name='gateway')
def check_gateway(*files: Path) -> None:
    """Check gateway settings.

    Exits with status 2 and names file, line, key and reason if one is wrong.

    :param files: YAML files
    """
    for path in files:
        _check(path, partial(load_yaml, path, GatewaySettings))


@app.command(name='configuration')
def check_configuration(*files: Path) -> None:
    """Check configurations: owners, accounts, services and targets.

    Exits with status 2 and names file, line, key and reason if one is wrong.

    :param files: YAML files
    """
    for path in files:
        _check(path, partial(_load_configuration, path))


@app.command(name='statement')
def check_statement(path: Path, receipts: Path | None = None) -> None:
    """Recompute an exported statement, and compare it with own receipts.

    Exits with status 2 and names each fault: records that were changed, are
    missing or doubled, totals that do not follow, receipts that differ.

    :param path: JSON, as written by ``dandelionplankctl export``
    :param receipts: JSON lines with id, account, service and cost of each
        receipt that the owner holds
    """
    try:
        statement = msgspec.json.decode(path.read_bytes(), type=Statement)
        faults = find_faults(statement)
        if receipts:
            held = sum_receipts(receipts.read_bytes())
            faults.extend(compare_receipts(statement, held))
    except (OSError, msgspec.DecodeError) as error:
        faults = [str(error)]
    for fault in faults:
        sys.stderr.write(f'{path}: {fault}\n')
    if faults:
        raise SystemExit(EXIT_INVALID)
    lines = len(statement.lines)
    sys.stdout.write(f'{path}: {lines} lines follow from the records\n')


def _load_configuration(path: Path) -> None:
    """Load a configuration and check its references."""
    check_consistency(load_yaml(path, Configuration))


def _check(path: Path, load: Callable[[], object]) -> None:
    """Run one check and report it."""
    try:
        load()
    except DandelionplankError as error:
        sys.stderr.write(f'{error.code.label} {error.reason}\n')
        raise SystemExit(EXIT_INVALID) from error
    sys.stdout.write(f'{path}: valid\n')


def main() -> None:
    """Run the command line."""
    app()
