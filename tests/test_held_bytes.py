"""Tests of the account of callers' bodies and of the bounds, without I/O."""

import math

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)

from dandelionplank.ingress.callerbounds import (
    FILE_RESERVE,
    CallerBounds,
    Unread,
    derive_bounds,
    find_slow_readers,
)
from dandelionplank.ingress.heldbytes import (
    MAX_WAIT_S,
    RESERVED_BODY_BYTES,
    STALL_S,
    Decision,
    HeldBytes,
)

BODY_BYTES = 4_194_304
BLOCK_BYTES = 16_384
SMALL_LIMIT = 4_000_000
LARGE_LIMIT = 10_000_000


def held_bytes():
    """Return an account without any body."""
    return HeldBytes(SMALL_LIMIT, LARGE_LIMIT)


def begin(held, account, now_s=0.0):
    """Return a body whose reserved part has been received, and its decision."""
    holding = held.open(account, now_s)
    decision = held.add(holding, RESERVED_BODY_BYTES, BODY_BYTES, now_s)
    return holding, decision


def test_one_account_cannot_hold_the_whole_budget():
    """Another account's body was refused while one account held all places."""
    held = held_bytes()
    assert begin(held, 'a')[1] is Decision.READ
    assert begin(held, 'a')[1] is Decision.WAIT
    assert begin(held, 'b')[1] is Decision.READ
    assert begin(held, 'c')[1] is Decision.WAIT
    assert held.large_bytes <= LARGE_LIMIT


def test_a_body_gets_a_place_once_another_has_ended():
    """The account that holds least comes first, then the longest wait."""
    held = held_bytes()
    first, _ = begin(held, 'a')
    second, _ = begin(held, 'b')
    third, _ = begin(held, 'a')
    fourth, _ = begin(held, 'c')
    assert held.close(second, 1) == [fourth]
    assert held.close(first, 1) == [third]
    assert not held.waiting


def test_small_bodies_do_not_depend_on_large_ones():
    """Large bodies that stall kept small ones from being received."""
    held = held_bytes()
    for account in 'abc':
        begin(held, account)
    small = held.open('d', 0)
    assert held.add(small, 4096, 8192, 0) is Decision.READ


def test_a_complete_body_keeps_only_its_size():
    """A chunked body takes a place of the largest size while it is read."""
    held = held_bytes()
    first, _ = begin(held, 'a')
    second, _ = begin(held, 'a')
    held.add(first, 10, BODY_BYTES, 0)
    assert held.complete(first, 0) == [second]
    assert first.place_bytes == 10


def test_stalled_bodies_lose_their_place_to_one_that_waits():
    """The place of a body that lacks its last byte was held for 15 s."""
    held = held_bytes()
    stalled, _ = begin(held, 'a')
    waiting, _ = begin(held, 'a', 0.5)
    assert not held.refuse_stalled(STALL_S / 2)
    assert held.refuse_stalled(STALL_S) == [stalled]
    assert held.add(stalled, 1, BODY_BYTES, 1) is Decision.REFUSE
    assert held.close(stalled, 1) == [waiting]


def test_a_body_that_trickles_in_counts_as_stalled():
    """A byte now and then does not keep a place from those that wait."""
    held = held_bytes()
    slow, _ = begin(held, 'a')
    begin(held, 'a', 1.5)
    for tick in range(20):
        held.add(slow, 100, BODY_BYTES, tick / 10)
    assert held.refuse_stalled(2) == [slow]


def test_a_stalled_body_stays_while_none_waits():
    """A slow caller is no harm while there is room."""
    held = held_bytes()
    begin(held, 'a')
    assert not held.refuse_stalled(100)


def test_complete_bodies_are_never_refused():
    """A complete request that waits for a target is served."""
    held = held_bytes()
    complete, _ = begin(held, 'a')
    held.complete(complete, 0)
    large, _ = begin(held, 'a')
    begin(held, 'a')
    assert complete not in held.refuse_stalled(1.5)
    assert not complete.is_refused
    assert large.is_refused


def test_a_body_that_arrives_whole_waits_for_nothing():
    """One that needed no place was refused later while its request waited."""
    held = held_bytes()
    begin(held, 'a')
    whole = held.open('a', 0)
    held.add(whole, 100_000, BODY_BYTES, 0)
    assert not held.complete(whole, 0)
    assert not held.waiting
    assert whole.place_bytes == 100_000 - RESERVED_BODY_BYTES
    waiting, _ = begin(held, 'a', 9)
    assert whole not in held.refuse_stalled(10)
    held.close(whole, 10)
    assert held.large_bytes == BODY_BYTES - RESERVED_BODY_BYTES
    assert waiting.wanted_bytes


