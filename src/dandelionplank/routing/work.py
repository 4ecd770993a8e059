"""Request metadata: ids, size, prompt and deadline."""

import dataclasses

# Cost of a prompt token and of an output token.
PROMPT_TOKEN_COST = 1
OUTPUT_TOKEN_COST = 2
# Largest count of tokens; a larger one that a caller states is cut to it, so
# that counts and their sums fit the integers of messages.
MAX_TOKENS = 2_147_483_647


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; equal ids mean equal text.

    :param part_id: ASCII letters and digits
    :param tokens: at most :data:`MAX_TOKENS`
    """

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenWork:
    """Work of a model engine.

    :param prompt_tokens: tokens of the prompt, at most :data:`MAX_TOKENS`
    :param output_tokens: maximum number of output tokens, likewise
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
    def size_tokens(self) -> int:
        """Size of the prompt, by its total or by its parts."""
        return max(self.prompt_tokens, sum(part.tokens for part in self.parts))

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
    :param last_event_id: last event that the caller has of a stream that it
        takes up, empty if it takes up none
    :param resumes: id of the request whose response brought the first event
    """

    request_id: str
    key: str
    time_left_s: float | None
    work: TokenWork | None
    last_event_id: str = ''
    resumes: str = ''
