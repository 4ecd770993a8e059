"""Names of the platform: headers, paths, keys and words."""

REQUEST_ID = 'Dandelionplank-Request-Id'
DEADLINE = 'Dandelionplank-Deadline-Ms'
KEY = 'Dandelionplank-Key'
ACCOUNT = 'Dandelionplank-Tenant'
MODEL = 'Dandelionplank-Model'
PROMPT_PARTS = 'Dandelionplank-Prefix-Hash'
TOKENS = 'Dandelionplank-Token-Usage'
EXPECTED_TARGET = 'Dandelionplank-Expect-Instance'
STAMP = 'Dandelionplank-Server-Stamp'
NOT_RUN = 'Dandelionplank-Not-Executed'
LOAD = 'Dandelionplank-Engine-Load'
LAST_EVENT = 'Last-Event-Id'

# Set by the fleet alone; what a caller sends under these names is dropped.
RESERVED = frozenset(
    name.lower()
    for name in (
        KEY,
        ACCOUNT,
        DEADLINE,
        EXPECTED_TARGET,
        STAMP,
        NOT_RUN,
        LOAD,
        'Dandelionplank-Instance-Id',
        'Dandelionplank-Expect-Version',
        'Dandelionplank-Hold',
        'Dandelionplank-Pin-Ms',
        'Dandelionplank-Kv-Backup',
        'Kv-From',
        'Kv-Fetch',
    )
)

READY_PATH = '/v1/ready'

CONFIGURATION_KEY = 'op/config'
TARGET_PREFIX = 'servers/'
PEER_PREFIX = 'fleet/'

# Durations on the wire are in milliseconds, ours in seconds.
MILLISECONDS = 1000
