"""Load of one target as this instance knows it: pure state, no I/O.

A target serves its own queue in order of arrival and without regard to
accounts, so the capacity check keeps that queue short. The prefill speed is
estimated from the time to the first event, so that slow targets get less.
"""

import dataclasses
from collections.abc import Iterable

from dandelionplank.delivery.responses import TargetReport
from dandelionplank.fleet.peers import TargetShare
from dandelionplank.routing.availability import TargetAvailability
from dandelionplank.routing.coldstart import ColdState
from dandelionplank.routing.health import TargetHealth
from dandelionplank.routing.prefix_cache import PrefixCache
from dandelionplank.routing.ratelimit import RequestRateLimit
from dandelionplank.routing.routes import ModelMemory
from dandelionplank.routing.work import TokenWork
from dandelionplank.targets import Target

# Prefill speed assumed for a target until it has been observed.
INITIAL_TOKENS_PER_S = 45_000.0
SLOWEST_TOKENS_PER_S = 4000.0
FASTEST_TOKENS_PER_S = 400_000.0
# Time to the first event that does not depend on the prompt.
FIRST_EVENT_BASE_S = 0.03
# Time for which the assumed speed counts as observed.
INITIAL_SAMPLE_S = 0.5
# Weight of one observation in the smoothed prefill speed.
SPEED_WEIGHT = 0.15
# Shorter prompts are too small a sample to estimate the prefill speed.
SMALLEST_SAMPLE_TOKENS = 2000
# Work that may be queued inside a target, in seconds of prefill.
TARGET_QUEUE_S = 0.25
# Part of that limit that a long prompt takes up.
LONG_PROMPT_SHARE = 0.75
# Fraction of the slots that is used.
RUNNING_SHARE = 1.0
# A plain target's report of its own load counts for this long.
REPORT_MAX_AGE_S = 0.5


@dataclasses.dataclass(slots=True)
class DispatchedRequest:
    """A request that was sent to a target.

    :param uncached_tokens: uncached prompt tokens
    :param ahead_tokens: tokens of other requests still to be prefilled when
        it was sent
    :param sent_s: monotonic time of sending
    :param is_prefilled: its first event has arrived
    :param delay_s: by how much the event loop of the instance that sends it is
        late
    """

    uncached_tokens: float
    ahead_tokens: float
    sent_s: float
    is_prefilled: bool = False
    delay_s: float = 0

    @property
    def pending_tokens(self) -> float:
        """Tokens that count as queued inside the target.

        The target is idle until a late instance sends the request, and takes
        others in the meantime.
        """
        share = TARGET_QUEUE_S / (TARGET_QUEUE_S + self.delay_s)
        return self.uncached_tokens * share


class PrefillSpeed:
    """Estimates a target's prefill speed as a ratio of decayed sums.

    A mean of the speeds of single prompts would be too high: short prompts
    that happen to start at once would count as much as long ones.
    """

    def __init__(self) -> None:
        """Hold the sums, at first those of the assumed speed."""
        self.tokens = INITIAL_SAMPLE_S * INITIAL_TOKENS_PER_S
        self.elapsed_s = INITIAL_SAMPLE_S
        self.tokens_per_s = INITIAL_TOKENS_PER_S

    def add(self, tokens: float, elapsed_s: float) -> None:
        """Add the time that the target took to prefill tokens."""
        decay = 1 - SPEED_WEIGHT
        self.tokens = self.tokens * decay + tokens
        self.elapsed_s = self.elapsed_s * decay + max(0.0, elapsed_s)
        speed = self.tokens / self.elapsed_s
        self.tokens_per_s = min(
            FASTEST_TOKENS_PER_S, max(SLOWEST_TOKENS_PER_S, speed)
        )


