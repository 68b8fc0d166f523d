"""Tests of the admission queue."""

from __future__ import annotations

import collections
import heapq
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from nutmegspoke.admission.queueing import AdmissionQueue, QueueSettings
from nutmegspoke.admission.tickets import Admitted, Queued, Ticket
from nutmegspoke.errors import BrokenInvariantError
from nutmegspoke.outcomes import NotRun, RefusalReason
from tests.builders_routing import ticket


def _queue(capacity: int = 1, max_queue: int = 1000) -> AdmissionQueue:
    return AdmissionQueue(
        QueueSettings(max_queue=max_queue, expected_service_s=1.0),
        capacity,
        random.Random(7),
    )


class AdmissionQueueTest(unittest.TestCase):
    """Order, bounds, deadlines and team limits."""

    def test_runs_up_to_capacity_and_then_by_priority_and_deadline(
        self,
    ) -> None:
        """Within a team, higher priorities go first, then earlier deadlines."""
        queue = _queue()
        first = ticket('first')
        self.assertEqual(queue.offer(first, 0), Admitted(first))
        for name, priority, deadline_s in (
            ('late', 0, 900),
            ('soon', 0, 800),
            ('urgent', 1, 1000),
        ):
            waiting = ticket(name, priority=priority, deadline_s=deadline_s)
            self.assertIsInstance(queue.offer(waiting, 0), Queued)
        order = _collect_start_order(queue, first)
        self.assertEqual(order, ['urgent', 'soon', 'late'])

    def test_teams_share_by_weight_and_work(self) -> None:
        """Weights of 1:3 give work of 1:3, for any costs of the requests."""
        queue = _queue()
        first = ticket('first', 'other')
        queue.offer(first, 0)
        for number in range(60):
            queue.offer(ticket(f'a{number}', 'a', cost=2), 0)
            queue.offer(ticket(f'b{number}', 'b', weight=3), 0)
        order = _collect_start_order(queue, first)[:40]
        counts = collections.Counter(name[0] for name in order)
        self.assertAlmostEqual(counts['b'] / (2 * counts['a']), 3, delta=0.5)

    def test_a_flood_delays_a_small_team_by_one_request_only(self) -> None:
        """The request of the small team starts after the running one."""
        queue = _queue()
        first = ticket('flood', 'large')
        queue.offer(first, 0)
        for number in range(200):
            queue.offer(ticket(f'flood{number}', 'large'), 0)
        queue.offer(ticket('small', 'small'), 0)
        self.assertIn('small', _collect_start_order(queue, first)[:2])

    def test_a_full_queue_evicts_from_the_longest_team(self) -> None:
        """A small team is queued; the flood's newest request is refused."""
        queue = _queue(max_queue=5)
        queue.offer(ticket('run', 'large'), 0)
        for number in range(5):
            queue.offer(ticket(f'flood{number}', 'large'), 0)
        excess = queue.offer(ticket('flood5', 'large'), 0)
        self.assertEqual(excess.reason, RefusalReason.QUEUE_FULL)
        self.assertIsInstance(queue.offer(ticket('small', 'small'), 0), Queued)
        refused = queue.start_ready(0).refused
        self.assertEqual(
            [each.ticket.request_id for each in refused], ['flood4']
        )
        self.assertEqual(refused[0].outcome.reason, RefusalReason.QUEUE_FULL)
        self.assertEqual(queue.waiting_count, 5)

    def test_refuses_on_arrival_what_cannot_make_its_deadline(self) -> None:
        """The expected wait and service time must fit into the deadline."""
        queue = _queue()
        queue.offer(ticket('run'), 0)
        for number in range(3):
            queue.offer(ticket(f'w{number}', deadline_s=4), 0)
        refused = queue.offer(ticket('late', deadline_s=4.5), 0)
        self.assertIsInstance(refused, NotRun)
        self.assertEqual(refused.reason, RefusalReason.DEADLINE)
        self.assertGreaterEqual(refused.retry_after_s, 4)
        self.assertIsInstance(
            queue.offer(ticket('ok', deadline_s=6), 0), Queued
        )

    def test_refuses_what_takes_longer_than_it_has_on_a_busy_pool(self) -> None:
        """An idle pool runs the request, as the estimate may be outdated."""
        queue = _queue(capacity=2)
        short = ticket('short', deadline_s=0.5)
        self.assertEqual(queue.offer(short, 0), Admitted(short))
        refused = queue.offer(ticket('next', deadline_s=0.5), 0)
        self.assertEqual(refused.reason, RefusalReason.DEADLINE)

    def test_a_waiting_request_is_refused_once_it_cannot_make_it(self) -> None:
        """The refusal comes at the time of the next event."""
        queue = _queue()
        queue.offer(ticket('run'), 0)
        queue.offer(ticket('w', deadline_s=5), 0)
        event_s = queue.next_call_s(0)
        self.assertEqual(event_s, 4)
        self.assertEqual(queue.start_ready(event_s).refused, ())
        refused = queue.start_ready(event_s + 0.01).refused
        self.assertEqual(refused[0].outcome.reason, RefusalReason.DEADLINE)
        self.assertIsNone(queue.next_call_s(event_s))

    def test_a_team_at_its_limit_waits_and_others_pass(self) -> None:
        """A limit affects its own team only, until it is raised."""
        queue = _queue(capacity=3)
        queue.offer(ticket('a1', 'a', max_in_flight=1), 0)
        self.assertIsInstance(
            queue.offer(ticket('a2', 'a', max_in_flight=1), 0),
            Queued,
        )
        passing = ticket('b1', 'b')
        self.assertEqual(queue.offer(passing, 0), Admitted(passing))
        self.assertEqual(queue.start_ready(0).started, ())
        queue.limit_team('a', 2)
        self.assertEqual(queue.start_ready(0).started[0].request_id, 'a2')
        none = queue.offer(
            ticket('c', 'c', max_in_flight=0, deadline_s=0.5),
            0,
        )
        self.assertEqual(none.reason, RefusalReason.TEAM_LIMIT)

    def test_detects_a_team_that_runs_less_than_its_share(self) -> None:
        """A small team beside a flood is below its share; a sole one is not."""
        queue = _queue(capacity=30)
        alone = ticket('alone', 'large')
        queue.offer(alone, 0)
        self.assertFalse(queue.is_below_share(alone))
        for number in range(10):
            queue.offer(ticket(f'flood{number}', 'large'), 0)
        small = ticket('small', 'small')
        queue.offer(small, 0)
        self.assertTrue(queue.is_below_share(small))
        self.assertFalse(queue.is_below_share(alone))

    def test_a_requeued_request_goes_first_after_a_pause(self) -> None:
        """Guards against a loop of starts while no target is available."""
        queue = _queue(capacity=2)
        first = ticket('first')
        queue.offer(first, 0)
        queue.requeue(first, 0)
        self.assertIsInstance(queue.offer(ticket('second'), 0), Queued)
        self.assertEqual(queue.start_ready(0).started, ())
        self.assertLess(queue.next_call_s(0), 0.1)
        started = queue.start_ready(queue.next_call_s(0)).started
        names = [each.request_id for each in started]
        self.assertEqual(names, ['first', 'second'])

    def test_removes_idle_teams(self) -> None:
        """Memory stays bounded although callers may send any team name."""
        queue = _queue(capacity=1, max_queue=0)
        queue.offer(ticket('run', 'first'), 0)
        for number in range(3000):
            name = f't{number}'
            self.assertIsInstance(
                queue.offer(ticket(name, name, retry_key=name), 100 * number),
                NotRun,
            )
        self.assertLessEqual(len(queue._order.teams), 1025)
        self.assertLessEqual(len(queue._retry_slots._last_slot_end_s), 1025)
        self.assertLessEqual(len(queue._retry_slots._slots), 1025)
        self.assertIn('first', queue._order.teams)

    def test_broken_invariants_are_raised(self) -> None:
        """A ticket offered twice or finished twice raises an error."""
        queue = _queue()
        first = ticket('first')
        queue.offer(first, 0)
        with self.assertRaises(BrokenInvariantError):
            queue.offer(first, 0)
        queue.finish(first, 1)
        with self.assertRaises(BrokenInvariantError):
            queue.finish(first, 1)

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(('offer', 'ready', 'finish', 'cancel', 'back')),
                st.integers(0, 3),
                st.floats(0, 2),
            ),
            max_size=80,
        ),
    )
    def test_no_ticket_is_lost_or_started_twice(self, steps: list) -> None:
        """Each ticket waits, runs, or has ended exactly once."""
        queue = _queue(capacity=2, max_queue=4)
        state: dict[str, str] = {}
        tickets: dict[str, Ticket] = {}
        now_s = 0.0
        for number, (action, team, wait_s) in enumerate(steps):
            now_s += wait_s
            _run_step(queue, action, f'{number}', team, now_s, state, tickets)
            counts = collections.Counter(state.values())
            self.assertEqual(queue.waiting_count, counts['waiting'])
            self.assertEqual(queue.running_count, counts['running'])
            self.assertLessEqual(queue.running_count, 2)


