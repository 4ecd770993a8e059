"""Outside bytes of any kind cause clear errors and nothing else."""

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
from dandelionplank.router.sse import AnswerStream
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
def test_frames_and_probes(payload):
    """Bytes that are no message are refused by the decoders."""
    for decoder in (FRAME_DECODER, PROBE_DECODER):
        try:
            decoder.decode(payload)
        except msgspec.DecodeError as error:
            assert str(error)
    assert ProbeSigner(b'secret').unsign(payload) is None


@given(payload=st.binary(max_size=200) | chat_fields.map(msgspec.json.encode))
def test_chat_bodies(payload):
    """A body is a chat request or is refused."""
    try:
        parsed = parse_chat(payload)
    except RefusalError as error:
        assert error.outcome.value == 'not_run'
    else:
        assert msgspec.json.decode(parsed.body)['stream'] is True


@given(words=st.lists(st.sampled_from(WORDS) | st.text(max_size=5)))
def test_statements(words):
    """A text is a statement or a syntax error, with what could follow."""
    text = ' '.join(words)
    try:
        parse_statement(text)
    except StatementError as error:
        assert error.reason.startswith('column ')
    assert isinstance(expected_words(text), list)


@given(text=st.text(max_size=100) | json_values.map(repr))
def test_configuration_files(text):
    """A text is a configuration or is refused with its place."""
    try:
        parse_yaml(text, Configuration, origin='file')
    except SettingsError as error:
        assert error.reason.startswith('file:')


@given(chunks=st.lists(st.binary(max_size=60), max_size=8))
def test_answers_of_targets(chunks):
    """Whatever a target sends, no event without the mark gets through."""
    answer = AnswerStream('a-1.0', stamped=True)
    try:
        blocks = [answer.feed(chunk) for chunk in chunks]
    except TargetError as error:
        assert error.code.label
        return
    passed = b''.join(blocks)
    assert passed.count(b'\n\n') <= passed.count(b'-a-1.0"')
