"""Notices that daemons exchange about requests that crash targets."""

from __future__ import annotations

import msgspec


class CrashNotice(msgspec.Struct, frozen=True, tag='crash'):
    """A target crashed while requests were in flight on it.

    :param target: name of the target.
    :param passengers: fingerprints of the requests in flight on it.
    :param candidates: fingerprints of those requests that were also in flight
        on another target that crashed earlier.
    """

    target: str
    passengers: tuple[str, ...]
    candidates: tuple[str, ...]


class QuarantineNotice(msgspec.Struct, frozen=True, tag='quarantine'):
    """A request is quarantined.

    :param fingerprint: digest of team, route and body.
    :param target: name of the target whose crash is the cause.
    :param remaining_s: remaining duration of the quarantine in seconds.
    """

    fingerprint: str
    target: str
    remaining_s: float


Notice = CrashNotice | QuarantineNotice


def encode_notice(notice: Notice) -> str:
    """Return a notice as JSON text, for the exchange between daemons."""
    return msgspec.json.encode(notice).decode()


def decode_notice(text: str) -> Notice | None:
    """Return a decoded notice; ``None`` if the text is invalid."""
    try:
        return msgspec.json.decode(text, type=CrashNotice | QuarantineNotice)
    except msgspec.MsgspecError:
        return None
