"""Property tests of scheduling order, charges and slots."""

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from dandelionplank.accounts import ClientAccount
from dandelionplank.contracts import ServiceContract, ServiceKind
from dandelionplank.errors import ErrorCode
from dandelionplank.fairness.counters import VirtualCounters
from dandelionplank.fairness.invariants import find_violations
from dandelionplank.fairness.recovery import SchedulerRecovery
from dandelionplank.fairness.scheduler import PoolScheduler
from dandelionplank.messages import (
    AccountCounter,
    Done,
    Grant,
    Probe,
    Progress,
    Refuse,
    RunningAttempt,
    Sync,
    TargetReport,
    Ticket,
)
from dandelionplank.settings import Address
from dandelionplank.targets import Target

POOL = 'assistant/0'
SHARES = {'small': 1.0, 'middle': 2.0, 'large': 4.0}
MAX_COST = 2000.0
SLOTS_PER_TARGET = 3


def make_scheduler(targets=2, queue_limit=1000):
    """Return a scheduler with three accounts."""
    contract = ServiceContract(
        'assistant',
        ServiceKind.MODEL,
        target_limit=SLOTS_PER_TARGET,
    )
    scheduler = PoolScheduler(POOL, contract)
    scheduler.configure(
        contract,
        {
            name: ClientAccount(
                name, 'dobrescu', share, queue_limit=queue_limit
            )
            for name, share in SHARES.items()
        },
        [
            Target(f't{n}', 'assistant', Address('127.0.0.1', 9000 + n), 'a')
            for n in range(targets)
        ],
    )
    return scheduler


def grants_in(outgoing):
    """Return the grants among outgoing messages."""
    return [
        each.message for each in outgoing if isinstance(each.message, Grant)
    ]


def finish(scheduler, grant, cost, now_s=1.0):
    """Report a granted attempt as finished."""
    scheduler.finish(
        Done(POOL, grant.ticket_id, grant.target, cost),
        now_s,
    )


@given(
    costs=st.lists(
        st.tuples(
            st.floats(1, MAX_COST),
            st.floats(1, MAX_COST),
        ),
        min_size=60,
        max_size=200,
    ),
    order=st.randoms(use_true_random=False),
)
def test_gap_between_accounts_is_bounded_when_all_are_backlogged(costs, order):
    """Service per share differs by at most twice the largest work in flight."""
    scheduler = make_scheduler()
    served = dict.fromkeys(SHARES, 0.0)
    for number in range(300):
        for name in SHARES:
            ticket = Ticket(
                f'{name}-{number}', name, costs[number % len(costs)][0]
            )
            scheduler.enqueue('r', ticket, 0)
    running = grants_in(scheduler.schedule(0))
    for number in range(len(costs)):
        grant = running.pop(order.randrange(len(running)))
        name = grant.ticket_id.partition('-')[0]
        actual = costs[number][1]
        served[name] += actual / SHARES[name]
        finish(scheduler, grant, actual)
        running.extend(grants_in(scheduler.schedule(1)))
        gap = max(served.values()) - min(served.values())
        in_flight = 2 * SLOTS_PER_TARGET * MAX_COST
        assert gap <= 2 * in_flight


def test_service_follows_shares_when_all_are_backlogged():
    """Accounts with shares 1:2:4 are granted slots in this ratio."""
    scheduler = make_scheduler()
    for number in range(2000):
        for name in SHARES:
            scheduler.enqueue('r', Ticket(f'{name}-{number}', name, 100), 0)
    counts = dict.fromkeys(SHARES, 0)
    running = grants_in(scheduler.schedule(0))
    for _ in range(1400):
        grant = running.pop(0)
        counts[grant.ticket_id.partition('-')[0]] += 1
        finish(scheduler, grant, 100)
        running.extend(grants_in(scheduler.schedule(1)))
    for name, share in SHARES.items():
        assert abs(counts[name] - 200 * share) <= 2 * SLOTS_PER_TARGET


def test_new_account_is_next_when_high_estimates_are_refunded():
    """A refunded estimate does not count against a new account."""
    scheduler = make_scheduler()
    for number in range(40):
        scheduler.enqueue('r', Ticket(f'small-{number}', 'small', 1000), 0)
    running = grants_in(scheduler.schedule(0))
    scheduler.enqueue('r', Ticket('large-0', 'large', 10), 0)
    for grant in running:
        finish(scheduler, grant, 10)
    assert scheduler.counters.virtual['large'] <= 10
    next_grant = grants_in(scheduler.schedule(1))[0]
    assert next_grant.ticket_id == 'large-0'


def probed_targets(outgoing):
    """Return the targets of the probes among outgoing messages."""
    return [
        each.message.target
        for each in outgoing
        if isinstance(each.message, Probe)
    ]


