"""The member table: suspicion, refutation and the merge of views."""

import random

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from dandelionplank.instances import Instance, InstanceStatus
from dandelionplank.membership.table import MemberTable
from dandelionplank.routing.rendezvous import pick_instance, rank_instances

SUSPICION_S = 1.0
updates = st.builds(
    Instance,
    st.sampled_from(['b', 'c', 'd']),
    st.just('127.0.0.1:1'),
    st.just('center'),
    st.just('region'),
    st.integers(1, 4),
    st.sampled_from(list(InstanceStatus)),
)


def member(name, incarnation=1, status=InstanceStatus.ALIVE):
    """Return an instance."""
    return Instance(
        name, '127.0.0.1:1', 'center', 'region', incarnation, status
    )


def table_of(name='a'):
    """Return the table of an instance."""
    return MemberTable(member(name), SUSPICION_S)


def test_silent_instance_is_suspected_then_dead():
    """An instance that does not answer is taken as failed in time."""
    table = table_of()
    table.merge([member('b')], 0)
    table.suspect('b', 1)
    assert 'b' in table.present
    assert not table.expire(1.5)
    assert [each.instance.id for each in table.expire(2.1)] == ['b']
    assert 'b' not in table.present


def test_suspicion_is_refuted_by_a_higher_incarnation():
    """A suspect that lives raises its incarnation, and all believe it."""
    table = table_of('b')
    table.merge([member('b', 1, InstanceStatus.SUSPECT)], 0)
    assert table.own.incarnation == 2
    other = table_of('a')
    other.merge([member('b', 1, InstanceStatus.DEAD)], 0)
    other.merge([table.own], 0)
    assert 'b' in other.present


@given(
    events=st.lists(updates, max_size=12),
    order=st.randoms(use_true_random=False),
)
def test_tables_agree_whatever_the_order_of_updates(events, order):
    """Two tables that hear the same agree, repeated or out of order."""
    first, second = table_of(), table_of()
    seen = [member(name, 1) for name in ('b', 'c', 'd')]
    first.merge(seen, 0)
    second.merge(seen, 0)
    first.merge(events, 0)
    again = events * 2
    order.shuffle(again)
    second.merge(again, 0)
    assert first.members == second.members


@given(
    names=st.sets(st.text('abcdef', min_size=1, max_size=4), min_size=2),
    role=st.text(max_size=10),
)
def test_losing_an_instance_moves_only_its_roles(names, role):
    """The next in order takes over; nobody else's role moves."""
    ranked = rank_instances(role, names)
    assert pick_instance(role, names - {ranked[0]}) == ranked[1]
    assert pick_instance(role, names - {ranked[-1]}) == ranked[0]


def test_every_peer_is_probed_once_a_round():
    """A round of probes reaches every peer."""
    table = table_of()
    table.merge([member(f'p{number}') for number in range(10)], 0)
    rng = random.Random(1)
    probed = [table.next_probe(rng) for _ in range(10)]
    assert sorted(probed) == sorted(table.peers)


def test_restarted_instance_replaces_its_past():
    """A restart has a higher incarnation and is alive again."""
    table = table_of()
    table.merge([member('b', 1)], 0)
    table.merge([member('b', 1, InstanceStatus.LEFT)], 0)
    assert 'b' not in table.present
    changes = table.merge([member('b', 9)], 0)
    assert 'b' in table.present
    assert msgspec.structs.asdict(changes[0].instance)['incarnation'] == 9
