"""Plots of service per account and of times to first token."""

from pathlib import Path

import matplotlib as mpl

from bench.load import Load

mpl.use('Agg')

from matplotlib import pyplot as plt  # noqa: E402


def draw_service(load: Load, path: Path) -> None:
    """Plot service per account and times to first token over the run."""
    figure, (upper, lower) = plt.subplots(2, 1, figsize=(9, 8))
    times = [sample.at_s for sample in load.samples]
    for account in sorted(load.served):
        service = [sample.served.get(account, 0) for sample in load.samples]
        upper.plot(times, service, label=account)
    upper.set_xlabel('seconds')
    upper.set_ylabel('tokens received')
    upper.legend(fontsize=6, ncol=2)
    for kind in sorted({group.kind for group in load.groups}):
        points = [
            (outcome.sent_at_s - load.started_s, outcome.first_token_s)
            for group, outcome in load.outcomes
            if group.kind == kind and outcome.first_token_at_s
        ]
        if points:
            lower.scatter(*zip(*points, strict=True), s=3, label=kind)
    lower.set_xlabel('seconds')
    lower.set_ylabel('seconds to the first token')
    lower.set_yscale('log')
    lower.legend(fontsize=6)
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    plt.close(figure)
