"""Numbered log events and their meanings; docs/EVENTS.md lists them."""

import enum


class Level(enum.StrEnum):
    """Severity of an event."""

    DEBUG = 'DEBUG'
    INFO = 'INFO'  # noqa: WPS110
    WARNING = 'WARNING'
    ERROR = 'ERROR'


class Event(enum.Enum):
    """All log events, each with its number, level and meaning."""

    STARTED = (100, Level.INFO, 'the daemon is listening')
    READY = (101, Level.INFO, 'the daemon accepts calls')
    LEAVING = (102, Level.INFO, 'graceful shutdown has started')
    STOPPED = (103, Level.INFO, 'the daemon has stopped')
    RELOADED = (105, Level.INFO, 'the settings were reloaded')
    SETTINGS_REJECTED = (
        106,
        Level.WARNING,
        'changed settings are not valid; the previous ones stay in force',
    )
    TASK_FAILED = (104, Level.ERROR, 'a task failed with an error')
    TASK_FAILING = (
        107,
        Level.ERROR,
        'a task fails again and again; it is started again once a second',
    )
    SOCKET_UNAVAILABLE = (
        109,
        Level.ERROR,
        'a socket could not be opened; it is tried again',
    )
    TASK_RECOVERED = (108, Level.INFO, 'a failing task runs without an error')
    ROUTED = (200, Level.INFO, 'a ticket was granted a target')
    REFUSED = (201, Level.INFO, 'a call was refused')
    ANSWERED = (202, Level.INFO, 'a call received a complete response')
    BROKEN = (203, Level.WARNING, 'a call ended without a complete response')
    CALLER_GONE = (204, Level.INFO, 'the caller disconnected')
    RETRIED = (205, Level.INFO, 'a call is retried')
    HEDGED = (206, Level.INFO, 'a second attempt was started')
    RESUMED = (207, Level.INFO, 'a stalled stream was resumed')
    MISMATCH = (208, Level.ERROR, 'a response belongs to another attempt')
    SERVED = (
        210,
        Level.INFO,
        'a request was answered; fields show its placement',
    )
    MOVED = (209, Level.INFO, 'a stream was paused or moved to a target')
    CALLER_REFUSED = (
        211,
        Level.INFO,
        'a request was refused without being executed',
    )
    ACCOUNTS_SERVED = (
        212,
        Level.INFO,
        'what accounts asked for and got in a period with late requests',
    )
    LOOP_DELAYED = (
        213,
        Level.INFO,
        'the event loop was late; fields show the load of this instance',
    )
    CALLER_CLOSED = (
        214,
        Level.INFO,
        'a connection was refused or closed to keep a bound',
    )
    CALLERS_BOUNDED = (
        215,
        Level.WARNING,
        'a bound on what callers hold together was reached or left',
    )
    READINESS_WITHDRAWN = (
        216,
        Level.WARNING,
        'the instance takes no new connections because it is overloaded',
    )
    READINESS_RESTORED = (
        217,
        Level.INFO,
        'the instance takes new connections again',
    )
    STREAM_TAKEN_UP = (
        218,
        Level.INFO,
        'a caller takes a stream up; fields show the version that began it',
    )
    STREAMS_RECORDED = (
        219,
        Level.INFO,
        'the record of open streams in the store was begun or removed',
    )
    POOL_TAKEN = (300, Level.INFO, 'this instance dispatches a pool')
    POOL_OPENED = (301, Level.INFO, 'a pool grants after recovery')
    POOL_RELEASED = (302, Level.INFO, 'another instance dispatches a pool')
    LIMIT_CHANGED = (303, Level.INFO, "a target's limit was changed")
    TARGET_SLOW = (
        304,
        Level.WARNING,
        'a target is slower than the rest of its pool',
    )
    TARGET_RECOVERED = (305, Level.INFO, 'a slow target has recovered')
    TARGET_DRAINING = (306, Level.INFO, 'a target receives no new work')
    DEBT_CAPPED = (307, Level.INFO, "an account's debt was capped")
    FALLBACK = (308, Level.WARNING, 'a dispatcher cannot be reached')
    TARGET_LISTED = (309, Level.INFO, 'a target is available for new work')
    TARGET_GONE = (310, Level.INFO, 'a target is no longer given work')
    TARGET_UNREACHABLE = (
        311,
        Level.WARNING,
        'a connection to a target could not be opened',
    )
    TARGETS_CLOSED = (
        312,
        Level.INFO,
        'idle connections to targets were closed',
    )
    CACHE_KNOWN = (313, Level.INFO, 'an engine reported its prefix cache')
    CACHE_UNKNOWN = (
        314,
        Level.WARNING,
        'an engine did not report its prefix cache',
    )
    TARGET_CRASHED = (
        315,
        Level.WARNING,
        'a target broke off its responses and refuses connections',
    )
    PART_QUARANTINED = (
        316,
        Level.WARNING,
        'requests with a part that crashes targets are refused',
    )
    PART_RELEASED = (
        317,
        Level.INFO,
        'requests with a quarantined part are accepted again',
    )
    TARGET_LIMITED = (
        318,
        Level.INFO,
        'a target states another request rate for the whole fleet',
    )
    TARGET_CLOSED = (
        319,
        Level.INFO,
        'a target is leaving, or wants no requests for a time',
    )
    TARGET_COLD = (
        320,
        Level.INFO,
        'a target has become cold, or is cold no longer',
    )
    TARGET_PACED = (
        321,
        Level.INFO,
        'the paced recovery of a target has begun or ended',
    )
    DATA_CENTER_EVACUATED = (
        322,
        Level.WARNING,
        'the targets of a data centre are sent no more requests',
    )
    DATA_CENTER_RESTORED = (
        323,
        Level.INFO,
        'the targets of a data centre are used again',
    )
    OWNERS_SILENT = (
        324,
        Level.INFO,
        'owners of pools did not reply to tickets in time in a period',
    )
    MEMBER_ALIVE = (400, Level.INFO, 'an instance is alive')
    MEMBER_SUSPECT = (401, Level.WARNING, 'an instance does not respond')
    MEMBER_DEAD = (402, Level.WARNING, 'an instance is considered failed')
    MEMBER_LEFT = (403, Level.INFO, 'an instance has left')
    LINK_OPENED = (404, Level.INFO, 'a link to an instance is open')
    LINK_CLOSED = (405, Level.WARNING, 'a link to an instance has closed')
    CONFIGURED = (500, Level.INFO, 'a configuration revision is in force')
    CONFIGURATION_REFUSED = (501, Level.WARNING, 'a change was refused')
    CONFIGURATION_CHANGED = (502, Level.INFO, 'an operator made a change')
    STORE_DOWN = (503, Level.WARNING, 'the key-value service failed')
    STORE_BACK = (504, Level.INFO, 'the key-value service responds again')
    VIEW_RESYNCED = (507, Level.INFO, 'all documents were reloaded')
    DOCUMENT_MALFORMED = (508, Level.WARNING, 'a document cannot be decoded')
    WATCHERS_CHOSEN = (
        509,
        Level.INFO,
        'the set of instances that watch the store has changed',
    )
    VOUCHING_LOST = (
        510,
        Level.WARNING,
        'no watcher confirms the view; the instance checks the store itself',
    )
    VOUCHING_BACK = (511, Level.INFO, 'a watcher confirms the view again')
    STORE_RESTORED = (
        512,
        Level.WARNING,
        'the key-value service was restored from an older copy',
    )
    VIEW_USED = (513, Level.INFO, 'requests may use the configuration')
    VIEW_DOUBTED = (
        514,
        Level.WARNING,
        'a restored store may lack a newer configuration; keys are refused',
    )
    VIEW_TRUSTED = (
        515,
        Level.INFO,
        'a restored store lacks no newer configuration; keys are accepted',
    )
    CERTIFICATE_LOADED = (505, Level.INFO, 'a new certificate is in use')
    CERTIFICATE_REFUSED = (506, Level.WARNING, 'a certificate is not valid')
    INTENT_WRITTEN = (600, Level.INFO, 'an intent was recorded')
    INTENT_REPEATED = (601, Level.INFO, 'an idempotency key was used again')
    USE_FLUSHED = (602, Level.DEBUG, 'cumulative usage was written')
    PERIOD_CLOSED = (603, Level.INFO, 'a usage period was closed')
    LEASE_HELD = (700, Level.INFO, 'this instance leads placement')
    LEASE_LOST = (
        701,
        Level.WARNING,
        'the lease of this instance could not be renewed or ended',
    )
    PLACED = (702, Level.INFO, 'an order was sent to a target')
    ORDER_REFUSED = (703, Level.WARNING, 'a target refused an order')
    INVARIANT_BROKEN = (900, Level.ERROR, 'an invariant does not hold')

    def __init__(self, number: int, level: Level, meaning: str) -> None:
        """Set the attributes of the member from its value."""
        self.number = number
        self.level = level
        self.meaning = meaning
