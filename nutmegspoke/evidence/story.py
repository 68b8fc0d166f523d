"""Formats evidence records of a request or a change as text."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

from nutmegspoke.evidence import records
from nutmegspoke.evidence.trails import CALLER_GONE

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from nutmegspoke.tables.changes import ChangeRecord
    from nutmegspoke.tables.diff import SectionChange

_EXECUTED_TEXTS = {  # noqa: WPS407 -- read only
    'yes': 'it ran',
    'no': 'it was not run',
    'unknown': 'it is not known whether it ran',
}


def describe_request(record: records.RequestRecord) -> str:
    """Return a request's history as text, with one line for each event."""
    lines = [
        f'request {record.request_id}',
        f'received by {record.daemon} at {_format_time(record.received_wall_s)}',
        *(
            f'{timed.after_s:9.3f} s  {_format_event(timed.event)}'
            for timed in record.events
        ),
    ]
    if record.dropped_events:
        lines.append(f'{record.dropped_events} further events were not kept')
    lines.append(f'{record.duration_s:9.3f} s  {_format_ending(record.ending)}')
    return '\n'.join(lines)


def describe_change(
    record: ChangeRecord,
    sections: Iterable[SectionChange],
    adoptions: Iterable[records.AdoptionRecord],
) -> str:
    """Return a change and its adoption by the daemons as text.

    :param record: the record of the change.
    :param sections: the changed sections.
    :param adoptions: adoption records of this revision or a higher one.
    """
    lines = [
        f'revision {record.revision}',
        f'made by {record.operator} at {_format_time(record.at_wall_s)}, '
        f'change {record.change_id}, from revision {record.base_revision}',
        *map(str, sections),
        *_format_adoptions(record, adoptions),
    ]
    return '\n'.join(lines)


def _format_adoptions(
    change: ChangeRecord,
    adoptions: Iterable[records.AdoptionRecord],
) -> Iterator[str]:
    sorted_adoptions = sorted(adoptions, key=lambda record: record.wall_s)
    for adoption in sorted_adoptions:
        delay_s = adoption.wall_s - change.at_wall_s
        yield (
            f'in force at {adoption.daemon} after about {delay_s:.1f} s, '
            f'by {adoption.source}, instead of revision {adoption.previous}'
        )
    if not sorted_adoptions:
        yield 'no daemon has recorded it yet'


def _format_event(event: records.Event) -> str:
    match event:
        case records.Matched():
            permission = 'may' if event.is_repeatable else 'may not'
            return (
                f'matched route {event.route}, pool {event.pool}, '
                f'team {event.team or "none"}, revision {event.revision}; '
                f'it {permission} be repeated'
            )
        case records.ChainChosen():
            chain = ' -> '.join(
                f'{stage.target} layers {stage.layers}'
                for stage in event.stages
            )
            return (
                f'attempt {event.attempt} over {chain}, '
                f'after {event.delivered_tokens} tokens'
            )
        case records.CallSent():
            return f'attempt {event.attempt} sent to {event.target}'
        case records.AttemptLost():
            return (
                f'attempt {event.attempt} lost at {event.target}: '
                f'{event.reason}'
            )
        case records.ClaimStep():
            nonce = f', nonce {event.nonce}' if event.nonce else ''
            return f'claim {event.step}: {event.key}{nonce}'
        case records.ReceiptsVerified():
            return (
                f'receipts cover {event.tokens} tokens, each over layers '
                f'0-{event.layer_count} once and in order; '
                f'digest {event.digest}'
            )


def _format_ending(ending: records.Ending) -> str:
    if ending.reason == CALLER_GONE:
        return 'the caller hung up before it was told'
    parts = [f'caller told: {_EXECUTED_TEXTS[ending.executed]}']
    if ending.reason:
        parts.append(f'reason {ending.reason}')
    if ending.is_replayed:
        parts.append('with the stored answer of an earlier run')
    parts.append(f'status {ending.status}')
    if ending.retry_after_s is not None:
        parts.append(f'come back after {ending.retry_after_s:.1f} s')
    return ', '.join(parts)


def _format_time(wall_s: float) -> str:
    moment = datetime.datetime.fromtimestamp(wall_s, tz=datetime.UTC)
    return moment.isoformat(timespec='milliseconds')
