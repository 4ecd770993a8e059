"""Server-sent events are checked and passed on whole."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from dandelionplank.errors import ErrorCode, TargetError
from dandelionplank.router.sse import AnswerStream, CompletionBuilder

ATTEMPT = 'r0-1.0'


def event(word, attempt=ATTEMPT):
    """Return the event of one token."""
    document = {
        'id': f'chatcmpl-{attempt}',
        'choices': [{'index': 0, 'delta': {'content': word}}],
        'usage': None,
    }
    return b'data: %b\n\n' % msgspec.json.encode(document)


def ending(prompt, completion):
    """Return usage and end mark."""
    document = {
        'id': f'chatcmpl-{ATTEMPT}',
        'choices': [],
        'usage': {'prompt_tokens': prompt, 'completion_tokens': completion},
    }
    return b'data: %b\n\ndata: [DONE]\n\n' % msgspec.json.encode(document)


@given(
    words=st.lists(st.text(max_size=8), max_size=20),
    cuts=st.lists(st.integers(0, 5000), max_size=30),
)
def test_any_cutting_of_the_bytes_gives_the_same_answer(words, cuts):
    """However the bytes arrive, all events are passed on in order."""
    whole = b''.join(map(event, words)) + ending(7, len(words))
    answer = AnswerStream(ATTEMPT, stamped=True)
    text = CompletionBuilder()
    edges = sorted({0, len(whole), *(cut % (len(whole) + 1) for cut in cuts)})
    for start, stop in zip(edges, edges[1:], strict=False):
        text.add(answer.feed(whole[start:stop]))
    assert answer.is_complete
    assert answer.events == len(words)
    assert text.parts == words
    assert answer.usage.input_tokens == 7
    assert b'[DONE]' in answer.final_events('r-1', 2.5)


@given(position=st.integers(0, 4))
def test_a_foreign_event_is_never_passed_on(position):
    """One event of another attempt fails the whole block."""
    events = [event('own') for _ in range(5)]
    events[position] = event('other', 'r9-7.0')
    answer = AnswerStream(ATTEMPT, stamped=True)
    try:
        answer.feed(b''.join(events))
    except TargetError as error:
        assert error.code is ErrorCode.ANSWER_MISMATCH
    else:
        raise AssertionError('the foreign event was passed on')


def test_an_answer_without_end_mark_is_not_whole():
    """A stream that just stops is not taken for a whole answer."""
    answer = AnswerStream(ATTEMPT, stamped=True)
    answer.feed(event('a') + event('b')[:-4])
    assert not answer.is_complete
    assert answer.events == 1
    assert answer.remainder


def test_words_that_look_like_marks_are_passed_on():
    """Text that mentions usage, errors or the end mark is only text."""
    answer = AnswerStream(ATTEMPT, stamped=True)
    words = ['"usage"', '[DONE]', '"error"', '{"usage": {}}']
    block = b''.join(map(event, words))
    assert answer.feed(block) == block
    assert answer.events == len(words)
    assert not answer.is_complete
