"""Tests of numbers and texts that callers and targets state in headers."""

import asyncio
from http import HTTPStatus
from unittest import mock

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from multidict import CIMultiDict

from bench.platform import HOST, MODEL_HEADERS
from dandelionplank.decoding import parse_count
from dandelionplank.delivery.connections import TargetConnection
from dandelionplank.events import Event
from dandelionplank.fleet.peers import PrefillReport
from dandelionplank.fleet.tickets import Ticket
from dandelionplank.platform import headers
from dandelionplank.routing.load import TargetLoad
from dandelionplank.routing.prefix_cache import PrefixCache
from dandelionplank.routing.scheduler import MAX_PREFILL_REPORTS
from dandelionplank.routing.work import MAX_TOKENS, PromptPart
from dandelionplank.settings import Address
from dandelionplank.targets import Target
from tests.fixtures import (
    count_events,
    only,
    run_async,
    run_on_both_loops,
    wait_until,
)
from tests.platformfleet import platform_fleet

HUGE = '9' * 24
MAX_DATAGRAM_BYTES = 65_507
# Bytes of a header, decoded as the HTTP library does.
HEADER_TEXTS = st.binary(max_size=40).map(
    lambda raw: raw.decode('utf-8', 'surrogateescape')
)


def metadata(**stated):
    """Decode the metadata of a request to a model."""
    return headers.request_metadata(
        {
            'Dandelionplank-Request-Id': stated.get('request_id', 'q1'),
            'Dandelionplank-Model': stated.get('model', 'm'),
            'Dandelionplank-Token-Usage': stated.get('tokens', '10,20'),
            'Dandelionplank-Prefix-Hash': stated.get('parts', 'ab:5,cd:5'),
        },
    )


def parts_of(text):
    """Return the ids and tokens of the parts that a header states."""
    work = metadata(parts=text).work
    return [(part.part_id, part.tokens) for part in work.parts]


def test_counts_are_digits_and_bounded():
    """Signs, other digits and texts are no counts; large ones are cut."""
    assert [parse_count(text, 100) for text in ('0', ' 7 ', '099', '101')] == [
        0,
        7,
        99,
        100,
    ]
    assert parse_count('9' * 5000, 100) == 100
    assert parse_count('0' * 5000, 100) == 0
    for text in ('', ' ', '-1', '+1', '1.5', '1e3', '1_0', '٣', '²', 'x'):
        assert parse_count(text, 100) is None


def test_parts_of_prompts_end_at_the_first_malformed_one():
    """What follows cannot be in the cache without it."""
    assert parts_of(f'ab:0, cd:{HUGE}') == [('ab', 0), ('cd', MAX_TOKENS)]
    for entry in ('', 'cd', 'cd:', ':5', 'cd:-5', 'cd:٣', 'c\udcff:5', 'c d:5'):
        assert parts_of(f'ab:5,{entry},ef:5') == [('ab', 5)]


@given(HEADER_TEXTS, HEADER_TEXTS, HEADER_TEXTS, HEADER_TEXTS)
def test_what_a_caller_states_can_be_sent_to_other_instances(
    request_id, model, tokens, parts
):
    """No header makes a message that cannot be encoded."""
    stated = metadata(
        request_id=request_id,
        model=model,
        tokens=f'{tokens},{HUGE}',
        parts=f'{parts}:{HUGE},{parts}:{tokens}',
    )
    work = stated.work or metadata(parts=parts).work
    ticket = Ticket(
        'a',
        1,
        'q',
        stated.request_id,
        'account',
        1,
        1,
        work.cost,
        work.model,
        work.prompt_tokens,
        work.output_tokens,
        tuple((part.part_id, part.tokens) for part in work.parts),
        (),
        is_overflow=False,
    )
    encoded = msgspec.msgpack.encode(ticket)
    assert msgspec.msgpack.decode(encoded, type=Ticket) == ticket
    msgspec.json.encode(stated.request_id)


