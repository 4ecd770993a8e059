"""Page that explains where this instance would send a request.

Sends and queues nothing; no later decision depends on it.
"""

import copy
import dataclasses
import time
from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Self

import msgspec

from dandelionplank.delivery.requests import cost_of
from dandelionplank.fairness.waiting import WaitingRequest
from dandelionplank.fleet.coldowners import ColdOwners
from dandelionplank.fleet.poolclient import PoolClient
from dandelionplank.fleet.sockets import Page
from dandelionplank.fleet.view import FleetView
from dandelionplank.routing.explanation import (
    Decision,
    TargetExplanation,
    TrialScheduler,
)
from dandelionplank.routing.load import opens_in_s
from dandelionplank.routing.routes import Route
from dandelionplank.routing.work import (
    MAX_TOKENS,
    PromptPart,
    RequestMetadata,
    TokenWork,
)
from dandelionplank.targets import Target

# Longest texts of a query. Those of callers are shorter in practice; the page
# must not work on longer ones.
MAX_LENGTHS: Mapping[str, int] = MappingProxyType(
    {
        'host': 255,
        'path': 2048,
        'account': 255,
        'prompt': 10,
        'output': 10,
        'parts': 4096,
    },
)
MAX_PARTS = 64
# Stands for the id of the request, which only matters to the choice among the
# pools of a service with cold targets if there is no prompt.
REQUEST_ID = 'explain'
# Key of the reason in a response without explanation.
ERROR = 'error'
EXPLAIN_PATH = '/explain'
JSON_TYPE = 'application/json'


class QueryError(ValueError):
    """A query that cannot be explained."""


@dataclasses.dataclass(frozen=True, slots=True)
class RequestQuery:
    """A request to explain.

    :param work: size of a model's work, none for plain requests
    """

    host: str
    path: str
    account: str
    work: TokenWork | None

    @classmethod
    def from_texts(cls, texts: Mapping[str, str]) -> Self:
        """Decode a query.

        :raises QueryError: it is malformed
        """
        if len(set(texts)) < len(texts):
            raise QueryError('a field is given twice')
        for name, text in texts.items():
            if len(text) > MAX_LENGTHS.get(name, -1):
                raise QueryError(f'{name!r}: unknown or too long')
        for name in ('host', 'path'):
            if not texts.get(name):
                raise QueryError(f'{name}: missing')
        parts = _parse_parts(texts.get('parts', ''))
        total = sum(part.tokens for part in parts)
        prompt_tokens = _parse_tokens(
            'prompt', texts.get('prompt') or str(total)
        )
        output_tokens = _parse_tokens('output', texts.get('output') or '0')
        work = None
        if prompt_tokens or output_tokens:
            work = TokenWork('', prompt_tokens, output_tokens, parts)
        host = texts['host'].partition(':')[0].lower()
        return cls(host, texts['path'], texts.get('account', ''), work)

    def to_waiting(
        self, route: Route, service: str, now_s: float
    ) -> WaitingRequest:
        """Return the request as the scheduler would queue it."""
        metadata = RequestMetadata(REQUEST_ID, '', None, self.work)
        return WaitingRequest(
            REQUEST_ID,
            self.account,
            route.objective_s,
            service,
            self.work,
            now_s,
            now_s + route.timeout_s,
            cost_of(metadata),
        )


class ServiceExplanation(msgspec.Struct, frozen=True):
    """Where a request would be sent if it gets one service of its route.

    :param share: share of the route's requests that the service gets
    :param queue: the service, or the pool that the request prefers
    :param owner: instance that decides
    :param is_decided_here: this instance is the one that decides; otherwise
        the decision is the one that it would make by its own knowledge
    :param other_queues: pools that may be asked if this one refuses
    :param elsewhere: targets of the service that are not in the queue
    """

    service: str
    share: float
    queue: str
    owner: str
    is_decided_here: bool
    other_queues: tuple[str, ...]
    decision: Decision
    elsewhere: tuple[TargetExplanation, ...]


class RequestExplanation(msgspec.Struct, frozen=True):
    """Where a request would be sent, by service of its route."""

    instance: str
    route: str
    services: tuple[ServiceExplanation, ...]


