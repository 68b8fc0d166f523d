"""Names of evidence objects, found from a request id or a time."""

from __future__ import annotations

import dataclasses
from typing import Self

_REQUESTS = 'evidence/requests/'
_ADOPTIONS = 'evidence/adoptions/'
_BUCKET_S = 60
_ID_PARTS = 3
_SEQUENCE_DIGITS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLocation:
    """Where the evidence of a request is.

    :param daemon: name of the daemon that took the request.
    :param bucket: minute in which it came, in hexadecimal.
    """

    daemon: str
    bucket: str

    @classmethod
    def from_request_id(cls, request_id: str) -> Self | None:
        """Return the place of a request; ``None`` if this is no id.

        :param request_id: ``DAEMON.MINUTE.RANDOM``.
        """
        parts = request_id.split('.')
        if len(parts) != _ID_PARTS or not all(parts):
            return None
        return cls(parts[0], parts[1])

    @property
    def prefix(self) -> str:
        """Return the prefix of the objects that may hold the record."""
        return f'{_REQUESTS}{self.bucket}/{self.daemon}/'


def adoption_bucket(wall_s: float) -> str:
    """Return the bucket of a time.

    :param wall_s: seconds since 1970.
    """
    return f'{int(wall_s) // _BUCKET_S:x}'


def adoption_prefix(bucket: str) -> str:
    """Return the prefix of the adoptions that were recorded in a bucket."""
    return f'{_ADOPTIONS}{bucket}/'


def object_name(prefix: str, start_id: str, sequence: int) -> str:
    """Return the name of one object.

    :param prefix: prefix of its place.
    :param start_id: names this start of the daemon, so that a later one
        overwrites nothing.
    :param sequence: number of the object in this start.
    """
    return f'{prefix}{start_id}.{sequence:0{_SEQUENCE_DIGITS}}'