@run_on_both_loops
async def test_a_very_large_count_ends_no_gateway():
    """It is refused at once; the reports to peers go on, and other callers."""
    failed_before = count_events(Event.TASK_FAILED)
    async with platform_fleet(gateways=2) as fleet:
        second = fleet.gateways[1]
        for name, stated in (
            ('Dandelionplank-Prefix-Hash', f'ab:{HUGE},cd:100'),
            ('Dandelionplank-Token-Usage', f'{HUGE},20'),
        ):
            status, body, answered = await fleet.call(
                '/chat/x', headers={**MODEL_HEADERS, name: stated}
            )
            assert (status, body[:7]) == (503, b'DP-3007')
            assert float(answered['Retry-After']) > 0
        assert not fleet.runs()
        usage = {'Dandelionplank-Token-Usage': f'300,{HUGE}'}
        status, _, _ = await fleet.call(
            '/chat/x', headers={**MODEL_HEADERS, **usage}
        )
        assert status == 200
        run = only(fleet.runs())
        assert run.headers['Dandelionplank-Token-Usage'] == f'300,{HUGE}'
        await wait_until(lambda: 'front-0' in second.peer_loads.reports)
        sequence = second.peer_loads.reports['front-0'].report.sequence
        await wait_until(
            lambda: (
                second.peer_loads.reports['front-0'].report.sequence
                > sequence + 2
            )
        )
        assert (await fleet.call('/chat/x', headers=MODEL_HEADERS))[0] == 200
    assert count_events(Event.TASK_FAILED) == failed_before


@run_async
async def test_a_request_id_that_is_no_text_gets_a_response():
    """Its bytes appear escaped in logs, and reach the target as they are."""
    async with platform_fleet() as fleet:
        gateway = only(fleet.gateways)
        host, _, port = gateway.settings.listen.callers.partition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b'GET /nowhere HTTP/1.1\r\nHost: %b\r\n'
            b'Dandelionplank-Request-Id: \xff\xfe\r\n\r\n' % HOST.encode()
        )
        assert b' 404 ' in await reader.readline()
        writer.close()


def test_a_part_larger_than_the_memory_is_not_taken_for_cached():
    """It would evict all others from the estimate of a cache."""
    cache = PrefixCache(1000)
    cache.record_prefill([PromptPart('ab', 100)])
    for tokens in (MAX_TOKENS, 10**30, -1):
        cache.record_prefill([PromptPart('cd', tokens)])
    assert dict(cache.parts) == {'ab': 100}


@run_async
async def test_a_report_fits_into_a_datagram():
    """Prompts with many parts must not cost peers the rest of a report."""
    async with platform_fleet() as fleet:
        gateway = only(fleet.gateways)
        parts = tuple((f'{number:064x}', 1) for number in range(100))
        reports = [
            PrefillReport('llm-0', parts) for _ in range(MAX_PREFILL_REPORTS)
        ]
        gateway.view.peers['other'] = '127.0.0.1:9'
        for _ in range(2):
            gateway.scheduler.prefill_reports.extend(reports)
            with mock.patch.object(gateway.exchange, '_send_listed') as send:
                gateway.exchange.send_report()
            assert 1000 < len(send.call_args.args[1]) <= MAX_DATAGRAM_BYTES


@given(st.lists(st.floats(allow_nan=False, allow_infinity=False), min_size=3))
def test_any_load_that_a_target_states_can_be_compared(numbers):
    """Numbers beyond those of any load are cut, not multiplied."""
    text = ','.join(map(repr, numbers))
    stated = {'Dandelionplank-Engine-Load': text, 'Retry-After': text}
    marks = headers.response_metadata(
        HTTPStatus.SERVICE_UNAVAILABLE, CIMultiDict(stated)
    )
    target = Target('t', 's', Address('10.0.0.1', 80), 'a')
    load = TargetLoad(target, None)
    load.record_report(marks.report, 0)
    assert 1 <= load.plain_load(load.share, 0) < 10**10


def test_dates_far_away_are_no_dates():
    """A year that no clock can hold is ignored like any malformed date."""
    for text in ('1 Jan 99999999999999999999 0:0:0 GMT', '1 Jan 0 0:0:0 +9'):
        marks = headers.response_metadata(
            HTTPStatus.SERVICE_UNAVAILABLE,
            CIMultiDict({'Retry-After': text, 'Date': text}),
        )
        assert marks.closed_s == 0


def test_any_idle_limit_that_a_target_states_is_bounded():
    """A limit of 400 digits is longer than any connection lives."""
    for digits in ('9' * 400, '9' * 5000):
        connection = TargetConnection(mock.Mock())
        message = mock.Mock(
            headers={'Keep-Alive': f'timeout={digits}'}, code=200
        )
        connection._to_response(message, mock.Mock())
        assert connection.idle_limit_s < 4000


@run_async
async def test_an_unexpected_error_in_a_request_promises_nothing():
    """Its caller gets 502, since the request may have been executed."""
    async with platform_fleet() as fleet:
        delivery = only(fleet.gateways).gateway.delivery
        with mock.patch.object(
            delivery.dispatcher, 'acquire', side_effect=OverflowError('large')
        ):
            for path in ('/look/x', '/book/x', '/chat/x'):
                status, _, answered = await fleet.call(path)
                assert status == 502
                assert 'Retry-After' not in answered
        assert (await fleet.call('/look/x'))[0] == 200
