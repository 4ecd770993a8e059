"""Message about crashes of targets, between instances over UDP.

It states all that its sender knows, so that lost, repeated and reordered
messages are harmless. Times are ages, because clocks differ.
"""

import msgspec


class ReportedCrash(msgspec.Struct, frozen=True, array_like=True):
    """A crash that the sender saw.

    :param started_ms: Unix time of the target's start, zero if not known
    :param part_ids: requests, each as its identity and its parts
    """

    target: str
    started_ms: int
    age_s: float
    part_ids: tuple[str, ...]


class ReportedAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The last answer that the sender got to a prompt with a suspect part."""

    part_id: str
    age_s: float


class ReportedQuarantine(msgspec.Struct, frozen=True, array_like=True):
    """A part that the sender gives to no target.

    :param age_s: time since the first crash that it explains
    :param left_s: time until the quarantine ends
    """

    part_id: str
    age_s: float
    left_s: float


class CrashReport(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """What an instance knows of parts that may crash targets."""

    sender: str
    crashes: tuple[ReportedCrash, ...] = ()
    answers: tuple[ReportedAnswer, ...] = ()
    quarantines: tuple[ReportedQuarantine, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to say."""
        return not (self.crashes or self.answers or self.quarantines)
