"""Counters, gauges and latency histograms of one process."""

from collections import defaultdict

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_SECOND = 1_000_000
QUANTILES = (50.0, 95.0, 99.0)

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Holds all metrics of the process and renders them as text."""

    def __init__(self) -> None:
        """Hold the counters, gauges and histograms by name."""
        self.counters: dict[tuple[str, Labels], float] = defaultdict(float)
        self.gauges: dict[tuple[str, Labels], float] = {}
        self.histograms: dict[str, HdrHistogram] = {}

    def add(self, name: str, amount: float = 1, **labels: str) -> None:
        """Increase a counter.

        :param name: metric name without prefix
        :param amount: how much to add
        :param labels: label names and values
        """
        self.counters[name, tuple(sorted(labels.items()))] += amount

    def set_gauge(self, name: str, level: float, **labels: str) -> None:
        """Set a gauge to its current value."""
        self.gauges[name, tuple(sorted(labels.items()))] = level

    def observe_s(self, name: str, seconds: float) -> None:
        """Record a duration in a histogram.

        :param name: metric name without prefix, ending in ``_seconds``
        :param seconds: the duration
        """
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self.histograms[name] = histogram
        histogram.record_value(
            min(HIGHEST_US, max(LOWEST_US, int(seconds * US_PER_SECOND))),
        )

    def count_event(self, number: int) -> None:
        """Count a log event by its number."""
        self.add('events_total', event=str(number))

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = [
            f'dandelionplank_{name}{_format_labels(labels)} {amount:g}'
            for store in (self.counters, self.gauges)
            for (name, labels), amount in sorted(store.items())
        ]
        for name, histogram in sorted(self.histograms.items()):
            lines.extend(_format_quantiles(name, histogram))
        return '\n'.join((*lines, ''))


def _format_labels(labels: Labels) -> str:
    """Return the labels in braces, or an empty text without labels."""
    if not labels:
        return ''
    pairs = ','.join(f'{key}="{text}"' for key, text in labels)
    return f'{{{pairs}}}'


def _format_quantiles(name: str, histogram: HdrHistogram) -> list[str]:
    """Return the quantile lines of one histogram, in seconds."""
    lines = []
    for percentile in QUANTILES:
        micros = histogram.get_value_at_percentile(percentile)
        quantile = percentile / 100
        lines.append(
            f'dandelionplank_{name}{{quantile="{quantile:g}"}} '
            f'{micros / US_PER_SECOND:g}',
        )
    lines.append(f'dandelionplank_{name}_count {histogram.get_total_count()}')
    return lines


METRICS = Metrics()
