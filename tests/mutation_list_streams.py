"""Mutations of streams of plain services, and of odd statuses."""

from __future__ import annotations

from tests.mutation_types import Mutation

_CALLS = 'nutmegspoke/edge/plain_calls.py'
_STREAMS = 'nutmegspoke/edge/plain_streams.py'
_TESTS = ('tests.edge.test_plain_streams',)

STREAM_MUTATIONS: tuple[Mutation, ...] = (
    Mutation(
        'streams: the position of a resumed one is not sent',
        _CALLS,
        '            resume_after=_position(context),\n',
        '',
        _TESTS,
    ),
    Mutation(
        'streams: those of services are held until their end',
        _CALLS,
        'if context.stream is not None and is_event_stream(opened):',
        'if False:',
        _TESTS,
    ),
    Mutation(
        'streams: one of unknown position goes on',
        _CALLS,
        'if context.stream is not None and not context.stream.position.is_known:',
        'if False:',
        _TESTS,
    ),
    Mutation(
        'streams: another answer is sent into one that has begun',
        _CALLS,
        '        if context.answer.has_begun:\n            connection.abandon()\n',
        '        if False:\n            connection.abandon()\n',
        _TESTS,
    ),
    Mutation(
        'streams: one that ends inside an event is complete',
        _STREAMS,
        'if not isinstance(event, AnswerEnd) or run.splitter.has_partial_event:',
        'if not isinstance(event, AnswerEnd):',
        _TESTS,
    ),
    Mutation(
        'streams: a run goes on without its caller',
        _STREAMS,
        '        except BaseException:\n            opened.connection.abandon()\n',
        '        except BaseException:\n',
        _TESTS,
    ),
    Mutation(
        'streams: a position makes calls urgent',
        _CALLS,
        'has_answer=_has_part(context),',
        'has_answer=bool(_position(context)),',
        ('tests.edge.test_contended_pools',),
    ),
    Mutation(
        'statuses: any three digits are one',
        'nutmegspoke/untrusted.py',
        'return status in _FINAL_STATUSES',
        'return True',
        ('tests.edge.test_odd_statuses',),
    ),
    Mutation(
        'statuses: an odd one is looked at before the id of its request',
        'nutmegspoke/edge/answer_reader.py',
        'if self._is_match is not None and not self._is_match(self._headers):',
        'if is_final_status(status) and not self._is_match(self._headers):',
        ('tests.edge.test_odd_statuses',),
    ),
)
