"""Tests that arbitrary external input only causes well-defined errors."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from dandelionplank import (
    RefusalError,
    SettingsError,
    StatementError,
    TargetError,
    parse_statement,
)
from dandelionplank.configuration.model import Configuration
from dandelionplank.messages import FRAME_DECODER, PROBE_DECODER
from dandelionplank.operators.language import expected_words
from dandelionplank.router.calls import parse_chat
from dandelionplank.router.sse import ResponseStream
from dandelionplank.router.tls import ProbeSigner
from dandelionplank.settings import parse_yaml

WORDS = [
    'SHOW',
    'USE',
    'BY',
    'ACCOUNT',
    'SINCE',
    '1h',
    'FOR',
    'OWNER',
    'CREATE',
    'SET',
    'SHARE',
    '3',
    'DROP',
    'KEY',
    'x',
    'account',
    'EXPLAIN',
    'REQUEST',
    'r-1',
    ';',
    ',',
    '(',
    "'",
    '127.0.0.1:80',
    'VERIFY',
    'STATEMENT',
]
json_values = st.recursive(
    st.none() | st.booleans() | st.floats() | st.text() | st.integers(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
chat_fields = st.dictionaries(
    st.sampled_from(['model', 'messages', 'stream', 'max_tokens', 'x']),
    json_values,
)


@given(payload=st.binary(max_size=200))
def test_malformed_frames_and_probes_are_rejected(payload):
    """The decoders of frames and probes reject malformed messages."""
    for decoder in (FRAME_DECODER, PROBE_DECODER):
        try:
            decoder.decode(payload)
        except msgspec.DecodeError as error:
            assert str(error)
    assert ProbeSigner(b'secret').unsign(payload) is None


@given(payload=st.binary(max_size=200) | chat_fields.map(msgspec.json.encode))
def test_chat_body_is_parsed_or_refused(payload):
    """A body that is no chat request is refused with ``not_run``."""
    try:
        parsed = parse_chat(payload)
    except RefusalError as error:
        assert error.outcome.value == 'not_run'
    else:
        assert msgspec.json.decode(parsed.body)['stream'] is True


@given(words=st.lists(st.sampled_from(WORDS) | st.text(max_size=5)))
def test_statement_is_parsed_or_rejected(words):
    """A syntax error names its column; completion works on any text."""
    text = ' '.join(words)
    try:
        parse_statement(text)
    except StatementError as error:
        assert error.reason.startswith('column ')
    assert isinstance(expected_words(text), list)


@given(text=st.text(max_size=100) | json_values.map(repr))
def test_configuration_file_is_parsed_or_rejected(text):
    """The error of an invalid configuration names the file."""
    try:
        parse_yaml(text, Configuration, origin='file')
    except SettingsError as error:
        assert error.reason.startswith('file:')


@given(chunks=st.lists(st.binary(max_size=60), max_size=8))
def test_events_without_the_attempt_id_are_not_forwarded(chunks):
    """No event without the attempt id is forwarded, whatever a target sends."""
    stream = ResponseStream('a-1.0', has_attempt_ids=True)
    try:
        blocks = [stream.feed(chunk) for chunk in chunks]
    except TargetError as error:
        assert error.code.label
        return
    forwarded = b''.join(blocks)
    assert forwarded.count(b'\n\n') <= forwarded.count(b'-a-1.0"')
