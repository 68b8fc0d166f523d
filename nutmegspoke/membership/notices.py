"""Notices: short-lived items that every daemon receives once."""

from __future__ import annotations

import dataclasses
import types
from typing import TYPE_CHECKING

from nutmegspoke.membership.dissemination import Dissemination
from nutmegspoke.membership.messages import Notice, NoticeKind

if TYPE_CHECKING:
    from collections.abc import Iterator

_LIFETIMES_S = types.MappingProxyType(
    {
        int(NoticeKind.LEAVING_TARGET): 10.0,
        int(NoticeKind.QUARANTINE): 600.0,
        int(NoticeKind.SUSPECTED_DAEMON): 10.0,
    }
)
# An equal notice created no more than this later is a duplicate.
_DUPLICATE_S = 2.0
_MAX_NOTICES = 1_000

NoticeKey = tuple[int, str, str]


@dataclasses.dataclass(slots=True)
class _StoredNotice:
    notice: Notice
    created_s: float


@dataclasses.dataclass(slots=True)
class NoticeStore:
    """Notices that have not expired, and how often each was sent.

    :param unknown_count: number of notices received whose kind is unknown to
        this release.
    """

    unknown_count: int = 0
    _stored: dict[NoticeKey, _StoredNotice] = dataclasses.field(
        default_factory=dict
    )
    _dissemination: Dissemination[NoticeKey] = dataclasses.field(
        default_factory=Dissemination,
    )

    def add(self, notice: Notice, now_s: float) -> bool:
        """Store a notice and schedule it for sending.

        :returns: ``False`` if it is a duplicate, expired, or of an unknown
            kind. An equal notice that was created later is new.
        """
        lifetime_s = _LIFETIMES_S.get(notice.kind)
        if lifetime_s is None:
            self.unknown_count += 1
            return False
        created_s = now_s - max(0.0, notice.age_s)
        key = _key(notice)
        known = self._stored.get(key)
        is_old = (
            known is not None and created_s <= known.created_s + _DUPLICATE_S
        )
        if is_old or now_s - created_s > lifetime_s:
            return False
        self._stored[key] = _StoredNotice(notice, created_s)
        self._dissemination.schedule(key)
        self._drop_excess()
        return True

    def outgoing(
        self, now_s: float, max_transmissions: int
    ) -> Iterator[Notice]:
        """Yield the notices to send; each one yielded counts as sent."""
        self._drop_expired(now_s)
        for key in tuple(self._dissemination.candidates(max_transmissions)):
            stored = self._stored[key]
            yield _with_current_age(stored, now_s)
            self._dissemination.count_transmission(key)

    def all(self, now_s: float) -> tuple[Notice, ...]:
        """Return every notice that has not expired, for a joining daemon."""
        self._drop_expired(now_s)
        return tuple(
            _with_current_age(stored, now_s) for stored in self._stored.values()
        )

    def _drop_expired(self, now_s: float) -> None:
        expired = [
            key
            for key, stored in self._stored.items()
            if now_s - stored.created_s > _LIFETIMES_S[stored.notice.kind]
        ]
        for key in expired:
            self._drop(key)

    def _drop_excess(self) -> None:
        while len(self._stored) > _MAX_NOTICES:
            self._drop(min(self._stored, key=self._creation_s))

    def _drop(self, key: NoticeKey) -> None:
        self._stored.pop(key)
        self._dissemination.stop(key)

    def _creation_s(self, key: NoticeKey) -> float:
        return self._stored[key].created_s


def _key(notice: Notice) -> NoticeKey:
    return (notice.kind, notice.subject, notice.detail)


def _with_current_age(stored: _StoredNotice, now_s: float) -> Notice:
    notice = stored.notice
    return Notice(
        notice.kind,
        notice.subject,
        notice.detail,
        now_s - stored.created_s,
        notice.number,
    )
