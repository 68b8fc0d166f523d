"""What daemons tell each other about requests that crash targets."""

from __future__ import annotations

import msgspec


class CrashNotice(msgspec.Struct, frozen=True, tag='crash'):
    """A target crashed under these requests.

    :param target: name of the target.
    :param passengers: fingerprints of the requests in flight on it.
    :param candidates: those that were in flight on another crashed target.
    """

    target: str
    passengers: tuple[str, ...]
    candidates: tuple[str, ...]


class QuarantineNotice(msgspec.Struct, frozen=True, tag='quarantine'):
    """A request is quarantined.

    :param fingerprint: digest of team, route and body.
    :param target: the target whose crash named it.
    :param remaining_s: for how long.
    """

    fingerprint: str
    target: str
    remaining_s: float


Notice = CrashNotice | QuarantineNotice


def encode_notice(notice: Notice) -> str:
    """Return a notice as text, for the exchange between daemons."""
    return msgspec.json.encode(notice).decode()


def decode_notice(text: str) -> Notice | None:
    """Return the notice of a text; ``None`` if it can't be read."""
    try:
        return msgspec.json.decode(text, type=CrashNotice | QuarantineNotice)
    except msgspec.MsgspecError:
        return None
