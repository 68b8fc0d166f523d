"""Mutations of the balance of drafts over engines of unlike speed."""

from __future__ import annotations

from tests.mutation_types import Mutation

BALANCE_MUTATIONS: tuple[Mutation, ...] = (
    Mutation(
        'balance: all drafts assume the same of unseen sends',
        'nutmegspoke/balance/read_waits.py',
        'zlib.crc32(engine.encode(), self.salt) * _MIXER',
        '_CRC_MASK // 2',
        (
            'tests.balance.test_read_waits.PoolLoadTest.test_many_hosts_with_old_news',
        ),
    ),
    Mutation(
        'balance: the speed of engines does not count for waits',
        'nutmegspoke/balance/read_waits.py',
        'share * engine.slowness * self.pieces',
        'share * self.pieces',
        (
            'tests.balance.test_read_waits.ReadWaitsTest.test_waits_grow_with_requests_and_slowness',
        ),
    ),
    Mutation(
        'balance: a chain beyond the limit of pauses is taken at once',
        'nutmegspoke/balance/pause_limits.py',
        'if event_interval_s(chain, engines, profile) <= self.limit_s:',
        'if self.limit_s:',
        (
            'tests.balance.test_pause_limits.PauseLimitTest.test_a_tenth_of_the_engines_slow',
        ),
    ),
)