def mark_slow(scheduler, target):
    """Report two streams that are to be moved away from a target."""
    for number in range(2):
        ticket = Ticket(f'moved-{number}', 'small', 10, avoid=target)
        scheduler.enqueue('r', ticket, number / 10)


def fill_slots(scheduler):
    """Fill the slots of all targets with retryable tickets."""
    for number in range(SLOTS_PER_TARGET * len(scheduler.slots)):
        ticket = Ticket(f'small-{number}', 'small', 10, is_retryable=True)
        scheduler.enqueue('r', ticket, 0)
    return grants_in(scheduler.schedule(0))


def test_slow_target_is_probed_only_within_its_slots():
    """A probe is one more stream, so a target that is full gets none."""
    scheduler = make_scheduler()
    running = [each for each in fill_slots(scheduler) if each.target == 't0']
    mark_slow(scheduler, 't0')
    assert scheduler.slots['t0'].is_slow
    assert len(running) == SLOTS_PER_TARGET
    for grant in running:
        assert not probed_targets(scheduler.schedule(1))
        finish(scheduler, grant, 10)
    assert probed_targets(scheduler.schedule(2)) == ['t0']


def test_only_target_of_a_pool_is_not_marked_slow():
    """No other target can take its work, so it keeps all of its slots."""
    scheduler = make_scheduler(targets=1)
    mark_slow(scheduler, 't0')
    assert len(fill_slots(scheduler)) == SLOTS_PER_TARGET


def test_slow_target_recovers_when_it_is_left_alone_in_its_pool():
    """Without other targets there is no median that it could fall behind."""
    scheduler = make_scheduler()
    mark_slow(scheduler, 't0')
    assert scheduler.slots['t0'].is_slow
    scheduler.configure(
        scheduler.contract,
        scheduler.accounts,
        [scheduler.slots['t0'].target],
    )
    scheduler.record_report(TargetReport(POOL, 't0', 1, 50, 0.25, 0, 0, 0, 0))
    assert scheduler.adapt(1).recovered == ('t0',)
    assert len(fill_slots(scheduler)) == SLOTS_PER_TARGET


def test_idle_time_earns_no_credit():
    """An account that was idle starts at the counter of the others."""
    scheduler = make_scheduler()
    for number in range(200):
        scheduler.enqueue('r', Ticket(f'small-{number}', 'small', 100), 0)
    running = grants_in(scheduler.schedule(0))
    for _ in range(100):
        finish(scheduler, running.pop(0), 100)
        running.extend(grants_in(scheduler.schedule(0)))
    scheduler.enqueue('r', Ticket('middle-0', 'middle', 100), 0)
    level = scheduler.counters.virtual['middle']
    assert level >= scheduler.counters.settled_counter('small')


def test_only_the_account_whose_queue_is_full_is_refused():
    """A flood fills the queue of its own account."""
    scheduler = make_scheduler(queue_limit=10)
    refused = []
    for number in range(50):
        refused += scheduler.enqueue(
            'r', Ticket(f'small-{number}', 'small', 1), 0
        )
    assert len(refused) == 40
    assert isinstance(refused[0].message, Refuse)
    assert refused[0].message.code == ErrorCode.QUEUE_FULL.name
    assert not scheduler.enqueue('r', Ticket('large-0', 'large', 1), 0)


def test_short_tickets_are_granted_before_long_ones_until_these_age():
    """Within an account, short tickets go first; waiting time offsets cost."""
    scheduler = make_scheduler(targets=1)
    scheduler.slots['t0'].limit = 1
    scheduler.enqueue('r', Ticket('long', 'small', 2000), 0)
    scheduler.enqueue('r', Ticket('short', 'small', 10), 1)
    scheduler.enqueue('r', Ticket('late', 'small', 10), 60)
    order = []
    for _ in range(3):
        grant = grants_in(scheduler.schedule(60))[0]
        order.append(grant.ticket_id)
        finish(scheduler, grant, 1, 60)
    assert order == ['short', 'long', 'late']


@given(
    reports=st.lists(
        st.lists(
            st.tuples(st.sampled_from(sorted(SHARES)), st.floats(0, 1e6)),
            max_size=5,
        ),
        max_size=6,
    ),
    order=st.randoms(use_true_random=False),
)
def test_merging_reports_is_idempotent_and_commutative(reports, order):
    """Repeated and reordered reports give the same counters."""
    messages = [
        tuple(AccountCounter(name, level) for name, level in report)
        for report in reports
    ]
    first, second = VirtualCounters(), VirtualCounters()
    for message in messages:
        first.merge(message)
    repeated = messages * 2
    order.shuffle(repeated)
    for message in repeated:
        second.merge(message)
    assert first.virtual == second.virtual


