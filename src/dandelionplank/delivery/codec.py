"""Interface to the headers of requests and responses."""

from collections.abc import Iterable, Mapping
from typing import Protocol

from multidict import CIMultiDict

from dandelionplank.delivery.responses import ResponseMetadata
from dandelionplank.routing.work import RequestMetadata

Headers = list[tuple[str, str]]


class RequestCodec(Protocol):
    """Translates between HTTP headers and this package's types."""

    def request_metadata(self, headers: Mapping[str, str]) -> RequestMetadata:
        """Decode the metadata of a caller's request."""

    def target_headers(
        self,
        received: Iterable[tuple[str, str]],
        *,
        target: str,
        account: str,
        time_left_s: float,
    ) -> Headers:
        """Return the headers of an attempt at one target."""

    def resume_headers(
        self,
        headers: Iterable[tuple[str, str]],
        last_event_id: str,
    ) -> Headers:
        """Return headers that request to resume after an event."""

    def caller_headers(self, headers: Mapping[str, str]) -> CIMultiDict[str]:
        """Return the headers of a target's response to pass to the caller."""

    def response_metadata(
        self,
        status: int,
        headers: Mapping[str, str],
    ) -> ResponseMetadata:
        """Decode the marks in the head of a target's response."""

    def refusal_headers(
        self,
        request_id: str,
        retry_after_s: float,
    ) -> dict[str, str]:
        """Return the headers of a refusal made by this instance."""