class RetryAfterTest(unittest.TestCase):
    """A caller that retries at the assigned time is served."""

    def test_callers_who_retry_as_told_are_served(self) -> None:
        """The load is three times the capacity; all callers retry in time."""
        for seed in (11, 1, 2, 3):
            run = _Overload(seed)
            run.simulate(arrivals_per_s=30, seconds=60)
            self.assertGreater(run.refused_first, 500)
            self.assertEqual(run.refused_again, 0)
            self.assertEqual(run.expired_again, 0)
            self.assertEqual(run.served, run.arrived)
            goodput_per_s = run.served / run.ended_s
            self.assertGreater(goodput_per_s, 0.9 * run.capacity_per_s)

    def test_callers_who_never_retry_do_not_delay_others(self) -> None:
        """Slots of callers that do not retry are assigned again."""
        queue = _queue(capacity=1, max_queue=0)
        running = ticket('run0')
        queue.offer(running, 0)
        retry_times_s = []
        for second in range(1, 600):
            queue.finish(running, second)
            running = ticket(f'run{second}')
            queue.offer(running, second)
            for number in range(3):
                name = f'{second}-{number}'
                answer = queue.offer(ticket(name, retry_key=name), second)
                retry_times_s.append(answer.retry_after_s)
        self.assertLess(max(retry_times_s[-30:]), 120)

    def test_two_callers_are_not_told_the_same_time(self) -> None:
        """Slots and jitter give callers different retry times."""
        queue = _queue(max_queue=0)
        queue.offer(ticket('run'), 0)
        times = [
            queue.offer(ticket(f't{n}', retry_key=f'{n}'), 0).retry_after_s
            for n in range(50)
        ]
        self.assertEqual(len({round(each, 2) for each in times}), 50)
        self.assertAlmostEqual(max(times), 50, delta=4)


