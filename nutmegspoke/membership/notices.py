"""News that every daemon hears once."""

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
_SAME_NEWS_S = 2.0
_MAX_NOTICES = 1_000

NoticeKey = tuple[int, str, str]


@dataclasses.dataclass(slots=True)
class _Kept:
    notice: Notice
    said_s: float


@dataclasses.dataclass(slots=True)
class NoticeBoard:
    """Keeps notices as long as they matter and passes them on.

    :param unknown_count: notices of kinds that this release doesn't know.
    """

    unknown_count: int = 0
    _kept: dict[NoticeKey, _Kept] = dataclasses.field(default_factory=dict)
    _dissemination: Dissemination[NoticeKey] = dataclasses.field(
        default_factory=Dissemination,
    )

    def take(self, notice: Notice, now_s: float) -> bool:
        """Keep a notice; tell whether it is news.

        The same notice said again later is news again.
        """
        lifetime_s = _LIFETIMES_S.get(notice.kind)
        if lifetime_s is None:
            self.unknown_count += 1
            return False
        said_s = now_s - max(0.0, notice.age_s)
        key = _key(notice)
        known = self._kept.get(key)
        is_old = known is not None and said_s <= known.said_s + _SAME_NEWS_S
        if is_old or now_s - said_s > lifetime_s:
            return False
        self._kept[key] = _Kept(notice, said_s)
        self._dissemination.schedule(key)
        self._drop_excess()
        return True

    def outgoing(self, now_s: float, copies: int) -> Iterator[Notice]:
        """Return the notices to pass on; each one taken counts as sent."""
        self._drop_expired(now_s)
        for key in tuple(self._dissemination.candidates(copies)):
            kept = self._kept[key]
            yield _aged(kept, now_s)
            self._dissemination.sent(key)

    def all(self, now_s: float) -> tuple[Notice, ...]:
        """Return every notice that still matters, for a daemon that joins."""
        self._drop_expired(now_s)
        return tuple(_aged(kept, now_s) for kept in self._kept.values())

    def _drop_expired(self, now_s: float) -> None:
        expired = [
            key
            for key, kept in self._kept.items()
            if now_s - kept.said_s > _LIFETIMES_S[kept.notice.kind]
        ]
        for key in expired:
            self._drop(key)

    def _drop_excess(self) -> None:
        while len(self._kept) > _MAX_NOTICES:
            self._drop(min(self._kept, key=self._said_s))

    def _drop(self, key: NoticeKey) -> None:
        self._kept.pop(key)
        self._dissemination.drop(key)

    def _said_s(self, key: NoticeKey) -> float:
        return self._kept[key].said_s


def _key(notice: Notice) -> NoticeKey:
    return (notice.kind, notice.subject, notice.detail)


def _aged(kept: _Kept, now_s: float) -> Notice:
    notice = kept.notice
    return Notice(
        notice.kind,
        notice.subject,
        notice.detail,
        now_s - kept.said_s,
        notice.number,
    )
