"""What a request asks for: its size, its prompt and its time."""

import dataclasses

# Cost of a token that a model reads and of one that it writes.
READ_COST = 1
WRITE_COST = 2


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; equal ids are equal texts."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenWork:
    """Work of a model engine.

    :param read_tokens: tokens of the prompt
    :param write_tokens: tokens of the answer at the most
    :param parts: the prompt's parts in order, the last one its own
    """

    model: str
    read_tokens: int
    write_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def subject(self) -> str:
        """Id of the longest prefix that other requests share."""
        shared = self.parts[:-1] or self.parts
        return shared[-1].part_id if shared else ''

    @property
    def cost(self) -> float:
        """Cost without any cached part."""
        return self.read_tokens * READ_COST + self.write_tokens * WRITE_COST


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFacts:
    """What a caller says of its request.

    :param time_left_s: seconds that the caller waits, none if not stated
    :param work: size of a model's work, none for plain requests
    """

    request_id: str
    key: str
    time_left_s: float | None
    work: TokenWork | None
    last_event_id: str = ''
