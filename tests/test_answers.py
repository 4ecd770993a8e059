"""Tests of the validation and forwarding of server-sent events."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from dandelionplank.errors import ErrorCode, TargetError
from dandelionplank.router.sse import CompletionBuilder, ResponseStream

ATTEMPT = 'r0-1.0'


def token_event(token, attempt=ATTEMPT):
    """Return the event of one token."""
    document = {
        'id': f'chatcmpl-{attempt}',
        'choices': [{'index': 0, 'delta': {'content': token}}],
        'usage': None,
    }
    return b'data: %b\n\n' % msgspec.json.encode(document)


def final_events(prompt_tokens, completion_tokens):
    """Return the usage event and the end event."""
    document = {
        'id': f'chatcmpl-{ATTEMPT}',
        'choices': [],
        'usage': {
            'prompt_tokens': prompt_tokens,
            'completion_tokens': completion_tokens,
        },
    }
    return b'data: %b\n\ndata: [DONE]\n\n' % msgspec.json.encode(document)


@given(
    tokens=st.lists(st.text(max_size=8), max_size=20),
    splits=st.lists(st.integers(0, 5000), max_size=30),
)
def test_all_events_are_forwarded_when_the_bytes_are_split_anywhere(
    tokens, splits
):
    """All events are forwarded in order, however the bytes are split."""
    payload = b''.join(map(token_event, tokens)) + final_events(7, len(tokens))
    stream = ResponseStream(ATTEMPT, has_attempt_ids=True)
    builder = CompletionBuilder()
    edges = sorted(
        {0, len(payload), *(split % (len(payload) + 1) for split in splits)}
    )
    for start, stop in zip(edges, edges[1:], strict=False):
        builder.add(stream.feed(payload[start:stop]))
    assert stream.is_complete
    assert stream.events == len(tokens)
    assert builder.parts == tokens
    assert stream.usage.input_tokens == 7
    assert b'[DONE]' in stream.final_events('r-1', 2.5)


@given(position=st.integers(0, 4))
def test_block_is_rejected_when_one_event_is_of_another_attempt(position):
    """One event of another attempt fails the whole block."""
    events = [token_event('own') for _ in range(5)]
    events[position] = token_event('other', 'r9-7.0')
    stream = ResponseStream(ATTEMPT, has_attempt_ids=True)
    try:
        stream.feed(b''.join(events))
    except TargetError as error:
        assert error.code is ErrorCode.ANSWER_MISMATCH
    else:
        raise AssertionError('the mismatched event was forwarded')


def test_response_is_not_complete_when_the_end_event_is_missing():
    """A truncated response is not taken for a complete one."""
    stream = ResponseStream(ATTEMPT, has_attempt_ids=True)
    stream.feed(token_event('a') + token_event('b')[:-4])
    assert not stream.is_complete
    assert stream.events == 1
    assert stream.remainder


def test_tokens_are_forwarded_when_they_look_like_special_events():
    """Tokens that contain usage, an error or the end mark are plain text."""
    stream = ResponseStream(ATTEMPT, has_attempt_ids=True)
    tokens = ['"usage"', '[DONE]', '"error"', '{"usage": {}}']
    block = b''.join(map(token_event, tokens))
    assert stream.feed(block) == block
    assert stream.events == len(tokens)
    assert not stream.is_complete
