"""Command line that checks files offline, and explains decisions."""

import sys
from collections.abc import Callable
from functools import partial
from pathlib import Path

import cyclopts
import msgspec

from dandelionplank.commands.explain import explain
from dandelionplank.configuration.model import (
    Configuration,
    check_consistency,
)
from dandelionplank.errors import DandelionplankError
from dandelionplank.fleet.settings import GatewaySettings
from dandelionplank.ledger.closing import (
    UsageStatement,
    compare_receipts,
    find_faults,
    sum_receipts,
)
from dandelionplank.settings import load_settings, load_yaml

EXIT_INVALID = 2

app = cyclopts.App(
    name='dandelionplank-check',
    help='Check settings and configuration files, and explain decisions.',
)
app.command(explain, name='explain')


@app.command(name='settings')
def check_settings(*files: Path) -> None:
    """Check router settings.

    If a file is invalid, prints file, line, key and reason and exits with
    status 2.

    Example: ``dandelionplank-check settings examples/ro-centru/*.yaml``

    :param files: YAML files
    """
    for path in files:
        _check_file(path, partial(load_settings, path))


@app.command(name='gateway')
def check_gateway(*files: Path) -> None:
    """Check gateway settings.

    If a file is invalid, prints file, line, key and reason and exits with
    status 2.

    :param files: YAML files
    """
    for path in files:
        _check_file(path, partial(load_yaml, path, GatewaySettings))


@app.command(name='configuration')
def check_configuration(*files: Path) -> None:
    """Check configurations: owners, accounts, services and targets.

    If a file is invalid, prints file, line, key and reason and exits with
    status 2.

    :param files: YAML files
    """
    for path in files:
        _check_file(path, partial(_load_configuration, path))


@app.command(name='statement')
def check_statement(path: Path, receipts: Path | None = None) -> None:
    """Recompute an exported usage statement and compare it with receipts.

    Exits with status 2 and reports each fault: changed, missing or duplicate
    records, totals that do not match the records, receipts that differ.

    :param path: JSON file written by ``dandelionplankctl export``
    :param receipts: JSON lines with id, account, service and cost of each
        receipt that the owner received
    """
    try:
        statement = msgspec.json.decode(path.read_bytes(), type=UsageStatement)
        faults = find_faults(statement)
        if receipts:
            receipt_totals = sum_receipts(receipts.read_bytes())
            faults.extend(compare_receipts(statement, receipt_totals))
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


def _check_file(path: Path, load: Callable[[], object]) -> None:
    """Load one file and print whether it is valid.

    :raises SystemExit: it is invalid
    """
    try:
        load()
    except DandelionplankError as error:
        sys.stderr.write(f'{error.code.label} {error.reason}\n')
        raise SystemExit(EXIT_INVALID) from error
    sys.stdout.write(f'{path}: valid\n')


def main() -> None:
    """Run the command line."""
    app()
