"""Names that the platform defines: headers, paths and store keys."""

REQUEST_ID = 'Dandelionplank-Request-Id'
DEADLINE = 'Dandelionplank-Deadline-Ms'
API_KEY = 'Dandelionplank-Key'
ACCOUNT = 'Dandelionplank-Tenant'
MODEL = 'Dandelionplank-Model'
PROMPT_PARTS = 'Dandelionplank-Prefix-Hash'
TOKENS = 'Dandelionplank-Token-Usage'
EXPECTED_TARGET = 'Dandelionplank-Expect-Instance'
STAMP = 'Dandelionplank-Server-Stamp'
NOT_EXECUTED = 'Dandelionplank-Not-Executed'
LOAD = 'Dandelionplank-Engine-Load'
# Requests per second that a target takes from all instances together.
REQUEST_RATE = 'Server-Limit'
# Set to 1 in all responses of a target that is leaving.
LEAVING = 'Server-Leaving'
LAST_EVENT = 'Last-Event-Id'
# Request whose response brought the first event of a stream that its caller
# takes up.
RESUMES = 'Resumes'
RETRY_AFTER = 'Retry-After'

# Not forwarded from a caller's request: headers that the fleet or targets
# set, and the API key.
RESERVED_HEADERS = frozenset(
    name.lower()
    for name in (
        API_KEY,
        ACCOUNT,
        DEADLINE,
        EXPECTED_TARGET,
        STAMP,
        NOT_EXECUTED,
        LOAD,
        REQUEST_RATE,
        LEAVING,
        'Dandelionplank-Instance-Id',
        'Dandelionplank-Expect-Version',
        'Dandelionplank-Hold',
        'Dandelionplank-Pin-Ms',
        'Dandelionplank-Kv-Backup',
        'Kv-From',
        'Kv-Fetch',
    )
)

# How often the store was restored from a copy, in all of its responses.
STORE_ERA = 'Store-Era'

READY_PATH = '/v1/ready'

CONFIGURATION_KEY = 'op/config'
TARGET_PREFIX = 'servers/'
PEER_PREFIX = 'fleet/'
QUARANTINE_PREFIX = 'quarantine/'
# The configuration in force in an era, as the fleet has recorded it.
CONFIGURATION_RECORD_KEY = 'current/configuration'
# Followed by the name of an instance.
STREAM_PREFIX = 'streams/'
# Followed by the name of a data centre whose targets may be sent nothing.
EVACUATION_PREFIX = 'op/evacuate/'

# Per second; durations on the wire are in milliseconds, internal ones in
# seconds.
MS_PER_SECOND = 1000
