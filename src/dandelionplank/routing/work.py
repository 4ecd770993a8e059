"""Request metadata: ids, size, prompt and deadline."""

import dataclasses

# Cost of a prompt token and of an output token.
PROMPT_TOKEN_COST = 1
OUTPUT_TOKEN_COST = 2


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; equal ids mean equal text."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenWork:
    """Work of a model engine.

    :param prompt_tokens: tokens of the prompt
    :param output_tokens: maximum number of output tokens
    :param parts: parts of the prompt in order, the last one not shared
    """

    model: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def prefix_id(self) -> str:
        """Id of the longest prefix that other requests may share."""
        shared = self.parts[:-1] or self.parts
        return shared[-1].part_id if shared else ''

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """Ids of the parts that other requests may share."""
        return tuple(part.part_id for part in self.parts[:-1])

    @property
    def cost(self) -> float:
        """Cost as if no part were cached."""
        return (
            self.prompt_tokens * PROMPT_TOKEN_COST
            + self.output_tokens * OUTPUT_TOKEN_COST
        )


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Metadata of a request, as stated by its caller.

    :param time_left_s: seconds that the caller waits, none if not stated
    :param work: size of a model's work, none for plain requests
    """

    request_id: str
    key: str
    time_left_s: float | None
    work: TokenWork | None
    last_event_id: str = ''
