"""Numbered log events and their meaning; docs/EVENTS.md lists them."""

import enum


class Level(enum.StrEnum):
    """Severity of an event."""

    DEBUG = 'DEBUG'
    INFO = 'INFO'  # noqa: WPS110
    WARNING = 'WARNING'
    ERROR = 'ERROR'


class Event(enum.Enum):
    """Catalogue of log events: number, level, meaning."""

    STARTED = (100, Level.INFO, 'the daemon listens')
    READY = (101, Level.INFO, 'the daemon accepts calls')
    LEAVING = (102, Level.INFO, 'graceful shutdown has begun')
    STOPPED = (103, Level.INFO, 'the daemon has ended')
    RELOADED = (105, Level.INFO, 'the settings were read again')
    SETTINGS_REJECTED = (
        106,
        Level.WARNING,
        'changed settings are not valid; the ones before stay in force',
    )
    TASK_FAILED = (104, Level.ERROR, 'a task ended with an error')
    ROUTED = (200, Level.INFO, 'a ticket was granted a target')
    REFUSED = (201, Level.INFO, 'a call was refused')
    ANSWERED = (202, Level.INFO, 'a call was answered whole')
    BROKEN = (203, Level.WARNING, 'a call ended without a whole answer')
    CALLER_GONE = (204, Level.INFO, 'the caller disconnected')
    RETRIED = (205, Level.INFO, 'a call is sent to a target again')
    HEDGED = (206, Level.INFO, 'a second attempt was started')
    RESUMED = (207, Level.INFO, 'a silent stream was resumed')
    MISMATCH = (208, Level.ERROR, 'an answer belongs to another attempt')
    SERVED = (210, Level.INFO, 'a request was answered; how it was placed')
    MOVED = (209, Level.INFO, 'a stream was paused or moved to a target')
    CALLER_REFUSED = (211, Level.INFO, 'a request was refused and has not run')
    POOL_TAKEN = (300, Level.INFO, 'this instance dispatches a pool')
    POOL_OPENED = (301, Level.INFO, 'a pool grants after recovery')
    POOL_RELEASED = (302, Level.INFO, 'another instance dispatches a pool')
    LIMIT_CHANGED = (303, Level.INFO, "a target's limit was changed")
    TARGET_SLOW = (304, Level.WARNING, 'a target lags behind its pool')
    TARGET_RECOVERED = (305, Level.INFO, 'a slow target has recovered')
    TARGET_DRAINING = (306, Level.INFO, 'a target receives no new work')
    DEBT_CAPPED = (307, Level.INFO, "an account's debt was capped")
    FALLBACK = (308, Level.WARNING, 'a dispatcher cannot be reached')
    TARGET_LISTED = (309, Level.INFO, 'a target is listed for work')
    TARGET_GONE = (310, Level.INFO, 'a target is given no more work')
    TARGET_UNREACHABLE = (311, Level.WARNING, 'a target took no connection')
    TARGETS_CLOSED = (312, Level.INFO, 'idle connections were closed')
    CACHE_KNOWN = (313, Level.INFO, 'an engine told which prompts it keeps')
    CACHE_UNKNOWN = (314, Level.WARNING, 'an engine did not tell its cache')
    MEMBER_ALIVE = (400, Level.INFO, 'an instance is alive')
    MEMBER_SUSPECT = (401, Level.WARNING, 'an instance does not answer')
    MEMBER_DEAD = (402, Level.WARNING, 'an instance is taken as failed')
    MEMBER_LEFT = (403, Level.INFO, 'an instance has left')
    LINK_OPENED = (404, Level.INFO, 'a link to an instance is open')
    LINK_CLOSED = (405, Level.WARNING, 'a link to an instance has closed')
    CONFIGURED = (500, Level.INFO, 'a configuration revision is in force')
    CONFIGURATION_REFUSED = (501, Level.WARNING, 'a change was refused')
    CONFIGURATION_CHANGED = (502, Level.INFO, 'an operator made a change')
    STORE_DOWN = (503, Level.WARNING, 'the key-value service failed')
    STORE_BACK = (504, Level.INFO, 'the key-value service answers again')
    VIEW_RESYNCED = (507, Level.INFO, 'all documents were read again')
    DOCUMENT_MALFORMED = (508, Level.WARNING, 'a document cannot be read')
    WATCHERS_CHOSEN = (
        509,
        Level.INFO,
        'who reads the store for the fleet has changed',
    )
    VOUCHING_LOST = (
        510,
        Level.WARNING,
        'no watcher proves the view; the instance asks the store',
    )
    VOUCHING_BACK = (511, Level.INFO, 'a watcher proves the view again')
    CERTIFICATE_LOADED = (505, Level.INFO, 'a new certificate is in use')
    CERTIFICATE_REFUSED = (506, Level.WARNING, 'a certificate is not valid')
    INTENT_WRITTEN = (600, Level.INFO, 'an intent was recorded')
    INTENT_REPEATED = (601, Level.INFO, 'a key was used again')
    USE_FLUSHED = (602, Level.DEBUG, 'cumulative use was written')
    PERIOD_CLOSED = (603, Level.INFO, 'a period of use was closed')
    LEASE_HELD = (700, Level.INFO, 'this instance leads placement')
    LEASE_LOST = (701, Level.WARNING, 'this instance leads no longer')
    PLACED = (702, Level.INFO, 'a target was given an order')
    ORDER_REFUSED = (703, Level.WARNING, 'a target refused an order')
    INVARIANT_BROKEN = (900, Level.ERROR, 'an invariant does not hold')

    def __init__(self, number: int, level: Level, meaning: str) -> None:
        """Attach number, level and meaning to the member."""
        self.number = number
        self.level = level
        self.meaning = meaning
