"""Estimate of the prompt parts that a target caches: pure state, no I/O.

Designed for prompts that share long prefixes: a part needs another prefill
only if the target has evicted it. The estimate follows the prompts sent to
the target and evicts the least recently used parts.
"""

from collections import OrderedDict
from collections.abc import Iterable

from dandelionplank.routing.work import PromptPart, TokenWork

# Fraction of a target's memory assumed to hold cached prompt parts; running
# requests use the rest.
CACHE_SHARE = 0.7


class PrefixCache:
    """Estimated prefix cache of one target, with LRU eviction."""

    def __init__(self, memory_tokens: int) -> None:
        """Hold the cached parts, least recently used first; empty at first.

        :param memory_tokens: tokens that fit into the target's memory
        """
        self.capacity = memory_tokens * CACHE_SHARE
        self.parts: OrderedDict[str, int] = OrderedDict()
        self.tokens = 0

    def cached_tokens(self, work: TokenWork) -> int:
        """Return how many tokens of a prompt are cached."""
        cached = 0
        for part in work.parts:
            if part.part_id not in self.parts:
                break
            cached += part.tokens
        return min(cached, work.prompt_tokens)

    def record_prefill(self, parts: Iterable[PromptPart]) -> None:
        """Record that the target prefills parts of a prompt.

        One that does not fit would evict all others and is left out.
        """
        for part in parts:
            if not 0 <= part.tokens <= self.capacity:
                continue
            known_tokens = self.parts.pop(part.part_id, 0)
            self.parts[part.part_id] = part.tokens
            self.tokens += part.tokens - known_tokens
        while self.tokens > self.capacity and self.parts:
            _, evicted_tokens = self.parts.popitem(last=False)
            self.tokens -= evicted_tokens
