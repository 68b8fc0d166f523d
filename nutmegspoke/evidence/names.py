"""Names of evidence objects, derived from a request id or a time."""

from __future__ import annotations

import dataclasses
from typing import Self

_REQUEST_PREFIX = 'evidence/requests/'
_ADOPTION_PREFIX = 'evidence/adoptions/'
_BUCKET_S = 60
_REQUEST_ID_PARTS = 3
_SEQUENCE_DIGITS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLocation:
    """Location of the evidence of a request in the object store.

    :param daemon: name of the daemon that received the request.
    :param bucket: minute in which the request was received, in hexadecimal.
    """

    daemon: str
    bucket: str

    @classmethod
    def from_request_id(cls, request_id: str) -> Self | None:
        """Return the location for a request; ``None`` if the id is invalid.

        :param request_id: ``DAEMON.MINUTE.RANDOM``.
        """
        parts = request_id.split('.')
        if len(parts) != _REQUEST_ID_PARTS or not all(parts):
            return None
        return cls(parts[0], parts[1])

    @property
    def prefix(self) -> str:
        """Return the prefix of the objects that may hold the record."""
        return f'{_REQUEST_PREFIX}{self.bucket}/{self.daemon}/'


def adoption_bucket(wall_s: float) -> str:
    """Return the bucket of a time, the minute in hexadecimal.

    :param wall_s: seconds since 1970.
    """
    return f'{int(wall_s) // _BUCKET_S:x}'


def adoption_prefix(bucket: str) -> str:
    """Return the prefix of the adoption objects of a bucket."""
    return f'{_ADOPTION_PREFIX}{bucket}/'


def object_name(prefix: str, start_id: str, sequence: int) -> str:
    """Return the name of an object.

    :param prefix: prefix of the location.
    :param start_id: id of this start of the daemon; keeps later starts from
        overwriting the object.
    :param sequence: sequence number of the object within this start.
    """
    return f'{prefix}{start_id}.{sequence:0{_SEQUENCE_DIGITS}}'
