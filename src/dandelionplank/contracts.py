"""Contracts of services: guarantees, limits and the cost of work."""

import enum

from dandelionplank.settings import Frozen, Name, Positive, PositiveInt

SAFE_METHODS = ('GET', 'HEAD', 'OPTIONS')


class ServiceKind(enum.StrEnum):
    """Kind of a service; decides how calls are made and charged."""

    MODEL = 'model'
    PLAIN = 'plain'


class ServiceContract(Frozen, frozen=True):
    """The guarantees, limits and costs of one service.

    :param models: model names that are routed to a model service
    :param idempotent_methods: HTTP methods whose calls may be retried
    :param input_weight: cost of an input token
    :param output_weight: cost of an output token
    :param call_cost: cost of a call to a plain service
    :param answer_timeout_s: longest wait for the response of a plain service
    :param target_limit: initial limit on the calls in flight at a target
    :param inter_token_target_ms: time between tokens that limits aim for
    :param pool_size: maximum number of targets in a pool
    :param stamps_answers: targets return the attempt id in their responses
    """

    name: Name
    kind: ServiceKind
    models: tuple[str, ...] = ()
    idempotent_methods: tuple[str, ...] = SAFE_METHODS
    input_weight: float = 0.25
    output_weight: float = 1.0
    call_cost: Positive = 10.0
    answer_timeout_s: Positive = 30.0
    target_limit: PositiveInt = 8
    target_limit_max: PositiveInt = 64
    short_overdraft: int = 0
    short_cost: float = 400.0
    inter_token_target_ms: Positive = 28.0
    first_token_target_ms: Positive = 520.0
    pool_size: PositiveInt = 32
    stamps_answers: bool = True
    can_resume: bool = True

    def token_cost(self, input_tokens: int, output_tokens: int) -> float:
        """Return the cost of a call in weighted units."""
        return (
            input_tokens * self.input_weight
            + output_tokens * self.output_weight
        )

    def is_retryable(self, method: str) -> bool:
        """Return whether a call without an idempotency key is retryable."""
        if self.kind is ServiceKind.MODEL:
            return True
        return method.upper() in self.idempotent_methods
