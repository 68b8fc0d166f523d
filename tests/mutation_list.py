"""All mutations of the mechanisms that the proofs rely on."""

from __future__ import annotations

from tests.mutation_list_balance import BALANCE_MUTATIONS
from tests.mutation_list_callers import CALLER_MUTATIONS
from tests.mutation_list_claims import CLAIM_MUTATIONS
from tests.mutation_list_contention import CONTENTION_MUTATIONS
from tests.mutation_list_edge import EDGE_MUTATIONS
from tests.mutation_list_hedging import HEDGING_MUTATIONS
from tests.mutation_list_knowledge import KNOWLEDGE_MUTATIONS
from tests.mutation_list_load import LOAD_MUTATIONS
from tests.mutation_list_membership import MEMBERSHIP_MUTATIONS
from tests.mutation_list_parts import PART_MUTATIONS
from tests.mutation_list_paths import PATH_MUTATIONS
from tests.mutation_list_pipelines import PIPELINE_MUTATIONS
from tests.mutation_list_relays import RELAY_MUTATIONS
from tests.mutation_list_streams import STREAM_MUTATIONS
from tests.mutation_list_tables import TABLES_MUTATIONS
from tests.mutation_types import Mutation


MUTATIONS: tuple[Mutation, ...] = (
    Mutation(
        'silent platform: new connections after an unanswered request',
        'nutmegspoke/border/platform_client.py',
        '        self._fresh_until_s = now_s + self.keepalive_s\n',
        '',
        ('tests.border.test_platform_client',),
    ),
    Mutation(
        'silent platform: a read is retried',
        'nutmegspoke/border/platform_client.py',
        'if not may_retry or method not in _IDEMPOTENT_METHODS:',
        'if may_retry or method:',
        ('tests.border.test_platform_client',),
    ),
    Mutation(
        'promise-1 a connection reset is no crash of a live target',
        'nutmegspoke/border/target_calls.py',
        'if kind is LossKind.RESET and await probe.ask_now():',
        'if False:',
        (
            'tests.scenarios.test_scenarios.ScenariosTest.'
            'test_stage_reply_lost_mid_answer',
        ),
    ),
    Mutation(
        'promise-4 operator settles a claim whose holder is live',
        'nutmegspoke/border/claim_reads.py',
        'settlement.settle(found, verdict, operator, live_daemons)',
        'settlement.settle(found, verdict, operator, ())',
        ('tests.cmd.test_cli_processes',),
    ),
    *BALANCE_MUTATIONS,
    *CALLER_MUTATIONS,
    *CLAIM_MUTATIONS,
    *CONTENTION_MUTATIONS,
    *EDGE_MUTATIONS,
    *HEDGING_MUTATIONS,
    *KNOWLEDGE_MUTATIONS,
    *LOAD_MUTATIONS,
    *RELAY_MUTATIONS,
    *STREAM_MUTATIONS,
    *PART_MUTATIONS,
    *PATH_MUTATIONS,
    *MEMBERSHIP_MUTATIONS,
    *TABLES_MUTATIONS,
    *PIPELINE_MUTATIONS,
)
