"""Mutations of the contention of ranks."""

from __future__ import annotations

from tests.mutation_types import Mutation

_MODEL_TESTS = 'tests.contention.test_protection.OverloadTest'

CONTENTION_MUTATIONS: tuple[Mutation, ...] = (
    Mutation(
        'contention: urgency is not sent',
        'nutmegspoke/platform/headers.py',
        '    if dispatch.urgency is not None:\n',
        '    if False:\n',
        (
            'tests.platform.test_headers',
            'tests.edge.test_contended_pools.UrgencyTest',
        ),
    ),
    Mutation(
        'contention: less urgent drafts are not held back',
        'nutmegspoke/contention/protection.py',
        '    return draw >= admitted_share(demand, index, room)\n',
        '    return False\n',
        (_MODEL_TESTS, 'tests.edge.test_contended_pools.ProtectionTest'),
    ),
    Mutation(
        'contention: a rank may be closed out',
        'nutmegspoke/contention/protection.py',
        'max(floor, left_per_s / wanted_per_s)',
        'max(0.0, left_per_s / wanted_per_s)',
        (_MODEL_TESTS,),
    ),
    Mutation(
        'contention: summaries leave out demand',
        'nutmegspoke/membership/summaries.py',
        'demand=sum_demand(update.demand for update in updates),',
        'demand={},',
        ('tests.contention.test_demand.FleetDemandTest',),
    ),
)
