"""Estimates the cost of a request before its cost is known."""

import dataclasses

from dandelionplank.contracts import ServiceContract, ServiceKind

FIRST_OUTPUT_TOKENS = 200.0
BYTES_PER_TOKEN = 4.0
LEARNING_RATE = 0.1
MAX_LEARNED_KEYS = 40_000


@dataclasses.dataclass(frozen=True)
class RequestSize:
    """What is known of a request on arrival.

    :param prompt_bytes: length of the prompt
    :param output_limit: tokens the caller allows, zero if it sets no limit
    """

    prompt_bytes: int
    output_limit: int = 0


@dataclasses.dataclass(frozen=True)
class Usage:
    """Tokens that a request has used."""

    input_tokens: int = 0
    output_tokens: int = 0


class CostEstimator:
    """Learns per account and service how long answers are."""

    def __init__(self) -> None:
        """Start with no experience."""
        self.output_tokens: dict[tuple[str, str], float] = {}
        self.bytes_per_token: dict[tuple[str, str], float] = {}

    def estimate(
        self,
        account: str,
        contract: ServiceContract,
        size: RequestSize,
    ) -> float:
        """Return the expected cost in weighted units."""
        if contract.kind is ServiceKind.PLAIN:
            return contract.call_cost
        key = (account, contract.name)
        output = self.output_tokens.get(key, FIRST_OUTPUT_TOKENS)
        if size.output_limit:
            output = min(output, size.output_limit)
        ratio = self.bytes_per_token.get(key, BYTES_PER_TOKEN)
        input_tokens = size.prompt_bytes / ratio
        return contract.token_cost(int(input_tokens), int(output))

    def learn(
        self,
        account: str,
        contract: ServiceContract,
        size: RequestSize,
        usage: Usage,
    ) -> None:
        """Take in the use of a request that has ended whole."""
        key = (account, contract.name)
        if len(self.output_tokens) > MAX_LEARNED_KEYS:
            self.output_tokens.clear()
            self.bytes_per_token.clear()
        _blend(
            self.output_tokens,
            key,
            usage.output_tokens,
            FIRST_OUTPUT_TOKENS,
        )
        if usage.input_tokens and size.prompt_bytes:
            ratio = size.prompt_bytes / usage.input_tokens
            _blend(self.bytes_per_token, key, ratio, BYTES_PER_TOKEN)


def _blend(
    averages: dict[tuple[str, str], float],
    key: tuple[str, str],
    sample: float,
    first: float,
) -> None:
    """Move an exponentially weighted average towards a sample."""
    present = averages.get(key, first)
    averages[key] = present + LEARNING_RATE * (sample - present)
