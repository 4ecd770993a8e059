"""Errors with numbered codes, the step that failed and the peer involved."""

import enum
from http import HTTPStatus


class Outcome(enum.StrEnum):
    """Whether a failed call may have been executed."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'outcome_unknown'


class ErrorCode(enum.Enum):
    """Numbered error codes, the HTTP status of each, and its meaning."""

    INTERNAL = (1000, HTTPStatus.INTERNAL_SERVER_ERROR, 'internal fault')
    SETTINGS = (1100, HTTPStatus.BAD_REQUEST, 'settings are not valid')
    UNAUTHENTICATED = (2001, HTTPStatus.UNAUTHORIZED, 'key is not known')
    FORBIDDEN = (2002, HTTPStatus.FORBIDDEN, 'caller may not do this')
    BAD_REQUEST = (2003, HTTPStatus.BAD_REQUEST, 'request is malformed')
    TOO_LARGE = (
        2004,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        'request body exceeds the limit',
    )
    UNKNOWN_SERVICE = (2005, HTTPStatus.NOT_FOUND, 'service is not known')
    REQUEST_TIMEOUT = (
        2006,
        HTTPStatus.REQUEST_TIMEOUT,
        'request body was not received in time',
    )
    TOO_MANY_CONNECTIONS = (
        2007,
        HTTPStatus.TOO_MANY_REQUESTS,
        'account has too many open requests on this instance',
    )
    CALLER_GONE = (2008, HTTPStatus.BAD_REQUEST, 'the caller disconnected')
    QUEUE_FULL = (
        3001,
        HTTPStatus.TOO_MANY_REQUESTS,
        "the account's queue is full",
    )
    QUEUE_TIMEOUT = (
        3002,
        HTTPStatus.SERVICE_UNAVAILABLE,
        'no target was granted before the deadline',
    )
    NO_TARGET = (
        3003,
        HTTPStatus.SERVICE_UNAVAILABLE,
        'the service has no target',
    )
    SHUTTING_DOWN = (
        3004,
        HTTPStatus.SERVICE_UNAVAILABLE,
        'the instance is leaving the fleet',
    )
    NOT_READY = (
        3005,
        HTTPStatus.SERVICE_UNAVAILABLE,
        'the instance has no configuration yet',
    )
    PROMPT_QUARANTINED = (
        3006,
        HTTPStatus.SERVICE_UNAVAILABLE,
        'the request, or a part of its prompt, has crashed targets',
    )
    PROMPT_TOO_LARGE = (
        3007,
        HTTPStatus.SERVICE_UNAVAILABLE,
        'the prompt is larger than the memory of any target',
    )
    OVERLOADED = (
        3008,
        HTTPStatus.SERVICE_UNAVAILABLE,
        'the instance has more requests than it can handle',
    )
    STREAM_UNKNOWN = (
        3009,
        HTTPStatus.SERVICE_UNAVAILABLE,
        'the software version that began the stream is not known',
    )
    TARGET_UNREACHABLE = (
        4001,
        HTTPStatus.BAD_GATEWAY,
        'the target could not be reached and nothing was sent',
    )
    TARGET_FAILED = (
        4002,
        HTTPStatus.BAD_GATEWAY,
        'the target broke off after the call was sent',
    )
    TARGET_SILENT = (
        4003,
        HTTPStatus.GATEWAY_TIMEOUT,
        'the target made no progress before the deadline',
    )
    ANSWER_MISMATCH = (
        4004,
        HTTPStatus.BAD_GATEWAY,
        'the answer belongs to another attempt',
    )
    TARGET_REFUSED = (
        4005,
        HTTPStatus.BAD_GATEWAY,
        'the target refused the call without running it',
    )
    KEY_IN_PROGRESS = (
        5001,
        HTTPStatus.CONFLICT,
        'a call with this idempotency key is in progress',
    )
    KEY_REUSED = (
        5002,
        HTTPStatus.UNPROCESSABLE_ENTITY,
        'this idempotency key belongs to a different request',
    )
    KEY_OUTCOME_UNKNOWN = (
        5003,
        HTTPStatus.CONFLICT,
        'the outcome of the first call with this key is unknown',
    )
    STORE_UNAVAILABLE = (
        6001,
        HTTPStatus.SERVICE_UNAVAILABLE,
        'the key-value service is not available',
    )
    STORE_OUTCOME_UNKNOWN = (
        6002,
        HTTPStatus.SERVICE_UNAVAILABLE,
        'the key-value service did not confirm the write',
    )
    STORE_CONFLICT = (
        6003,
        HTTPStatus.CONFLICT,
        'the stored value was changed by another writer',
    )
    CONFIGURATION_CONFLICT = (
        6101,
        HTTPStatus.CONFLICT,
        'the configuration was changed by another operator',
    )
    CONFIGURATION_INVALID = (
        6102,
        HTTPStatus.BAD_REQUEST,
        'the configuration is not valid',
    )
    STATEMENT_SYNTAX = (
        7001,
        HTTPStatus.BAD_REQUEST,
        'the statement could not be parsed',
    )
    STATEMENT_FAILED = (
        7002,
        HTTPStatus.BAD_REQUEST,
        'the statement could not be carried out',
    )
    PEER_UNREACHABLE = (
        8001,
        HTTPStatus.BAD_GATEWAY,
        'a router of the fleet could not be reached',
    )
    INVARIANT = (
        9001,
        HTTPStatus.INTERNAL_SERVER_ERROR,
        'an invariant of the program does not hold',
    )

    def __init__(self, number: int, status: HTTPStatus, meaning: str) -> None:
        """Set the attributes of the member from its value."""
        self.number = number
        self.status = status
        self.meaning = meaning

    @property
    def label(self) -> str:
        """Return the stable text form, such as ``DP-3001``."""
        return f'DP-{self.number}'


class DandelionplankError(Exception):
    """Base class of all errors raised by this package.

    :param code: numbered code of the error
    :param step: processing step that failed, such as ``queue``
    :param peer: instance, target or service involved, empty if none
    :param reason: details, the code's meaning if empty
    :param request_id: id of the affected request, empty if none
    :param outcome: whether the call may have been executed
    :param retry_after_s: seconds to wait before a retry, zero if none helps
    """

    default_code = ErrorCode.INTERNAL

    def __init__(
        self,
        reason: str = '',
        *,
        step: str,
        peer: str = '',
        request_id: str = '',
        code: ErrorCode | None = None,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_s: float = 0,
    ) -> None:
        """Hold the details that log lines and refusals contain."""
        self.code = code or self.default_code
        self.reason = reason or self.code.meaning
        self.step = step
        self.peer = peer
        self.request_id = request_id
        self.outcome = outcome
        self.retry_after_s = retry_after_s
        super().__init__(f'{self.code.label} at {step}: {self.reason}')


class SettingsError(DandelionplankError):
    """Settings or a configuration file are not valid."""

    default_code = ErrorCode.SETTINGS


class RefusalError(DandelionplankError):
    """A call is refused before it reaches a target."""

    default_code = ErrorCode.BAD_REQUEST


class CallerDisconnectedError(DandelionplankError):
    """The caller disconnected before the response was complete."""

    default_code = ErrorCode.CALLER_GONE


class TargetError(DandelionplankError):
    """A call to a target failed."""

    default_code = ErrorCode.TARGET_FAILED


class StoreError(DandelionplankError):
    """A call to the key-value service failed and took no effect."""

    default_code = ErrorCode.STORE_UNAVAILABLE


class StoreConflictError(StoreError):
    """A compare-and-swap found a value other than the expected one."""

    default_code = ErrorCode.STORE_CONFLICT


class StoreOverwrittenError(StoreConflictError):
    """Another writer changed a value after a write of unknown outcome.

    The write may have taken effect before, and be part of the new value.
    """


class StoreUnknownError(StoreError):
    """A write to the key-value service may or may not have taken effect."""

    default_code = ErrorCode.STORE_OUTCOME_UNKNOWN


class ConfigurationError(DandelionplankError):
    """A change of the configuration was refused."""

    default_code = ErrorCode.CONFIGURATION_INVALID


class StatementError(DandelionplankError):
    """An operator's statement could not be parsed or carried out."""

    default_code = ErrorCode.STATEMENT_FAILED
