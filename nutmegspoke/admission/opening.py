"""Retry times while a daemon can't serve anything yet.

A daemon without tables refuses every request. Its callers return once at most,
so a return before the store answers is lost, whereas a later one is served
late.
"""

from __future__ import annotations

import zlib

# A daemon that reaches the store has the tables within some round trips; one
# without them is cut off from it, which usually lasts for some seconds.
_USUAL_OUTAGE_S = 3.0
# Entries of targets that have lapsed in an outage are back within this time.
_LAPSED_ENTRIES_S = 2.0
# Callers wait at most this share of the time that they have left.
_ACCEPTED_SHARE = 1 / 3
# Part of the accepted wait that is used; the rest is for the way back.
_USED_PART = 0.95
# Longest wait of callers that don't tell their deadline.
_DEFAULT_ACCEPTED_S = 5.0
# The last caller returns after this multiple of the wait of the first.
_SPREAD_FACTOR = 1.5
_CHECKSUMS = 2**32


def expected_opening_s(closed_s: float) -> float:
    """Return the expected time until requests can be served, in seconds.

    An outage that has lasted longer than usual is expected to last as long
    again.

    :param closed_s: time for which the daemon has been without tables.
    """
    left_s = max(_USUAL_OUTAGE_S - closed_s, closed_s)
    return left_s + _LAPSED_ENTRIES_S


def opening_wait_s(
    closed_s: float, time_left_s: float | None, key: str
) -> float:
    """Return when a caller refused for want of tables may return, in seconds.

    The wait never exceeds what the caller accepts. Returns are distributed by a
    checksum of the key, so that callers do not return all at once.

    :param closed_s: time for which the daemon has been without tables.
    :param time_left_s: time that the caller has; ``None`` if unknown.
    :param key: id of the request.
    """
    accepted_s = _DEFAULT_ACCEPTED_S
    if time_left_s is not None:
        accepted_s = time_left_s * _ACCEPTED_SHARE * _USED_PART
    opening_s = expected_opening_s(closed_s)
    latest_s = min(opening_s * _SPREAD_FACTOR, accepted_s)
    earliest_s = min(opening_s, latest_s / _SPREAD_FACTOR)
    fraction = zlib.crc32(key.encode()) / _CHECKSUMS
    return earliest_s + (latest_s - earliest_s) * fraction
