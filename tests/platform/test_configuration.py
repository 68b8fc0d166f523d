"""Tests of the operator's configuration row."""

from __future__ import annotations

import unittest

from nutmegspoke.entry_host import PoolShare, RetryRule, Team
from nutmegspoke.platform.configuration import (
    ConfigurationError,
    decode_configuration,
)
from tests import builders_edge as build


class ConfigurationTest(unittest.TestCase):
    """Decoding of routes, pools, teams and the engines' model."""

    def test_decodes_routes(self) -> None:
        """The retry rule depends on ``route_kind`` and ``resumable``."""
        tables = decode_configuration(build.wire_configuration())
        drafts, calls = tables.routes
        self.assertIs(drafts.retry_rule, RetryRule.RESUMABLE_STREAM)
        self.assertIs(calls.retry_rule, RetryRule.AT_MOST_ONCE)
        self.assertEqual(calls.pools, (PoolShare('records', 1),))
        self.assertEqual(len(drafts.pools), 2)
        self.assertEqual((drafts.timeout_s, drafts.goal_s), (20.0, 0.5))
        self.assertEqual((calls.max_targets, drafts.max_targets), (1, 2))

    def test_decodes_teams(self) -> None:
        """Each API key maps to its team."""
        tables = decode_configuration(build.wire_configuration())
        self.assertTrue(tables.has_teams)
        self.assertEqual(
            dict(tables.team_by_key),
            dict.fromkeys(('k1', 'k2'), Team('t', 1)),
        )

    def test_decodes_the_model(self) -> None:
        """The memory of a token is configured for all layers together."""
        pool = decode_configuration(build.wire_configuration()).pools['engines']
        profile = pool.profile
        assert profile is not None
        self.assertEqual(profile.layer_bytes, 1.75e9)
        self.assertEqual(profile.token_layer_bytes, 22_950.0)
        self.assertAlmostEqual(profile.step_s, 0.00102)
        self.assertAlmostEqual(profile.step_per_context_token_s, 1.9e-8)
        self.assertEqual(profile.zone_link_bytes_per_s, 2.25e9)
        self.assertEqual(
            int(profile.capacity_token_layers('quick', 40)), 87_145
        )
        self.assertEqual(profile.max_layers('quick'), 41)
        self.assertEqual(profile.max_layers('unknown'), 0)

    def test_the_prompt_tokens_of_a_step(self) -> None:
        """Guards against a balance by a number that the operator never gave."""
        for chunk, expected in ((None, 0.0), (512, 512.0), (-1, 0.0)):
            service = build.wire_engine_service()
            if chunk is not None:
                service['engine']['chunk'] = chunk
            body = build.wire_configuration(services=[service])
            with self.subTest(chunk):
                profile = decode_configuration(body).pools['engines'].profile
                self.assertEqual(profile.read_chunk_tokens, expected)

    def test_refuses_other_rows(self) -> None:
        """An invalid row raises an error instead of yielding partial tables."""
        for body in (b'', b'{}', build.wire_configuration(version='x')):
            with self.subTest(body[:20]), self.assertRaises(ConfigurationError):
                decode_configuration(body)

    def test_a_configuration_that_cannot_be_used(self) -> None:
        """Guards against the end of the task that reads the tables."""
        no_layers = build.wire_engine_service(layers=0)
        for body in (
            build.wire_configuration(services=[no_layers]),
            b'{"x":' + b'[' * 20_000,
        ):
            with (
                self.subTest(body[:10]),
                self.assertRaises(ConfigurationError),
            ):
                decode_configuration(body)
