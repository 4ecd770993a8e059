"""Contracts of services: what they promise and what their work costs."""

import enum

from dandelionplank.settings import Frozen, Name, Positive, PositiveInt

SAFE_METHODS = ('GET', 'HEAD', 'OPTIONS')


class ServiceKind(enum.StrEnum):
    """How a service is called and how its cost is counted."""

    MODEL = 'model'
    PLAIN = 'plain'


class ServiceContract(Frozen, frozen=True):
    """What a service promises and what its work costs.

    :param models: model names that route to a model service
    :param idempotent_methods: methods whose calls may be repeated
    :param input_weight: cost of an input token
    :param output_weight: cost of an output token
    :param call_cost: cost of a call to a plain service
    :param answer_timeout_s: longest wait for a plain service
    :param target_limit: calls in flight that a target takes at first
    :param inter_token_target_ms: time between tokens that limits aim at
    :param pool_size: targets of one pool at the most
    :param stamps_answers: targets repeat the attempt id in their answers
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
        """Return the cost of work measured in tokens."""
        return (
            input_tokens * self.input_weight
            + output_tokens * self.output_weight
        )

    def may_repeat(self, method: str) -> bool:
        """Tell whether a call without a key may be sent a second time."""
        if self.kind is ServiceKind.MODEL:
            return True
        return method.upper() in self.idempotent_methods
