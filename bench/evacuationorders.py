"""Orders to evacuate data centres that a soak writes, and their times."""

import math
import time

from bench.guarantees import Evacuation
from dandelionplank.platform.names import EVACUATION_PREFIX
from dandelionplank_standins.platformstore import StoreStandin

# Data centres of the targets; each service has one target in each at first.
DATA_CENTERS = ('a', 'b')


class EvacuationOrders:
    """Writes the orders that the operator wants and records when they held.

    ``evacuated`` holds the data centres that the operator wants evacuated.
    """

    def __init__(self, store: StoreStandin) -> None:
        """Hold the store; no order is wanted at first."""
        self.store = store
        self.evacuated: set[str] = set()
        self.evacuations: list[Evacuation] = []

    def write(self) -> None:
        """Write the wanted orders to the store and remove all others."""
        for data_center in DATA_CENTERS:
            key = f'{EVACUATION_PREFIX}{data_center}'
            if data_center not in self.evacuated:
                self.store.delete(key)
            elif key not in self.store.entries:
                self.store.put(key, {})
        self.record()

    def record(self) -> None:
        """Record which orders the store holds from now on."""
        now_s = time.monotonic()
        for data_center in DATA_CENTERS:
            key = f'{EVACUATION_PREFIX}{data_center}'
            is_ordered = key in self.store.entries
            current = [
                each
                for each in self.evacuations
                if each.data_center == data_center and each.end_s == math.inf
            ]
            if is_ordered and not current:
                self.evacuations.append(Evacuation(data_center, now_s))
            for evacuation in () if is_ordered else current:
                evacuation.end_s = now_s
