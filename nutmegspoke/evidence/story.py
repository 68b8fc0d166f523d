"""Tells what happened to a request or a change, from records alone."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

from nutmegspoke.evidence import records
from nutmegspoke.evidence.trails import CALLER_GONE

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from nutmegspoke.tables.changes import ChangeRecord
    from nutmegspoke.tables.diff import SectionChange

_ENDINGS = {  # noqa: WPS407 -- read only
    'yes': 'it ran',
    'no': 'it was not run',
    'unknown': 'it is not known whether it ran',
}


def describe_request(record: records.RequestRecord) -> str:
    """Return what happened to a request, a line for each event."""
    lines = [
        f'request {record.request_id}',
        f'received by {record.daemon} at {_time(record.received_wall_s)}',
        *(
            f'{timed.after_s:9.3f} s  {_event_text(timed.event)}'
            for timed in record.events
        ),
    ]
    if record.dropped_events:
        lines.append(f'{record.dropped_events} further events were not kept')
    lines.append(f'{record.duration_s:9.3f} s  {_ending_text(record.ending)}')
    return '\n'.join(lines)


def describe_change(
    record: ChangeRecord,
    sections: Iterable[SectionChange],
    adoptions: Iterable[records.AdoptionRecord],
) -> str:
    """Return what a change did and who took it into force.

    :param record: the record of the change.
    :param sections: its differences.
    :param adoptions: what daemons recorded of its revision or a higher one.
    """
    lines = [
        f'revision {record.revision}',
        f'made by {record.operator} at {_time(record.at_wall_s)}, '
        f'change {record.change_id}, from revision {record.base_revision}',
        *map(str, sections),
        *_adoption_lines(record, adoptions),
    ]
    return '\n'.join(lines)


def _adoption_lines(
    change: ChangeRecord,
    adoptions: Iterable[records.AdoptionRecord],
) -> Iterator[str]:
    found = sorted(adoptions, key=lambda record: record.wall_s)
    for adoption in found:
        delay_s = adoption.wall_s - change.at_wall_s
        yield (
            f'in force at {adoption.daemon} after about {delay_s:.1f} s, '
            f'by {adoption.source}, instead of revision {adoption.previous}'
        )
    if not found:
        yield 'no daemon has recorded it yet'


def _event_text(event: records.Event) -> str:
    match event:
        case records.Matched():
            may = 'may' if event.is_repeatable else 'may not'
            return (
                f'matched route {event.route}, pool {event.pool}, '
                f'team {event.team or "none"}, revision {event.revision}; '
                f'it {may} be repeated'
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


def _ending_text(ending: records.Ending) -> str:
    if ending.reason == CALLER_GONE:
        return 'the caller hung up before it was told'
    parts = [f'caller told: {_ENDINGS[ending.executed]}']
    if ending.reason:
        parts.append(f'reason {ending.reason}')
    if ending.is_replayed:
        parts.append('with the stored answer of an earlier run')
    parts.append(f'status {ending.status}')
    if ending.retry_after_s is not None:
        parts.append(f'come back after {ending.retry_after_s:.1f} s')
    return ', '.join(parts)


def _time(wall_s: float) -> str:
    at = datetime.datetime.fromtimestamp(wall_s, tz=datetime.UTC)
    return at.isoformat(timespec='milliseconds')
