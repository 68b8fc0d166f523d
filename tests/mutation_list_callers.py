"""Mutations of the memory and places of callers."""

from __future__ import annotations

from tests.mutation_types import Mutation

CALLER_MUTATIONS: tuple[Mutation, ...] = (
    Mutation(
        'callers: bytes without the end of a line are not counted',
        'nutmegspoke/edge/request_reader.py',
        'self._line_bytes += len(received)',
        'self._line_bytes += 0',
        ('tests.edge.test_request_reader.LimitsTest',),
    ),
    Mutation(
        'callers: who progresses is refused first',
        'nutmegspoke/admission/caller_memory.py',
        'return self.shed_bytes * (quiet_s + _LEAST_QUIET_S)',
        'return self.shed_bytes',
        ('tests.admission.test_caller_memory',),
    ),
    Mutation(
        'callers: begun requests keep their places',
        'nutmegspoke/edge/http_server.py',
        'if stalled is None and connection.is_incomplete:',
        'if False:',
        (
            'tests.edge.test_crowded_callers.CrowdedCallersTest.'
            'test_an_incomplete_request_makes_place',
        ),
    ),
    Mutation(
        'targets: a connection whose opening was cancelled stays counted',
        'nutmegspoke/edge/target_connections.py',
        '            connection.discard()\n',
        '',
        ('tests.edge.test_target_connections.CancelledOpeningTest',),
    ),
)
