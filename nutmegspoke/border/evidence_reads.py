"""Finds evidence in the object store and the table service."""

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
    """No evidence was found.

    :param reason: reason, shown to operators.
    :param is_store_down: whether a service of the platform was unavailable.
    """

    reason: str
    is_store_down: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeEvidence:
    """Evidence of a change.

    :param record: the record of the change.
    :param adoptions: daemons that adopted this revision or a later one, as
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
    location = names.RequestLocation.from_request_id(request_id)
    if location is None:
        return NoEvidence(f'{request_id!r} is not a request id')
    found = await _read_all(objects, location.prefix)
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
    """Find the record of the change that created a revision."""
    row = await tables.read(changes.change_key(revision))
    if isinstance(row, Unavailable):
        return _store_down(row)
    record = changes.decode_change(row.body)
    if record is None:
        return NoEvidence(f'no change has created revision {revision}')
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
        f'reading from the platform failed: {problem.reason}',
        is_store_down=True,
    )
