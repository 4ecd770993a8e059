"""Estimates of a request's cost before it is executed."""

import dataclasses

from dandelionplank.contracts import ServiceContract, ServiceKind

DEFAULT_OUTPUT_TOKENS = 200.0
DEFAULT_BYTES_PER_TOKEN = 4.0
SMOOTHING_FACTOR = 0.1
MAX_AVERAGES = 40_000


@dataclasses.dataclass(frozen=True)
class RequestSize:
    """Size of a request as known on arrival.

    :param prompt_bytes: length of the prompt
    :param output_limit: maximum output tokens, zero if the caller sets none
    """

    prompt_bytes: int
    output_limit: int = 0


@dataclasses.dataclass(frozen=True)
class Usage:
    """Tokens used by a request."""

    input_tokens: int = 0
    output_tokens: int = 0


class CostEstimator:
    """Estimates costs from averages per account and service."""

    def __init__(self) -> None:
        """Hold the averages; without observations the defaults apply."""
        self.mean_output_tokens: dict[tuple[str, str], float] = {}
        self.mean_bytes_per_token: dict[tuple[str, str], float] = {}

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
        output = self.mean_output_tokens.get(key, DEFAULT_OUTPUT_TOKENS)
        if size.output_limit:
            output = min(output, size.output_limit)
        ratio = self.mean_bytes_per_token.get(key, DEFAULT_BYTES_PER_TOKEN)
        input_tokens = size.prompt_bytes / ratio
        return contract.token_cost(int(input_tokens), int(output))

    def record_usage(
        self,
        account: str,
        contract: ServiceContract,
        size: RequestSize,
        usage: Usage,
    ) -> None:
        """Update the averages with the usage of a completed request."""
        key = (account, contract.name)
        if len(self.mean_output_tokens) > MAX_AVERAGES:
            self.mean_output_tokens.clear()
            self.mean_bytes_per_token.clear()
        _update_average(
            self.mean_output_tokens,
            key,
            usage.output_tokens,
            DEFAULT_OUTPUT_TOKENS,
        )
        if usage.input_tokens and size.prompt_bytes:
            ratio = size.prompt_bytes / usage.input_tokens
            _update_average(
                self.mean_bytes_per_token, key, ratio, DEFAULT_BYTES_PER_TOKEN
            )


def _update_average(
    averages: dict[tuple[str, str], float],
    key: tuple[str, str],
    sample: float,
    default: float,
) -> None:
    """Update an exponentially weighted moving average with a sample."""
    current = averages.get(key, default)
    averages[key] = current + SMOOTHING_FACTOR * (sample - current)
