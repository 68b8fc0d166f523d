"""Mutations of decisions under load."""

from __future__ import annotations

from tests.mutation_types import Mutation

_OPENING = (
    'tests.admission.test_opening',
    'tests.edge.test_start_without_tables',
)

LOAD_MUTATIONS: tuple[Mutation, ...] = (
    Mutation(
        'load: callers return to a daemon without tables at once',
        'nutmegspoke/admission/opening.py',
        'left_s = max(_USUAL_OUTAGE_S - closed_s, closed_s)',
        'left_s = 0.0',
        _OPENING,
    ),
    Mutation(
        'load: callers of a daemon without tables return together',
        'nutmegspoke/admission/opening.py',
        'zlib.crc32(key.encode()) / _CHECKSUMS',
        '0.5',
        _OPENING,
    ),
)
