"""Prints the results tables of docs/MEASUREMENTS.md from the latest run."""

import sys
from collections.abc import Iterable
from pathlib import Path

import msgspec

from bench.__main__ import OUTPUT_DIRECTORY

MEASURES = (
    'fairness_gap_ratio',
    'fairness_gap_requests',
    'utilisation',
    'starvation_seconds',
    'crest_first_token_ratio',
    'short_tail_ratio',
    'slowed_tail_ratio',
    'gap_ratio_after_join',
    'regrant_seconds',
    'drain_seconds',
    'configuration_seconds',
    'control_bytes_per_second',
    'control_core_share',
    'control_rss_mb',
    'answers',
    'deposits',
    'double_runs',
    'false_not_run',
    'wrong_answers',
    'cut_answers',
    'invariant_violations',
)


def results_table(path: Path = OUTPUT_DIRECTORY / 'latest.json') -> str:
    """Return the latest figures as one table per scenario.

    A table has a row per measure and a column per policy.
    """
    latest = msgspec.json.decode(path.read_bytes())
    lines = []
    for scenario, policies in latest.items():
        lines.extend(
            (
                f'\n### {scenario}\n',
                _row('measure', policies),
                _separator(policies),
            ),
        )
        for measure in MEASURES:
            figures = [each.get(measure) for each in policies.values()]
            if any(figure is not None for figure in figures):
                lines.append(_row(measure, map(_format_figure, figures)))
    return '\n'.join(lines)


def _row(head: str, cells: Iterable[str]) -> str:
    """Return a table row."""
    return f'| {head} | {" | ".join(cells)} |'


def _separator(policies: dict[str, object]) -> str:
    """Return the separator line below a table's header."""
    return '|'.join(('', '---', *('---' for _ in policies), ''))


def _format_figure(figure: float | None) -> str:
    """Return a figure with four digits, empty if it is missing."""
    return '' if figure is None else f'{figure:.4g}'


if __name__ == '__main__':
    sys.stdout.write(results_table())
