"""Mutations of the quarantine of parts of prompts."""

from __future__ import annotations

from tests.mutation_types import Mutation

_PARTS = 'nutmegspoke/retries/prompt_parts.py'
_EVIDENCE = 'nutmegspoke/retries/part_evidence.py'
_QUARANTINED = 'nutmegspoke/retries/quarantined_parts.py'
_SHARED = 'nutmegspoke/retries/shared_quarantine.py'
_WATCH = 'nutmegspoke/edge/crash_watch.py'
_UNIT = ('tests.retries.test_prompt_parts',)
_DAEMONS = ('tests.edge.test_fatal_prompt_parts',)

PART_MUTATIONS: tuple[Mutation, ...] = (
    Mutation(
        'parts: a prompt with a quarantined part runs',
        _WATCH,
        'return self._view.crashes.parts.check(context.facts.shared_parts, now_s)',
        'return None',
        _DAEMONS,
    ),
    Mutation(
        'parts: crashes of other daemons are ignored',
        _SHARED,
        'if names_parts(notice) or isinstance(notice, CrashNotice):',
        'if names_parts(notice):',
        _UNIT,
    ),
    Mutation(
        'parts: quarantines in force are not repeated',
        _SHARED,
        '        parts = self.parts.active(now_s)[-_MAX_ACTIVE:]\n',
        '        parts = ()\n',
        _UNIT,
    ),
    Mutation(
        'parts: quarantines have no rows',
        'nutmegspoke/edge/quarantine_rows.py',
        '        self._kept.add(notice.fingerprint)\n        until_s',
        "        if ':' in notice.fingerprint:\n            return\n"
        '        self._kept.add(notice.fingerprint)\n        until_s',
        _DAEMONS,
    ),
    Mutation(
        'parts: one request is enough',
        _PARTS,
        'min_requests: int = 2',
        'min_requests: int = 1',
        _UNIT,
    ),
    Mutation(
        'parts: a sound part needs no time between crashes',
        _PARTS,
        'min_span_s: float = 3.0',
        'min_span_s: float = 0.0',
        _UNIT,
    ),
    Mutation(
        'parts: a proof does not clear crashes before it',
        _EVIDENCE,
        '        oldest_s = max(since_s, now_s - self._suspicion_s)\n'
        '        crashes = {',
        '        oldest_s = now_s - self._suspicion_s\n        crashes = {',
        _UNIT,
    ),
    Mutation(
        'parts: crashes count for ever',
        _EVIDENCE,
        '        oldest_s = max(since_s, now_s - self._suspicion_s)\n'
        '        crashes = {',
        '        oldest_s = since_s\n        crashes = {',
        _UNIT,
    ),
    Mutation(
        'parts: crashes under a known part count against others',
        _PARTS,
        'lambda parts: self._quarantined.has_group_without(\n'
        '                part, parts, now_s\n            ),',
        'lambda _: False,',
        _UNIT,
    ),
    Mutation(
        'parts: parts that come together are quarantined one by one',
        _QUARANTINED,
        'if group <= present',
        'if group & present',
        _UNIT,
    ),
    Mutation(
        'parts: a proof before the crashes lifts a quarantine',
        _PARTS,
        'return quarantine.since_s < at_s or not is_known',
        'return True',
        _UNIT,
    ),
    Mutation(
        'parts: a proof lifts no quarantine',
        _PARTS,
        'return quarantine.since_s < at_s or not is_known',
        'return False',
        _UNIT,
    ),
    Mutation(
        'parts: a quarantine of a peer goes before a proof',
        _PARTS,
        '            if not self._sound.is_recent((part,), oldest_s)\n',
        '',
        _UNIT,
    ),
    Mutation(
        'parts: proofs are not reported at a crash',
        _PARTS,
        'if is_new and now_s - sound_s <= settings.soundness_s:',
        'if False:',
        _UNIT,
    ),
    Mutation(
        'parts: a quarantine does not grow',
        _QUARANTINED,
        'self._quarantine_s * 2 ** min(count, _MAX_DOUBLINGS),',
        'self._quarantine_s,',
        _UNIT,
    ),
    Mutation(
        'parts: drafts that write count like silent ones',
        'nutmegspoke/retries/crash_records.py',
        '            if fingerprint in writing:\n',
        '            if False:\n',
        ('tests.retries.test_shared_quarantine',),
    ),
    Mutation(
        'parts: drafts that write never count',
        'nutmegspoke/retries/suspects.py',
        '            or len(self.all_targets()) >= settings.max_weak_crashes\n',
        '',
        ('tests.retries.test_shared_quarantine',),
    ),
    Mutation(
        'parts: parts of drafts that write count like those of silent ones',
        _EVIDENCE,
        '            if not run.has_written:\n',
        '            if True:\n',
        _UNIT,
    ),
    Mutation(
        'parts: parts of drafts that write never count',
        _PARTS,
        'is_enough = len(evidence.targets) >= settings.max_weak_crashes\n',
        'is_enough = evidence.silent_count >= settings.max_weak_crashes\n',
        _UNIT,
    ),
    Mutation(
        'crashes: a draft that has written for a while is at risk',
        _WATCH,
        'now_s - run.first_event_s >= _PROOF_S',
        'False',
        ('tests.edge.test_crashing_requests.WritingDraftsTest',),
    ),
    Mutation(
        'crashes: a suspect is sent on before its last crash is known',
        _WATCH,
        'if isinstance(decision, SendAlone):',
        'if False:',
        ('tests.edge.test_crashing_requests.LatePortTest',),
    ),
    Mutation(
        'crashes: a prompt with a suspect part is sent on at once',
        _WATCH,
        'return crashes.parts.has_suspect(context.facts.shared_parts, now_s)',
        'return False',
        ('tests.edge.test_fatal_prompt_parts.LatePortTest',),
    ),
    Mutation(
        'crashes: ended targets count for the limit of a stream',
        'nutmegspoke/edge/drafts.py',
        'for name in context.allowed_targets() or ():',
        'for name in (context.allowed_targets() or set()) & context.avoided:',
        ('tests.edge.test_crashing_requests.WritingDraftsTest',),
    ),
    Mutation(
        'parts: relays keep the requests at risk of one daemon',
        'nutmegspoke/retries/notices.py',
        'tuple(sorted({*known.at_risk, *more.at_risk})),',
        'known.at_risk,',
        _UNIT,
    ),
    Mutation(
        'parts: the last part counts as shared',
        'nutmegspoke/platform/headers.py',
        "    *shared, _ = raw.lower().split(b',')\n",
        "    shared = raw.lower().split(b',')\n",
        ('tests.platform.test_headers',),
    ),
)