class TargetLoad:
    """Requests of this instance at one target, and its estimated speed."""

    def __init__(self, target: Target, memory: ModelMemory | None) -> None:
        """Hold the load of a target, at first idle.

        :param memory: memory of a model engine, none for plain targets
        """
        self.target = target
        self.slots = target.limit
        self.prefix_cache = PrefixCache(memory.tokens) if memory else None
        self.health = TargetHealth()
        self.pending_prefill_tokens = 0.0
        self.running = 0
        self.queued_tokens = 0.0
        self.queued_by_account: dict[str, float] = {}
        self.waiting = 0
        self.speed = PrefillSpeed()
        self.slowness = 1.0
        self.reported_running = 0
        self.reported_s = float('-inf')
        self.limit = RequestRateLimit()
        # None if the service states no limit for cold targets.
        self.cold: ColdState | None = None
        self.availability = TargetAvailability()

    @property
    def tokens_per_s(self) -> float:
        """Estimated prefill speed."""
        return self.speed.tokens_per_s

    @property
    def share(self) -> TargetShare:
        """Load of this instance on the target, as reported to its peers."""
        return TargetShare(
            round(self.pending_prefill_tokens),
            self.running,
            round(self.queued_tokens),
            self.waiting,
        )

    @property
    def is_idle(self) -> bool:
        """Return whether there is no load to report to the peers."""
        return not (self.running or self.queued_tokens or self.waiting)

    def uncached_tokens(self, work: TokenWork | None) -> float:
        """Return the tokens of a prompt that the target has not cached."""
        if work is None or self.prefix_cache is None:
            return 0
        return work.prompt_tokens - self.prefix_cache.cached_tokens(work)

    def prefill_s(self, tokens: float) -> float:
        """Return the time that the target needs to prefill tokens."""
        return tokens / self.speed.tokens_per_s

    def has_capacity(
        self,
        uncached_tokens: float,
        others: TargetShare,
        queue_limit_s: float,
    ) -> bool:
        """Return whether a request may be sent now.

        :param others: load that the other instances put on the target
        :param queue_limit_s: work that may be queued inside the target
        """
        if not self.limit.has_request:
            return False
        if self.cold is not None and not self.cold.admits(
            self.running + others.running
        ):
            return False
        if self.running + others.running >= self.slots * RUNNING_SHARE:
            return False
        return self.has_queue_room(uncached_tokens, others, queue_limit_s)

    def has_queue_room(
        self,
        uncached_tokens: float,
        others: TargetShare,
        queue_limit_s: float,
    ) -> bool:
        """Return whether the prefill of a request would start soon.

        :param others: load that the other instances put on the target
        :param queue_limit_s: work that may be queued inside the target
        """
        pending = self.pending_prefill_tokens + others.pending_prefill_tokens
        if pending <= 0:
            return True
        # Short prompts would keep a longer one out for as long as there are
        # any. A higher limit must not leave a prompt less room.
        own_s = min(
            self.prefill_s(uncached_tokens), queue_limit_s * LONG_PROMPT_SHARE
        )
        return self.prefill_s(pending) + own_s <= queue_limit_s

    def start_waiting(self, account: str, tokens: float) -> None:
        """Record that a request is queued for the target.

        :param tokens: its uncached prompt tokens
        """
        self.waiting += 1
        self.queued_tokens += tokens
        queued = self.queued_by_account.get(account, 0)
        self.queued_by_account[account] = queued + tokens

    def stop_waiting(self, account: str, tokens: float) -> None:
        """Record that a request is no longer queued for the target."""
        self.waiting = max(0, self.waiting - 1)
        self.queued_tokens = max(0.0, self.queued_tokens - tokens)
        queued = self.queued_by_account.pop(account, 0) - tokens
        if queued > 0:
            self.queued_by_account[account] = queued

    def send(
        self,
        work: TokenWork | None,
        others: TargetShare,
        now_s: float,
        delay_s: float = 0,
    ) -> DispatchedRequest:
        """Record that a request is sent to the target.

        :param delay_s: by how much the event loop of its instance is late
        """
        uncached_tokens = self.uncached_tokens(work)
        sent = DispatchedRequest(
            uncached_tokens,
            self.pending_prefill_tokens + others.pending_prefill_tokens,
            now_s,
            delay_s=delay_s,
        )
        if work is not None and self.prefix_cache is not None:
            self.prefix_cache.record_prefill(work.parts)
        self.pending_prefill_tokens += sent.pending_tokens
        self.running += 1
        self.limit.grant()
        if self.cold is not None:
            self.cold.grant(now_s, self._expected_s(sent))
        return sent

    def adopt(self, sent: DispatchedRequest) -> None:
        """Count a request that another instance has sent to the target."""
        self.running += 1
        if not sent.is_prefilled:
            self.pending_prefill_tokens += sent.pending_tokens

    def record_first_event(self, sent: DispatchedRequest, now_s: float) -> None:
        """Record that the target has prefilled a request's prompt."""
        if sent.is_prefilled:
            return
        if self.cold is not None:
            self.cold.record_first_event(
                sent.sent_s, self._expected_s(sent), self.running, now_s
            )
        self._finish_prefill(sent)
        tokens = sent.uncached_tokens + sent.ahead_tokens
        # The time of a late instance's request is not that of the target.
        if tokens < SMALLEST_SAMPLE_TOKENS or sent.delay_s:
            return
        elapsed_s = now_s - sent.sent_s - FIRST_EVENT_BASE_S
        self.speed.add(tokens, elapsed_s)

    def rate_wait_s(self, ahead: int) -> float:
        """Return the time until its rates allow one more request.

        :param ahead: requests that wait for the target
        """
        wait_s = self.limit.wait_s(ahead)
        if self.cold is None:
            return wait_s
        return max(wait_s, self.cold.wait_s(ahead, self.running))

    def record_end(self, sent: DispatchedRequest) -> None:
        """Record that a request is no longer at the target."""
        self.running -= 1
        if self.cold is not None:
            self.cold.record_end(sent.sent_s)
        if not sent.is_prefilled:
            self._finish_prefill(sent)

    def record_report(self, report: TargetReport, now_s: float) -> None:
        """Record the load that the target reports."""
        self.slowness = report.slowness
        self.reported_running = report.running + report.waiting
        self.reported_s = now_s

    def plain_load(self, others: TargetShare, now_s: float) -> float:
        """Return the expected work ahead at a plain target, in requests."""
        ahead = self.running + others.running
        if now_s - self.reported_s < REPORT_MAX_AGE_S:
            ahead = max(ahead, self.reported_running)
            return (ahead + 1) * self.slowness
        return ahead + 1

    def _expected_s(self, sent: DispatchedRequest) -> float:
        """Return the time to the first event that the work should take."""
        tokens = sent.uncached_tokens + sent.ahead_tokens
        return FIRST_EVENT_BASE_S + self.prefill_s(tokens)

    def _finish_prefill(self, sent: DispatchedRequest) -> None:
        """Mark a request's prompt as prefilled."""
        sent.is_prefilled = True
        self.pending_prefill_tokens = max(
            0.0, self.pending_prefill_tokens - sent.pending_tokens
        )


def opens_in_s(loads: Iterable[TargetLoad], now_s: float) -> float:
    """Return the time until one of some targets takes requests again.

    :return: zero if one does now or there is none, infinite for never
    """
    waits_s = (load.availability.wait_s(now_s) for load in loads)
    return min(waits_s, default=0)
