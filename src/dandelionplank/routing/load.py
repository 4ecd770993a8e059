"""Load of one target as this instance knows it: pure state, no I/O.

Answers to queues inside targets, which serve in order of arrival and know
no accounts: the limit keeps them short. The reading speed is learned from
the time to the first event, so that slowed targets get less.
"""

import dataclasses

from dandelionplank.delivery.answers import TargetReport
from dandelionplank.fleet.peers import TargetShare
from dandelionplank.routing.health import TargetHealth
from dandelionplank.routing.residency import PromptResidency
from dandelionplank.routing.routes import ModelMemory
from dandelionplank.routing.work import TokenWork
from dandelionplank.targets import Target

# Reading speed that a target is believed to have until it is observed.
INITIAL_TOKENS_PER_S = 45_000.0
SLOWEST_TOKENS_PER_S = 4000.0
FASTEST_TOKENS_PER_S = 400_000.0
# Time to the first event that does not depend on the prompt.
FIRST_EVENT_BASE_S = 0.1
# Weight of one observation of the reading speed.
SPEED_WEIGHT = 0.15
# Prompts shorter than this say nothing about the reading speed.
SMALLEST_SAMPLE_TOKENS = 2000
# Work that may wait inside a target, in seconds of reading.
QUEUE_S = 0.25
# Part of the slots that is used.
RUNNING_SHARE = 1.0
# A plain target's report of its own load is believed for this long.
REPORT_AGE_S = 0.5


@dataclasses.dataclass(slots=True)
class Dispatched:
    """A request at a target.

    :param read_tokens: tokens that it reads, without cached ones
    :param ahead_tokens: unread tokens of others when it was sent
    :param sent_s: monotonic time of sending
    :param is_read: its first event has come
    """

    read_tokens: float
    ahead_tokens: float
    sent_s: float
    is_read: bool = False


class TargetLoad:
    """Requests of this instance at one target, and its learned speed."""

    def __init__(self, target: Target, memory: ModelMemory | None) -> None:
        """Start idle.

        :param memory: memory of a model engine, none for plain targets
        """
        self.target = target
        self.slots = target.limit
        self.residency = PromptResidency(memory.tokens) if memory else None
        self.health = TargetHealth()
        self.unread_tokens = 0.0
        self.running = 0
        self.queued_tokens = 0.0
        self.tokens_per_s = INITIAL_TOKENS_PER_S
        self.slowness = 1.0
        self.reported_running = 0
        self.reported_s = float('-inf')

    @property
    def share(self) -> TargetShare:
        """Load of this instance on the target, for the others."""
        return TargetShare(
            round(self.unread_tokens),
            self.running,
            round(self.queued_tokens),
        )

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to tell the others."""
        return not (self.running or self.queued_tokens)

    def tokens_to_read(self, work: TokenWork | None) -> float:
        """Return the tokens of a prompt that the target must read."""
        if work is None or self.residency is None:
            return 0
        return work.read_tokens - self.residency.cached_tokens(work)

    def reading_s(self, tokens: float) -> float:
        """Return the time that the target needs to read tokens."""
        return tokens / self.tokens_per_s

    def has_room(
        self,
        read_tokens: float,
        others: TargetShare,
        queue_s: float,
    ) -> bool:
        """Tell whether a request may be sent now.

        :param others: load that the other instances put on the target
        :param queue_s: work that may wait inside the target
        """
        if self.running + others.running >= self.slots * RUNNING_SHARE:
            return False
        unread = self.unread_tokens + others.unread_tokens
        if unread <= 0:
            return True
        return self.reading_s(unread + read_tokens) <= queue_s

    def send(
        self,
        work: TokenWork | None,
        others: TargetShare,
        now_s: float,
    ) -> Dispatched:
        """Note that a request is sent to the target."""
        read_tokens = self.tokens_to_read(work)
        sent = Dispatched(
            read_tokens,
            self.unread_tokens + others.unread_tokens,
            now_s,
        )
        if work is not None and self.residency is not None:
            self.residency.note_read(work.parts)
        self.unread_tokens += read_tokens
        self.running += 1
        return sent

    def note_first_event(self, sent: Dispatched, now_s: float) -> None:
        """Note that the target has read a request's prompt."""
        if sent.is_read:
            return
        self._note_read(sent)
        tokens = sent.read_tokens + sent.ahead_tokens
        if tokens < SMALLEST_SAMPLE_TOKENS:
            return
        elapsed_s = now_s - sent.sent_s - FIRST_EVENT_BASE_S
        speed = tokens / max(elapsed_s, tokens / FASTEST_TOKENS_PER_S)
        speed = max(SLOWEST_TOKENS_PER_S, speed)
        self.tokens_per_s += SPEED_WEIGHT * (speed - self.tokens_per_s)

    def note_end(self, sent: Dispatched) -> None:
        """Note that a request is at the target no more."""
        self.running -= 1
        if not sent.is_read:
            self._note_read(sent)

    def note_report(self, report: TargetReport, now_s: float) -> None:
        """Take in what the target says of its load."""
        self.slowness = report.slowness
        self.reported_running = report.running + report.waiting
        self.reported_s = now_s

    def plain_load(self, others: TargetShare, now_s: float) -> float:
        """Return the expected work ahead at a plain target, in requests."""
        ahead = self.running + others.running
        if now_s - self.reported_s < REPORT_AGE_S:
            ahead = max(ahead, self.reported_running)
            return (ahead + 1) * self.slowness
        return ahead + 1

    def _note_read(self, sent: Dispatched) -> None:
        """Count a request's prompt as read."""
        sent.is_read = True
        self.unread_tokens = max(0.0, self.unread_tokens - sent.read_tokens)
