"""What a target says of an answer, and what is known of an attempt."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReport:
    """A target's load at the time of its answer.

    :param running: requests that it runs
    :param waiting: requests in its own queue
    :param slowness: how much longer work takes than usual, 1 at least
    """

    running: int
    waiting: int
    slowness: float


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerMarks:
    """Marks in the head of a target's answer.

    :param request_id: the request that the target says it answers
    :param is_stamped: the target vouches for the answer
    :param is_unrun: the target says that it did not run the request
    :param is_encoded: the body is encoded, though nobody asked for it
    """

    request_id: str
    is_stamped: bool
    is_unrun: bool
    is_encoded: bool
    report: TargetReport | None