def test_requests_without_a_body_are_not_refused():
    """A request that waits for its target has not stalled."""
    held = held_bytes()
    bare = held.open('a', 0)
    held.complete(bare, 0)
    assert not held.refuse_idle(1, 100)
    assert not bare.is_refused


def test_a_wait_for_room_ends():
    """A body that waits is refused in time to be sent elsewhere."""
    held = held_bytes()
    sending, _ = begin(held, 'a')
    waiting, _ = begin(held, 'a')
    sent_s = 0.0
    while sent_s < MAX_WAIT_S:
        sent_s += 0.1
        held.add(sending, 40_000, BODY_BYTES, sent_s)
        assert not held.refuse_stalled(sent_s) or sent_s > MAX_WAIT_S
    assert waiting.is_refused
    assert not sending.is_refused


class HeldBytesMachine(RuleBasedStateMachine):
    """Requests begin, grow, complete and end in any order."""

    bodies = Bundle('bodies')

    def __init__(self):
        """Hold no body."""
        super().__init__()
        self.held = held_bytes()
        self.now_s = 0.0
        self.readable = set()

    @rule(target=bodies, account=st.sampled_from('abc'))
    def open(self, account):
        """Begin a request."""
        holding = self.held.open(account, self.now_s)
        self.readable.add(holding)
        return holding

    @rule(holding=bodies, blocks=st.integers(1, 300))
    def add(self, holding, blocks):
        """Receive blocks as long as the body may be read."""
        for _ in range(blocks):
            is_readable = holding in self.readable and not holding.is_complete
            if not is_readable or holding.received + BLOCK_BYTES > BODY_BYTES:
                return
            decision = self.held.add(
                holding, BLOCK_BYTES, BODY_BYTES, self.now_s
            )
            if decision is not Decision.READ:
                self.readable.discard(holding)

    @rule(holding=bodies)
    def complete(self, holding):
        """Complete a body that is being read."""
        if holding in self.readable and not holding.is_complete:
            self.readable.update(self.held.complete(holding, self.now_s))

    @rule(holding=consumes(bodies))
    def close(self, holding):
        """End a request."""
        self.readable.discard(holding)
        self.readable.update(self.held.close(holding, self.now_s))

    @rule(seconds=st.floats(0, 3))
    def check(self, seconds):
        """Let time pass."""
        self.now_s += seconds
        self.readable.difference_update(self.held.refuse_stalled(self.now_s))

    @invariant()
    def counts_agree(self):
        """What is counted equals what the open requests hold."""
        holdings = self.held.holdings
        assert self.held.small_bytes == sum(
            each.small_bytes for each in holdings
        )
        places = [each.place_bytes for each in holdings]
        assert self.held.large_bytes == sum(places)
        assert sum(self.held.by_account.values()) == sum(places)

    @invariant()
    def limits_hold(self):
        """No body is held beyond its reserved part and its place."""
        assert self.held.large_bytes <= LARGE_LIMIT
        for each in self.held.holdings:
            beyond = each.received - RESERVED_BODY_BYTES - BLOCK_BYTES
            assert beyond <= 0 or each.place_bytes > beyond


TestHeldBytes = HeldBytesMachine.TestCase


@given(st.floats(100, 4000), st.floats(300, 100_000))
def test_bounds_fit_the_machine(memory_mb, file_descriptors):
    """Bounds that are larger than the machine let the process be killed."""
    bounds = derive_bounds(memory_mb, file_descriptors)
    assert bounds.connections <= file_descriptors - FILE_RESERVE
    assert bounds.held_bytes <= memory_mb * 1_048_576
    parts = bounds.small_bytes + bounds.large_bytes + bounds.response_bytes
    assert math.isclose(parts, bounds.held_bytes, rel_tol=0.001)
    assert bounds.count_surplus(bounds.connections) > 0
    assert not bounds.count_surplus(0)


def test_bounds_have_defaults():
    """A deployment that states no limits is served as before."""
    assert derive_bounds(0, 0) == CallerBounds()


def test_callers_that_read_nothing_close_first():
    """A caller that reads a large response slowly is closed after them."""
    sizes = (('reads', 900, 1000), ('stalls', 500, 500), ('new', 600, 0))
    unread = [Unread(*each) for each in sizes]
    found = [each.writer for each in find_slow_readers(unread, 1600)]
    assert found == ['stalls']
    found = [each.writer for each in find_slow_readers(unread, 1000)]
    assert found == ['stalls', 'reads']
    assert not list(find_slow_readers(unread, 2000))