class Explainer:
    """Explains the decisions of one instance."""

    def __init__(
        self, view: FleetView, client: PoolClient, cold_owners: ColdOwners
    ) -> None:
        """Hold what the decisions depend on."""
        self.view = view
        self.client = client
        self.cold_owners = cold_owners

    def answer(self, texts: Mapping[str, str]) -> Page:
        """Return the explanation of a query at the present."""
        return self.page(texts, time.monotonic())

    def page(self, texts: Mapping[str, str], now_s: float) -> Page:
        """Return the explanation of a query as JSON."""
        if not self.view.is_loaded:
            return _json_page(
                {ERROR: 'nothing is known yet'}, HTTPStatus.SERVICE_UNAVAILABLE
            )
        try:
            explanation = self.explain(RequestQuery.from_texts(texts), now_s)
        except QueryError as error:
            return _json_page({ERROR: str(error)}, HTTPStatus.BAD_REQUEST)
        if explanation is None:
            return _json_page({ERROR: 'no such route'}, HTTPStatus.NOT_FOUND)
        return _json_page(explanation)

    def explain(
        self, query: RequestQuery, now_s: float
    ) -> RequestExplanation | None:
        """Return where a request would be sent, None if it has no route."""
        table = self.view.table
        route = table.find(query.host, query.path) if table else None
        if route is None:
            return None
        total = sum(choice.weight for choice in route.choices)
        return RequestExplanation(
            self.client.name,
            route.name,
            tuple(
                self._explain_service(
                    query.to_waiting(route, choice.service, now_s),
                    choice.weight / total if total else 0,
                    now_s,
                )
                for choice in route.choices
            ),
        )

    def _explain_service(
        self, waiting: WaitingRequest, share: float, now_s: float
    ) -> ServiceExplanation:
        """Return where a request to one service would be sent."""
        service = waiting.service
        owner = self.client.name
        queues = self._queues_of(waiting, now_s)
        if queues:
            owners = self.client.owners.current_owners(queues[0], now_s)
            owner = next(iter(owners), owner)
            avoided = copy.copy(self.client.avoided)
            avoided.renew(now_s)
            waiting.avoided = avoided.names
        else:
            queues = [service]
        cold_owners = self.cold_owners.detached()
        trial = TrialScheduler(
            self.client.dispatcher.scheduler,
            queues[0],
            cold_owners.is_in_charge,
            cold_owners.is_informed,
        )
        decision = trial.decide(
            dataclasses.replace(waiting, service=queues[0]), now_s
        )
        return ServiceExplanation(
            service,
            share,
            queues[0],
            owner,
            owner == self.client.name,
            tuple(queues[1:]),
            decision,
            self._elsewhere(service, decision),
        )

    def _queues_of(self, waiting: WaitingRequest, now_s: float) -> list[str]:
        """Return the queues whose owners would assign a target.

        :return: in order of preference, none if this instance decides
        """
        avoided = copy.copy(self.client.avoided)
        avoided.renew(now_s)
        if avoided.closed:
            service = waiting.service
            trial = TrialScheduler(self.client.dispatcher.scheduler, service)
            # All targets have turned this instance away.
            if opens_in_s(trial.loads_of(service), now_s) > 0:
                return []
        return self.client.queues_of(waiting, now_s)

    def _elsewhere(
        self, service: str, decision: Decision
    ) -> tuple[TargetExplanation, ...]:
        """Return the targets of a service that are not in a queue."""
        registry = self.view.registry
        listed = {target.name for target in decision.targets}
        return tuple(
            TargetExplanation(
                target.name,
                target.data_center,
                (
                    'in an evacuated data centre'
                    if registry.is_excluded(target)
                    else 'in another pool',
                ),
            )
            for target in sorted(registry.targets.values(), key=_name_of)
            if target.service == service and target.name not in listed
        )


def _name_of(target: Target) -> str:
    """Return the name of a target."""
    return target.name


def _parse_tokens(name: str, text: str) -> int:
    """Decode a count of tokens.

    :raises QueryError: it is not one
    """
    is_short = len(text) <= MAX_LENGTHS[name]
    is_count = is_short and text.isascii() and text.isdecimal()
    if not is_count or int(text) > MAX_TOKENS:
        raise QueryError(f'{name}: not a number from 0 to {MAX_TOKENS}')
    return int(text)


def _parse_parts(text: str) -> tuple[PromptPart, ...]:
    """Decode the parts of a prompt, as ID:TOKENS separated by commas.

    :raises QueryError: they are malformed
    """
    entries = text.split(',') if text else []
    if len(entries) > MAX_PARTS:
        raise QueryError(f'parts: more than {MAX_PARTS}')
    parts = []
    for entry in entries:
        part_id, _, count = entry.partition(':')
        if not (part_id.isascii() and part_id.isalnum()):
            raise QueryError('parts: an id is not of ASCII letters and digits')
        parts.append(PromptPart(part_id, _parse_tokens('parts', count)))
    return tuple(parts)


def _json_page(document: object, status: HTTPStatus = HTTPStatus.OK) -> Page:
    """Return a document as a page."""
    text = msgspec.json.encode(document).decode()
    return Page(text, status, JSON_TYPE)
