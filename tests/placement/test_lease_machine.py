"""Interleavings of holders, pauses, lost answers and orders under way."""

from __future__ import annotations

import random
import unittest

from hypothesis import settings, stateful
from hypothesis import strategies as st

from tests.placement.lease_world import LeaseWorld

_NUMBERS = st.integers(0, 1)
_FATES = ('answered', 'answered', 'answered', 'lost', 'late', 'dropped')
_PAUSES_S = (*(0.0,) * 8, *(0.4,) * 8, 1.5, 3.0, 5.0, 10.0)
_SEEDS = 40
_STEPS = 1_500


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Drives the world by rules, so that a failure is made small."""

    def __init__(self) -> None:
        """Start a world."""
        super().__init__()
        self.world = LeaseWorld()

    @stateful.rule(number=_NUMBERS)
    def replace(self, number: int) -> None:
        """Replace a daemon."""
        self.world.replace(number)

    @stateful.rule(
        number=_NUMBERS,
        pause_s=st.sampled_from(_PAUSES_S),
        fate=st.sampled_from(_FATES),
        age=st.integers(0, 1),
    )
    def step_lease(
        self,
        number: int,
        pause_s: float,
        fate: str,
        age: int,
    ) -> None:
        """Work on the lease."""
        self.world.step_lease(number, pause_s, fate, age)

    @stateful.rule(number=_NUMBERS, pause_s=st.sampled_from(_PAUSES_S))
    def answer(self, number: int, pause_s: float) -> None:
        """Answer the writes of the lease."""
        self.world.answer(number, pause_s)

    @stateful.rule(
        number=_NUMBERS,
        checks_fencing=st.booleans(),
        fate=st.sampled_from(_FATES),
        waits=st.booleans(),
    )
    def step_order(
        self,
        number: int,
        checks_fencing: bool,
        fate: str,
        waits: bool,
    ) -> None:
        """Work on an order."""
        self.world.step_order(number, checks_fencing, fate, waits)

    @stateful.rule(position=st.integers(0, 3), is_answered=st.booleans())
    def deliver(self, position: int, is_answered: bool) -> None:
        """Deliver an order or a late write."""
        self.world.deliver(position, is_answered)
        self.world.land_late_write(position)

    @stateful.invariant()
    def holds(self) -> None:
        """Check what must always hold."""
        self.world.check()


LeaseMachineTest = LeaseMachine.TestCase
LeaseMachineTest.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=80,
    stateful_step_count=50,
    database=None,
)


class LeaseWalkTest(unittest.TestCase):
    """Long seeded walks, which reach what short ones don't."""

    def test_walks(self) -> None:
        """What must hold does so after each step, and orders do get sent."""
        orders = 0
        for seed in range(_SEEDS):
            with self.subTest(seed=seed):
                orders += _walk(random.Random(seed))
        self.assertGreater(orders, 5 * _SEEDS)


def _walk(source: random.Random) -> int:
    world = LeaseWorld()
    deliveries = source.choice((2, 8, 24))
    for _ in range(_STEPS):
        _step(world, source, deliveries)
        world.check()
    return sum(map(len, world.effective.values()))


def _step(
    world: LeaseWorld,
    source: random.Random,
    deliveries: int,
) -> None:
    number = source.randrange(2)
    fate = source.choice(_FATES)
    coin = source.random() < 0.5
    pause_s = source.choice(_PAUSES_S)
    match source.choices(range(6), (20, 30, 80, deliveries, 4, 1))[0]:
        case 0:
            world.step_lease(number, pause_s, fate, int(pause_s > 1))
        case 1:
            world.answer(number, min(pause_s, 0.4))
        case 2:
            world.step_order(number, coin, fate, source.random() < 0.3)
        case 3:
            world.deliver(source.randrange(4), coin)
        case 4:
            world.land_late_write(source.randrange(4))
        case _:
            world.replace(number)
