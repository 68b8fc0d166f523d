"""Mutations of what a daemon takes for known: from others, and of streams."""

from __future__ import annotations

from tests.mutation_types import Mutation

_FOLLOWERS = ('tests.edge.test_followers',)
_LEAVING = ('tests.edge.test_leaving_targets',)

KNOWLEDGE_MUTATIONS: tuple[Mutation, ...] = (
    Mutation(
        'knowledge: updates do not tell their age',
        'nutmegspoke/membership/table_news.py',
        'confirmed_age_s=now_s - confirmed_s,',
        'confirmed_age_s=0.0,',
        _FOLLOWERS,
    ),
    Mutation(
        'knowledge: old confirmations are relied on',
        'nutmegspoke/membership/table_delays.py',
        'return max(_MIN_LIMIT_S, allowed_s - CHECK_INTERVAL_S - CALL_TIME_S)',
        'return 1e9',
        _FOLLOWERS,
    ),
    Mutation(
        'knowledge: only own calls end a failure of the store',
        'nutmegspoke/edge/call_results.py',
        '        self._answered_elsewhere(update.host, answered_s, now_s)\n',
        '',
        _FOLLOWERS,
    ),
    Mutation(
        'knowledge: the failure of one reader is an outage',
        'nutmegspoke/membership/reader_words.py',
        'return any(',
        'return False and any(',
        ('tests.membership.test_reader_words',),
    ),
    Mutation(
        'knowledge: an entry lapses when its removal is heard of',
        'nutmegspoke/membership/target_entries.py',
        'min(now_s, self._confirmed_s)',
        'now_s',
        ('tests.membership.test_target_entries',),
    ),
    Mutation(
        'knowledge: a feed that is kept current keeps its turn to call',
        'nutmegspoke/edge/followers.py',
        '            self._health.release(self.table)\n',
        '',
        _FOLLOWERS,
    ),
    Mutation(
        'knowledge: ids of more than 18 digits are no numbers',
        'nutmegspoke/pipelines/stream_position.py',
        '_MAX_DIGITS = 4_096',
        '_MAX_DIGITS = 18',
        ('tests.pipelines.test_stream_position',),
    ),
    Mutation(
        'knowledge: streams of unknown position are sent again',
        'nutmegspoke/edge/drafts.py',
        'if not stream.position.is_known:',
        'if False:',
        ('tests.edge.test_stream_ids',),
    ),
    Mutation(
        'knowledge: targets that say that they leave stay in use',
        'nutmegspoke/platform/headers.py',
        "is_leaving=fields.get(SERVER_LEAVING, b'').strip() == b'1',",
        'is_leaving=False,',
        _LEAVING,
    ),
    Mutation(
        'knowledge: others are not told which targets leave',
        'nutmegspoke/edge/update_receiver.py',
        'announced_elsewhere(event.leaving)',
        'announced_elsewhere({})',
        _LEAVING,
    ),
    Mutation(
        'knowledge: readers ask as often where more is allowed',
        'nutmegspoke/membership/table_delays.py',
        'limit_s = confirmed_limit_s(self.allowed_s)',
        'limit_s = confirmed_limit_s(2.0)',
        ('tests.membership.test_table_delays',),
    ),
    Mutation(
        'knowledge: an answer confirms when it arrives',
        'nutmegspoke/edge/table_polls.py',
        '        return self.called_s\n',
        '        return now_s\n',
        ('tests.edge.test_table_polls',),
    ),
    Mutation(
        'memory: heads may have any number of headers',
        'nutmegspoke/edge/answer_reader.py',
        'if len(self._headers) < _MAX_HEADERS:',
        'if True:',
        ('tests.edge.test_endless_answers.EndlessAnswerTest',),
    ),
    Mutation(
        'memory: each answer is bounded, all together are not',
        'nutmegspoke/admission/answer_memory.py',
        'return min(longest_bytes, MAX_ANSWER_BYTES)',
        'return MAX_ANSWER_BYTES',
        ('tests.admission.test_answer_memory',),
    ),
)
