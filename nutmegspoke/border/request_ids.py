"""Request ids, unique over all daemons.

An id contains the daemon and the minute, so that operators can find its logs.
"""

from __future__ import annotations

import secrets

_RANDOM_BYTES = 6
_BUCKET_S = 60


def new_request_id(daemon: str, wall_s: float) -> str:
    """Return a new request id.

    :param daemon: name of the daemon.
    :param wall_s: seconds since 1970.
    :returns: ``DAEMON.MINUTE.RANDOM``, minute and random in hexadecimal.
    """
    minute = int(wall_s) // _BUCKET_S
    return f'{daemon}.{minute:x}.{secrets.token_hex(_RANDOM_BYTES)}'
