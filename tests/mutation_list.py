"""The mechanisms that the proofs rely on, each with a line that breaks it."""

from __future__ import annotations

from tests.mutation_list_claims import CLAIM_MUTATIONS
from tests.mutation_list_membership import MEMBERSHIP_MUTATIONS
from tests.mutation_list_tables import TABLES_MUTATIONS
from tests.mutation_types import Mutation


MUTATIONS: tuple[Mutation, ...] = (
    Mutation(
        'silent platform: new connections after a silent one',
        'nutmegspoke/border/platform_client.py',
        '        self._fresh_until_s = now_s + self.keepalive_s\n',
        '',
        ('tests.border.test_platform_client',),
    ),
    Mutation(
        'silent platform: a read is sent again',
        'nutmegspoke/border/platform_client.py',
        'if not may_retry or method not in _IDEMPOTENT_METHODS:',
        'if may_retry or method:',
        ('tests.border.test_platform_client',),
    ),
    *CLAIM_MUTATIONS,
    *MEMBERSHIP_MUTATIONS,
    *TABLES_MUTATIONS,
)
