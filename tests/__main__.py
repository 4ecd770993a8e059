"""Runs the tests and prints the counts; known failures are listed apart."""

import sys
from pathlib import Path

import nose2

from tests.outcomes import OUTCOMES

FAILED_OUTCOMES = ('failed', 'error')
KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'


def known_failures() -> frozenset[str]:
    """Return the names of the tests that are known to fail.

    An entry of the list starts with ``test:`` and the dotted name.
    """
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    )


def run_tests() -> int:
    """Run the tests that the arguments name, else all; return exit status."""
    arguments = sys.argv[1:]
    nose2.discover(
        argv=['nose2', '-s', '.', '-t', '.', *(arguments or ['tests'])],
        exit=False,
        plugins=['tests.outcomes'],
    )
    known = known_failures()
    failing = [name for name, outcome in OUTCOMES if outcome in FAILED_OUTCOMES]
    failed = [name for name in failing if name not in known]
    for name in sorted(known.intersection(failing)):
        print(f'known to fail: {name}')
    passed = sum(outcome == 'passed' for _, outcome in OUTCOMES)
    print(f'{passed} passed, {len(failed)} failed')
    return 1 if failed or not passed else 0


if __name__ == '__main__':
    sys.exit(run_tests())
