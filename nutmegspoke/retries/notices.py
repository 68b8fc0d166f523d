"""Notices that daemons exchange about requests that crash targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

_MAX_QUEUED_NOTICES = 1024
# Begins the names of parts, which stand in place of a fingerprint.
PARTS_PREFIX = 'parts:'


class RunAtRisk(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A run that had not yet written for a while when its target crashed.

    :param fingerprint: digest of the request.
    :param shared_parts: ids of the parts of its prompt that others may share.
    :param has_written: whether the target had written events of it.
    """

    fingerprint: str
    shared_parts: tuple[str, ...] = ()
    has_written: bool = False


class CrashNotice(msgspec.Struct, frozen=True, tag='crash'):
    """A target crashed while requests were in flight on it.

    :param target: name of the target.
    :param passengers: fingerprints of the requests in flight on it.
    :param candidates: fingerprints of those requests that were also in flight
        on another target that crashed earlier.
    :param at_risk: those that had not yet written there for a while; others of
        them count as silent.
    """

    target: str
    passengers: tuple[str, ...]
    candidates: tuple[str, ...]
    at_risk: tuple[RunAtRisk, ...] = ()


class QuarantineNotice(msgspec.Struct, frozen=True, tag='quarantine'):
    """A request is quarantined, or all that have certain parts.

    :param fingerprint: digest of team, route and body, or the name of the parts.
    :param target: name of the target whose crash is the cause.
    :param remaining_s: remaining duration of the quarantine in seconds.
    :param targets: names of all targets that crashed while it was in flight.
    """

    fingerprint: str
    target: str
    remaining_s: float
    targets: tuple[str, ...] = ()


class ClearNotice(msgspec.Struct, frozen=True, tag='clear'):
    """A request that was a suspect has completed, or a part is sound.

    :param fingerprint: digest of team, route and body, or the name of the part.
    :param age_s: time since then in seconds.
    """

    fingerprint: str
    age_s: float = 0.0


Notice = CrashNotice | QuarantineNotice | ClearNotice


def names_parts(notice: Notice) -> bool:
    """Return whether a notice is about parts of prompts, not a request."""
    if isinstance(notice, CrashNotice):
        return False
    return notice.fingerprint.startswith(PARTS_PREFIX)


def merge_notices(notices: Iterable[Notice]) -> tuple[Notice, ...]:
    """Return notices without repetitions, with one for each crash.

    Each daemon reports a crash with its own passengers, and proofs of a part
    with other ages; the last proof is kept.
    """
    crashes: dict[str, CrashNotice] = {}
    clears: dict[str, ClearNotice] = {}
    others: dict[Notice, None] = {}
    for notice in notices:
        if isinstance(notice, CrashNotice):
            known = crashes.get(notice.target)
            crashes[notice.target] = (
                notice if known is None else _merge_crashes(known, notice)
            )
        elif isinstance(notice, ClearNotice):
            last = clears.setdefault(notice.fingerprint, notice)
            if notice.age_s < last.age_s:
                clears[notice.fingerprint] = notice
        else:
            others[notice] = None
    return (*crashes.values(), *others, *clears.values())


def _merge_crashes(known: CrashNotice, more: CrashNotice) -> CrashNotice:
    return CrashNotice(
        known.target,
        tuple(sorted({*known.passengers, *more.passengers})),
        tuple(sorted({*known.candidates, *more.candidates})),
        tuple(sorted({*known.at_risk, *more.at_risk})),
    )


class NoticeQueue:
    """Notices that were not yet sent; beyond a limit, new ones are dropped."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._notices: list[Notice] = []

    def add(self, *notices: Notice) -> None:
        """Add notices to be sent."""
        free_slots = _MAX_QUEUED_NOTICES - len(self._notices)
        self._notices.extend(notices[:free_slots])

    def drain(self) -> tuple[Notice, ...]:
        """Remove and return all notices."""
        drained = tuple(self._notices)
        self._notices.clear()
        return drained


def encode_notice(notice: Notice) -> str:
    """Return a notice as JSON text, for the exchange between daemons."""
    return msgspec.json.encode(notice).decode()


def decode_notice(text: str) -> Notice | None:
    """Return a decoded notice; ``None`` if the text is invalid."""
    try:
        return msgspec.json.decode(text, type=Notice)
    except msgspec.MsgspecError:
        return None
