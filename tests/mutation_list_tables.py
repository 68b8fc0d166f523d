"""Mutations of tables, table changes, revisions and evidence."""

from __future__ import annotations

from tests.mutation_types import Mutation

_MACHINE = ('tests.tables.test_interleavings',)
_APPLY = ('tests.border.test_apply',)
_TRACKER = ('tests.tables.test_revisions',)

TABLES_MUTATIONS: tuple[Mutation, ...] = (
    Mutation(
        'tables: revisions only increase',
        'nutmegspoke/tables/revisions.py',
        'if tables.revision > previous:',
        'if tables.revision != previous:',
        _MACHINE,
    ),
    Mutation(
        'tables: the age of the confirmation is checked',
        'nutmegspoke/tables/revisions.py',
        'if age_s is not None and age_s <= self._limits.max_confirmation_age_s:',
        'if age_s is not None:',
        _MACHINE,
    ),
    Mutation(
        'tables: a lower read confirms nothing',
        'nutmegspoke/tables/revisions.py',
        'if revision < self.highest_known_revision:',
        'if revision < 0:',
        _TRACKER,
    ),
    Mutation(
        'tables: an outage needs a majority of those asked',
        'nutmegspoke/tables/revisions.py',
        'return bool(answered_count) and answered_count + 1 > unanswered_count',
        'return bool(answered_count)',
        _TRACKER,
    ),
    Mutation(
        'tables: torn reads are read again',
        'nutmegspoke/tables/snapshot.py',
        'return expected.digest == codec.rows_digest(bodies)',
        'return True',
        _MACHINE,
    ),
    Mutation(
        'tables: a change of an outdated row is refused',
        'nutmegspoke/tables/apply.py',
        'if bodies.get(row.key) != row.before',
        'if False',
        _MACHINE,
    ),
    Mutation(
        'tables: changes meet at the revision row',
        'nutmegspoke/tables/apply.py',
        '            Condition(codec.REVISION_KEY, base.revision_version),\n',
        '',
        _APPLY,
    ),
    Mutation(
        'tables: a write in doubt is not reported as refused',
        'nutmegspoke/border/apply.py',
        'case Unavailable() if doubt is None:',
        'case Unavailable():',
        _MACHINE,
    ),
    Mutation(
        'tables: a conflict in doubt is read back',
        'nutmegspoke/border/apply.py',
        '    if doubt is None:\n        return None\n',
        '    return None\n',
        _MACHINE,
    ),
    Mutation(
        'tables: a resumed daemon confirms its tables before use',
        'nutmegspoke/border/tables_watch.py',
        '        if not self.is_ready:\n',
        '        if False:\n',
        ('tests.border.test_tables_watch',),
    ),
    Mutation(
        'evidence: records of non-repeatable calls are dropped last',
        'nutmegspoke/evidence/buffer.py',
        '        for kind in _DROP_ORDER:\n',
        '        for kind in reversed(_DROP_ORDER):\n',
        ('tests.evidence.test_evidence',),
    ),
)
