"""How requests and answers are marked on the wire, as delivery needs it."""

from collections.abc import Iterable, Mapping
from typing import Protocol

from multidict import CIMultiDict

from dandelionplank.delivery.answers import AnswerMarks
from dandelionplank.routing.work import RequestFacts

Headers = list[tuple[str, str]]


class RequestCodec(Protocol):
    """Translates between headers and the fleet's types."""

    def request_facts(self, headers: Mapping[str, str]) -> RequestFacts:
        """Decode what a caller says of its request."""

    def target_headers(
        self,
        received: Iterable[tuple[str, str]],
        *,
        target: str,
        account: str,
        time_left_s: float,
    ) -> Headers:
        """Return the headers of an attempt at one target."""

    def resumed_headers(
        self,
        headers: Iterable[tuple[str, str]],
        last_event_id: str,
    ) -> Headers:
        """Return headers that ask a target to go on after an event."""

    def caller_headers(self, headers: Mapping[str, str]) -> CIMultiDict[str]:
        """Return the headers of a target's answer that the caller gets."""

    def answer_marks(
        self,
        status: int,
        headers: Mapping[str, str],
    ) -> AnswerMarks:
        """Decode what a target says of its answer."""

    def refusal_headers(
        self,
        request_id: str,
        retry_after_s: float,
    ) -> dict[str, str]:
        """Return the headers of the fleet's own refusals."""
