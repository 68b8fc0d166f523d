"""Random interleavings of holders, pauses, lost results and sent orders."""

from __future__ import annotations

import random
import unittest

from hypothesis import settings, stateful
from hypothesis import strategies as st

from tests.placement.lease_world import LeaseDeployment

_NUMBERS = st.integers(0, 1)
_OUTCOMES = ('answered', 'answered', 'answered', 'lost', 'late', 'dropped')
_PAUSES_S = (*(0.0,) * 8, *(0.4,) * 8, 1.5, 3.0, 5.0, 10.0)
_SEEDS = 40
_STEPS = 1_500


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Drives the model by rules, so that hypothesis can shrink a failure."""

    def __init__(self) -> None:
        """Create the model."""
        super().__init__()
        self.deployment = LeaseDeployment()

    @stateful.rule(number=_NUMBERS)
    def replace(self, number: int) -> None:
        """Kill a daemon and start another one."""
        self.deployment.replace(number)

    @stateful.rule(
        number=_NUMBERS,
        pause_s=st.sampled_from(_PAUSES_S),
        outcome=st.sampled_from(_OUTCOMES),
        age=st.integers(0, 1),
    )
    def step_lease(
        self,
        number: int,
        pause_s: float,
        outcome: str,
        age: int,
    ) -> None:
        """Carry out a lease step."""
        self.deployment.step_lease(number, pause_s, outcome, age)

    @stateful.rule(number=_NUMBERS, pause_s=st.sampled_from(_PAUSES_S))
    def answer(self, number: int, pause_s: float) -> None:
        """Deliver the results of lease writes."""
        self.deployment.answer(number, pause_s)

    @stateful.rule(
        number=_NUMBERS,
        checks_fencing=st.booleans(),
        outcome=st.sampled_from(_OUTCOMES),
        pauses_before_sending=st.booleans(),
    )
    def step_order(
        self,
        number: int,
        checks_fencing: bool,
        outcome: str,
        pauses_before_sending: bool,
    ) -> None:
        """Carry out an order step."""
        self.deployment.step_order(
            number, checks_fencing, outcome, pauses_before_sending
        )

    @stateful.rule(position=st.integers(0, 3), is_answered=st.booleans())
    def deliver(self, position: int, is_answered: bool) -> None:
        """Deliver an order and apply a late write."""
        self.deployment.deliver(position, is_answered)
        self.deployment.apply_late_write(position)

    @stateful.invariant()
    def holds(self) -> None:
        """Check all invariants."""
        self.deployment.check()


LeaseMachineTest = LeaseMachine.TestCase
LeaseMachineTest.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=80,
    stateful_step_count=50,
    database=None,
)


class LeaseWalkTest(unittest.TestCase):
    """Long seeded walks, which reach states that short ones don't."""

    def test_walks(self) -> None:
        """The invariants hold after each step, and orders are delivered."""
        orders = 0
        for seed in range(_SEEDS):
            with self.subTest(seed=seed):
                orders += _walk(random.Random(seed))
        self.assertGreater(orders, 5 * _SEEDS)


def _walk(source: random.Random) -> int:
    deployment = LeaseDeployment()
    deliveries = source.choice((2, 8, 24))
    for _ in range(_STEPS):
        _step(deployment, source, deliveries)
        deployment.check()
    return sum(map(len, deployment.delivered_tenures.values()))


def _step(
    deployment: LeaseDeployment,
    source: random.Random,
    deliveries: int,
) -> None:
    number = source.randrange(2)
    outcome = source.choice(_OUTCOMES)
    flag = source.random() < 0.5
    pause_s = source.choice(_PAUSES_S)
    match source.choices(range(6), (20, 30, 80, deliveries, 4, 1))[0]:
        case 0:
            deployment.step_lease(number, pause_s, outcome, int(pause_s > 1))
        case 1:
            deployment.answer(number, min(pause_s, 0.4))
        case 2:
            deployment.step_order(number, flag, outcome, source.random() < 0.3)
        case 3:
            deployment.deliver(source.randrange(4), flag)
        case 4:
            deployment.apply_late_write(source.randrange(4))
        case _:
            deployment.replace(number)
