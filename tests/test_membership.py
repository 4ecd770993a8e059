"""Membership table: suspicion, refutation and merging of updates."""

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


def make_table(name='a'):
    """Return a new table owned by an instance."""
    return MemberTable(member(name), SUSPICION_S)


def test_suspected_instance_is_dead_after_the_timeout():
    """An instance stays present while suspected and is removed afterwards."""
    table = make_table()
    table.merge([member('b')], 0)
    table.suspect('b', 1)
    assert 'b' in table.present
    assert not table.expire(1.5)
    assert [each.instance.id for each in table.expire(2.1)] == ['b']
    assert 'b' not in table.present


def test_suspicion_is_refuted_by_a_higher_incarnation():
    """A suspected instance raises its incarnation and is present again."""
    table = make_table('b')
    table.merge([member('b', 1, InstanceStatus.SUSPECT)], 0)
    assert table.own.incarnation == 2
    other = make_table('a')
    other.merge([member('b', 1, InstanceStatus.DEAD)], 0)
    other.merge([table.own], 0)
    assert 'b' in other.present


@given(
    events=st.lists(updates, max_size=12),
    order=st.randoms(use_true_random=False),
)
def test_tables_agree_regardless_of_the_order_of_updates(events, order):
    """Tables converge when updates arrive twice or in another order."""
    first, second = make_table(), make_table()
    initial = [member(name, 1) for name in ('b', 'c', 'd')]
    first.merge(initial, 0)
    second.merge(initial, 0)
    first.merge(events, 0)
    shuffled = events * 2
    order.shuffle(shuffled)
    second.merge(shuffled, 0)
    assert first.members == second.members


@given(
    names=st.sets(st.text('abcdef', min_size=1, max_size=4), min_size=2),
    role=st.text(max_size=10),
)
def test_losing_an_instance_moves_only_its_roles(names, role):
    """The next instance in rank order takes the role; other roles stay."""
    ranked = rank_instances(role, names)
    assert pick_instance(role, names - {ranked[0]}) == ranked[1]
    assert pick_instance(role, names - {ranked[-1]}) == ranked[0]


def test_every_peer_is_probed_once_a_round():
    """With 10 peers, 10 successive probes reach each peer once."""
    table = make_table()
    table.merge([member(f'p{number}') for number in range(10)], 0)
    rng = random.Random(1)
    probed = [table.next_probe(rng) for _ in range(10)]
    assert sorted(probed) == sorted(table.peers)


def test_restarted_instance_is_alive_after_it_had_left():
    """The higher incarnation of a restart overrides the status LEFT."""
    table = make_table()
    table.merge([member('b', 1)], 0)
    table.merge([member('b', 1, InstanceStatus.LEFT)], 0)
    assert 'b' not in table.present
    changes = table.merge([member('b', 9)], 0)
    assert 'b' in table.present
    assert msgspec.structs.asdict(changes[0].instance)['incarnation'] == 9
