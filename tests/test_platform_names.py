"""Confinement of the platform's wire names to its adapter."""

import re
from pathlib import Path

SOURCES = Path(__file__).parent.parent / 'src' / 'dandelionplank'
WIRE_NAMES = re.compile(
    r'Dandelionplank-[A-Z]|/v1/kv-|Kv-From|Kv-Fetch|op/config|servers/'
    r"|'(GoalMs|TimeoutMs|ApiKeys|KvTokens|CanResume|HasMore|AsOf)'",
)


def test_wire_names_occur_only_in_the_adapter():
    """No other folder contains a header, path, key or field of the platform."""
    outside = [
        str(path.relative_to(SOURCES))
        for path in SOURCES.rglob('*.py')
        if 'platform' not in path.relative_to(SOURCES).parts
        and WIRE_NAMES.search(path.read_text(encoding='utf-8'))
    ]
    assert not outside
