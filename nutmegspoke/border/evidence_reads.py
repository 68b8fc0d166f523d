"""Finds evidence in the platform's services."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.evidence import names, records
from nutmegspoke.metadata_store import Unavailable
from nutmegspoke.tables import changes

if TYPE_CHECKING:
    from nutmegspoke.metadata_store import ObjectStore, TableService

_BUCKET_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class NoEvidence:
    """Nothing was found.

    :param reason: why, for operators.
    :param is_store_down: the platform gave no answer.
    """

    reason: str
    is_store_down: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeEvidence:
    """Evidence of a change.

    :param record: the record of the change.
    :param adoptions: daemons that took it or a later one into force, as
        recorded within two minutes.
    """

    record: changes.ChangeRecord
    adoptions: tuple[records.AdoptionRecord, ...]


RequestEvidence = records.RequestRecord | NoEvidence


async def find_request(
    objects: ObjectStore,
    request_id: str,
) -> RequestEvidence:
    """Find the record of a request."""
    place = names.RequestLocation.from_request_id(request_id)
    if place is None:
        return NoEvidence(f'{request_id!r} is no request id')
    found = await _read_all(objects, place.prefix)
    if isinstance(found, Unavailable):
        return _store_down(found)
    for record in found:
        if (
            isinstance(record, records.RequestRecord)
            and record.request_id == request_id
        ):
            return record
    return NoEvidence(
        f'no evidence of {request_id}: it is still running, not written yet, '
        'dropped during an outage of the object store, or lost with its daemon',
    )


async def find_change(
    tables: TableService,
    objects: ObjectStore,
    revision: int,
) -> ChangeEvidence | NoEvidence:
    """Find the record of the change that made a revision."""
    row = await tables.read(changes.change_key(revision))
    if isinstance(row, Unavailable):
        return _store_down(row)
    record = changes.decode_change(row.body)
    if record is None:
        return NoEvidence(f'no change has made revision {revision}')
    adoptions: list[records.AdoptionRecord] = []
    for bucket_wall_s in (record.at_wall_s, record.at_wall_s + _BUCKET_S):
        prefix = names.adoption_prefix(names.adoption_bucket(bucket_wall_s))
        found = await _read_all(objects, prefix)
        if isinstance(found, Unavailable):
            return _store_down(found)
        adoptions.extend(
            adoption
            for adoption in found
            if isinstance(adoption, records.AdoptionRecord)
            and adoption.previous < revision <= adoption.revision
        )
    return ChangeEvidence(record, tuple(adoptions))


async def _read_all(
    objects: ObjectStore,
    prefix: str,
) -> tuple[records.Record, ...] | Unavailable:
    found = await objects.names(prefix)
    if isinstance(found, Unavailable):
        return found
    collected: list[records.Record] = []
    for name in found:
        body = await objects.get(name)
        if isinstance(body, Unavailable):
            return body
        collected.extend(records.decode_batch(body or b''))
    return tuple(collected)


def _store_down(problem: Unavailable) -> NoEvidence:
    return NoEvidence(
        f'the platform can not be read: {problem.reason}',
        is_store_down=True,
    )
