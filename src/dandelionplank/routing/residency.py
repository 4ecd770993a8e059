"""Which prompt parts a target probably keeps: pure state, no I/O.

Answers to prompts that share long prefixes: a part is read again only if
the target has dropped it. The estimate follows what was sent there; the
least recently used parts yield.
"""

from collections import OrderedDict
from collections.abc import Iterable

from dandelionplank.routing.work import PromptPart, TokenWork

# Part of a target's memory that cached prompt parts are assumed to keep;
# running requests take the rest.
CACHE_SHARE = 0.7


class PromptResidency:
    """Estimates the cached prompt parts of one target."""

    def __init__(self, memory_tokens: int) -> None:
        """Start empty, as a target does.

        :param memory_tokens: tokens that the target's memory holds
        """
        self.capacity = memory_tokens * CACHE_SHARE
        self.parts: OrderedDict[str, int] = OrderedDict()
        self.tokens = 0

    def cached_tokens(self, work: TokenWork) -> int:
        """Return how many tokens of a prompt need not be read again."""
        cached = 0
        for part in work.parts:
            if part.part_id not in self.parts:
                break
            cached += part.tokens
        return min(cached, work.read_tokens)

    def note_read(self, parts: Iterable[PromptPart]) -> None:
        """Note that the target reads parts of a prompt."""
        for part in parts:
            known = self.parts.pop(part.part_id, 0)
            self.parts[part.part_id] = part.tokens
            self.tokens += part.tokens - known
        while self.tokens > self.capacity and self.parts:
            _, dropped = self.parts.popitem(last=False)
            self.tokens -= dropped