class _Overload:
    """Callers of one pool that retry exactly at the assigned time."""

    def __init__(self, seed: int) -> None:
        self.capacity_per_s = 10.0
        self.arrived = 0
        self.refused_first = 0
        self.refused_again = 0
        self.expired_again = 0
        self.served = 0
        self.ended_s = 0.0
        self._returned: set[str] = set()
        self._source = random.Random(seed)
        self._queue = _queue(capacity=5, max_queue=20)
        self._events: list = []
        self._number = 0

    def simulate(self, arrivals_per_s: int, seconds: int) -> None:
        for number in range(arrivals_per_s * seconds):
            at_s = number / arrivals_per_s
            self._add(at_s, 'arrive', f'k{number}')
        while self._events:
            now_s, _, kind, subject = heapq.heappop(self._events)
            getattr(self, f'_{kind}')(subject, now_s)

    def _add(self, at_s: float, kind: str, subject: object) -> None:
        self._number += 1
        heapq.heappush(self._events, (at_s, self._number, kind, subject))

    def _arrive(self, key: str, now_s: float) -> None:
        self.arrived += 1
        self.refused_first += not self._offer(key, now_s)

    def _return(self, key: str, now_s: float) -> None:
        self._returned.add(key)
        self.refused_again += not self._offer(key, now_s)

    def _offer(self, key: str, now_s: float) -> bool:
        self._number += 1
        offered = ticket(
            f'{key}-{self._number}',
            retry_key=key,
            deadline_s=now_s + 4,
        )
        answer = self._queue.offer(offered, now_s)
        if isinstance(answer, Admitted):
            self._run(offered, now_s)
        if isinstance(answer, NotRun):
            self._add(now_s + answer.retry_after_s, 'return', key)
        return not isinstance(answer, NotRun)

    def _run(self, started: Ticket, now_s: float) -> None:
        service_s = self._source.uniform(0.3, 0.7)
        self._add(now_s + service_s, 'finish', started)

    def _finish(self, ended: Ticket, now_s: float) -> None:
        self._queue.finish(ended, now_s)
        self.served += 1
        self.ended_s = now_s
        ready = self._queue.start_ready(now_s)
        for started in ready.started:
            self._run(started, now_s)
        for refused in ready.refused:
            self.expired_again += refused.ticket.retry_key in self._returned
            self._add(
                now_s + refused.outcome.retry_after_s,
                'return',
                refused.ticket.retry_key,
            )


def _collect_start_order(queue: AdmissionQueue, running: Ticket) -> list[str]:
    """Finish one request a second and return the order of the starts."""
    order: list[str] = []
    now_s = 0.0
    while True:
        now_s += 1
        queue.finish(running, now_s)
        started = queue.start_ready(now_s).started
        if not started:
            return order
        running = started[0]
        order.append(running.request_id)


def _run_step(queue, action, name, team, now_s, state, tickets) -> None:
    if action == 'offer':
        new = ticket(
            name,
            f'team{team}',
            deadline_s=now_s + 5,
            max_in_flight=1 if team == 3 else None,
            retry_key=name,
        )
        tickets[name] = new
        match queue.offer(new, now_s):
            case Admitted():
                state[name] = 'running'
            case Queued():
                state[name] = 'waiting'
            case NotRun():
                state[name] = 'refused'
        return
    if action == 'ready':
        ready = queue.start_ready(now_s)
        for started in ready.started:
            assert state[started.request_id] == 'waiting'
            state[started.request_id] = 'running'
        for refused in ready.refused:
            assert state[refused.ticket.request_id] in {'waiting', 'evicted'}
            state[refused.ticket.request_id] = 'refused'
        return
    wanted = {'finish': 'running', 'back': 'running', 'cancel': 'waiting'}
    known = [each for each, now in state.items() if now == wanted[action]]
    if not known:
        return
    name = known[team % len(known)]
    if action == 'finish':
        queue.finish(tickets[name], now_s)
        state[name] = 'ended'
    elif action == 'back':
        queue.requeue(tickets[name], now_s)
        state[name] = 'waiting'
    else:
        queue.cancel(tickets[name], now_s)
        state[name] = 'ended'