def test_debt_after_a_merge_is_capped():
    """Service received elsewhere delays an account only up to a limit."""
    scheduler = make_scheduler()
    for name in SHARES:
        for number in range(10):
            scheduler.enqueue('r', Ticket(f'{name}-{number}', name, 100), 0)
    counters = (AccountCounter('small', 1e9),)
    waiting = tuple(
        Ticket(f'small-{number}', 'small', 100) for number in range(10)
    )
    recovery = SchedulerRecovery(scheduler)
    recovery.sync('other', Sync(POOL, waiting, (), counters), 0)
    assert recovery.cap_debt() == ('small',)
    floor = min(scheduler.counters.virtual.values())
    cap = 2 * max(scheduler.in_flight.peak_cost, scheduler.contract.short_cost)
    assert scheduler.counters.virtual['small'] <= floor + cap


class SchedulerMachine(RuleBasedStateMachine):
    """Sends a scheduler random and repeated messages of two entries."""

    def __init__(self):
        super().__init__()
        self.scheduler = make_scheduler(queue_limit=20)
        self.entries = {'r0': {}, 'r1': {}}
        self.running = {}
        self.number = 0
        self.now_s = 0.0

    def deliver(self, outgoing):
        for each in outgoing:
            message = each.message
            entry = self.entries[each.instance]
            if isinstance(message, Refuse):
                entry.pop(message.ticket_id, None)
                continue
            if message.ticket_id in self.running:
                assert self.running[message.ticket_id].target == message.target
                continue
            assert message.ticket_id in entry, 'granted, but not waiting'
            self.running[message.ticket_id] = message

    @rule(
        entry=st.sampled_from(['r0', 'r1']),
        account=st.sampled_from(sorted(SHARES)),
        estimate=st.floats(1, MAX_COST),
        repeated=st.booleans(),
    )
    def enqueue(self, entry, account, estimate, repeated):
        self.number += 1
        ticket = Ticket(f'{account}-{self.number}', account, estimate)
        self.entries[entry][ticket.id] = ticket
        for _ in range(1 + repeated):
            self.deliver(self.scheduler.enqueue(entry, ticket, self.now_s))

    @rule()
    def schedule(self):
        self.now_s += 0.01
        self.deliver(self.scheduler.schedule(self.now_s))

    @precondition(lambda self: self.running)
    @rule(pick=st.randoms(use_true_random=False), cost=st.floats(0, MAX_COST))
    def progress(self, pick, cost):
        ticket_id = pick.choice(sorted(self.running))
        self.scheduler.progress(Progress(POOL, ticket_id, cost))

    @precondition(lambda self: self.running)
    @rule(
        pick=st.randoms(use_true_random=False),
        cost=st.floats(0, MAX_COST),
        failed=st.booleans(),
        repeated=st.booleans(),
    )
    def done(self, pick, cost, failed, repeated):
        ticket_id = pick.choice(sorted(self.running))
        grant = self.running.pop(ticket_id)
        for entry in self.entries.values():
            entry.pop(ticket_id, None)
        message = Done(POOL, ticket_id, grant.target, cost, failed)
        for _ in range(1 + repeated):
            self.scheduler.finish(message, self.now_s)

    @rule(entry=st.sampled_from(['r0', 'r1']))
    def sync(self, entry):
        tickets = self.entries[entry]
        waiting = tuple(
            each for each in tickets.values() if each.id not in self.running
        )
        running = tuple(
            RunningAttempt(
                each,
                self.running[each.id].target,
                self.running[each.id].charged,
            )
            for each in tickets.values()
            if each.id in self.running
        )
        message = Sync(POOL, waiting, running, ())
        recovery = SchedulerRecovery(self.scheduler)
        self.deliver(recovery.sync(entry, message, self.now_s))

    @rule(entry=st.sampled_from(['r0', 'r1']))
    def entry_fails(self, entry):
        for ticket_id in self.entries[entry]:
            self.running.pop(ticket_id, None)
        self.entries[entry].clear()
        SchedulerRecovery(self.scheduler).drop_entry(entry)

    @rule(count=st.integers(2, 3))
    def restart_empty(self, count):
        """Replace the scheduler by an empty one that the entries restore."""
        self.scheduler = make_scheduler(targets=count, queue_limit=20)
        for entry in self.entries:
            self.sync(entry)

    @invariant()
    def consistent(self):
        violations = find_violations(self.scheduler, self.now_s)
        assert [each for each in violations if 'idle' not in each] == []

    @invariant()
    def work_conserving(self):
        self.deliver(self.scheduler.schedule(self.now_s))
        assert find_violations(self.scheduler, self.now_s) == []

    @invariant()
    def in_flight_matches_the_entries(self):
        assert set(self.scheduler.in_flight) == set(self.running)


def test_scheduler_keeps_its_invariants():
    """No sequence of messages violates an invariant."""
    run_state_machine_as_test(
        SchedulerMachine,
        settings=settings(max_examples=60, stateful_step_count=40),
    )
