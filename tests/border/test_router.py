"""Tests of the router: policies, capacity, adaptive limits, log lines."""

from __future__ import annotations

import dataclasses
import unittest

from nutmegspoke.border.router import Router, RouterOptions
from nutmegspoke.requests import CallRequest, DraftRequest
from nutmegspoke.routing.choices import ChainChoice, TargetChoice
from nutmegspoke.tables.rows import PoolKind, PoolRow, RouteRow
from tests import builders_routing as build

_DRAFTS = PoolRow('drafts', PoolKind.ENGINE, layer_count=4, max_in_flight=3)
_RECORDS = PoolRow('records', PoolKind.SERVICE, max_in_flight=8)


class _Clock:
    def now_s(self) -> float:
        return 1.0

    def wall_s(self) -> float:
        return 1.0


class _Directory:
    def __init__(self, *targets) -> None:
        self.targets = targets

    def usable(self, pool: str, now_s: float) -> tuple:
        return self.targets


def _draft() -> DraftRequest:
    return DraftRequest(
        'r1',
        'press',
        RouteRow('drafts', '/v1/completions', 'drafts'),
        _DRAFTS,
        revision=1,
        prompt='notes of the club',
        max_tokens=8,
        seed=1,
        received_s=0,
        deadline_s=60,
    )


def _call() -> CallRequest:
    return CallRequest(
        'r2',
        'press',
        RouteRow('roster', '/roster', 'records'),
        _RECORDS,
        revision=1,
        method='GET',
        path='/roster',
        body=b'',
        content_type='',
        idempotency_key='',
        received_s=0,
        deadline_s=60,
    )


class RouterTest(unittest.TestCase):
    """Choices of the router and their log lines."""

    def test_each_policy_gives_a_chain_and_a_line_with_its_reason(self) -> None:
        """Each policy logs its chain and a reason of its own."""
        directory = _Directory(build.engine('a', 0, 2), build.engine('b', 2, 4))
        reasons = set()
        for policy in ('flow', 'random', 'round_robin', 'least_in_flight'):
            router = Router(_Clock(), directory, RouterOptions(policy))
            with self.assertLogs('nutmegspoke.border.router') as logs:
                choice = router.choose_chain(_draft(), frozenset())
            self.assertIsInstance(choice, ChainChoice)
            self.assertIn('request=r1', logs.output[0])
            self.assertIn('chain=a:0-2,b:2-4', logs.output[0])
            self.assertIn(f'reason={choice.reason}', logs.output[0])
            reasons.add(choice.reason)
            router.finish_chain(_DRAFTS, choice)
        self.assertEqual(len(reasons), 4)

    def test_missing_chain_is_logged(self) -> None:
        """The log line names the first layer that no engine holds."""
        directory = _Directory(build.engine('a', 0, 2))
        router = Router(_Clock(), directory, RouterOptions())
        with self.assertLogs('nutmegspoke.border.router') as logs:
            router.choose_chain(_draft(), frozenset())
        self.assertIn('reason=layer_gap layer=2', logs.output[0])

    def test_capacity_is_that_of_the_scarcest_layer(self) -> None:
        """The capacity is that of the layer with the fewest engines."""
        directory = _Directory(
            build.engine('a', 0, 2),
            build.engine('b', 0, 3),
            build.engine('c', 2, 4),
        )
        router = Router(_Clock(), directory, RouterOptions())
        self.assertEqual(router.capacity(_DRAFTS), 3)

    def test_a_slow_service_gets_fewer_calls(self) -> None:
        """The adaptive limit of a slow target lowers the capacity.

        A target at its adaptive limit gets no call.
        """
        slow = build.engine('slow', 0, 1)
        fast = dataclasses.replace(slow, name='fast', own_in_flight=7)
        router = Router(_Clock(), _Directory(slow, fast), RouterOptions())
        self.assertEqual(router.capacity(_RECORDS), 16)
        for latency_s in (0.01, 1.0, 1.0, 1.0, 1.0, 1.0):
            for _ in range(16):
                router.observe('slow', latency_s, 4, max_limit=8)
        self.assertEqual(router.capacity(_RECORDS), 8 + 2)
        loaded = (dataclasses.replace(slow, own_in_flight=2), fast)
        choice = router.choose_target(_call(), loaded, ())
        self.assertIsInstance(choice, TargetChoice)
        self.assertEqual(choice.target.name, 'fast')
