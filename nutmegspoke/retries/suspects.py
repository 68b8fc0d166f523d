"""What a daemon remembers of crashes and of the requests under suspicion."""

from __future__ import annotations

import collections
import dataclasses
import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

_DIGEST_BYTES = 12
_LENGTH_BYTES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """Bounds of suspicion and quarantine.

    :param quarantine_s: first quarantine; each further one is twice as long.
    :param max_quarantine_s: longest quarantine.
    :param suspicion_s: suspicion without a further crash lapses after this.
    :param crash_window_s: reports of one target's crash within this time are
        of the same crash.
    :param max_suspect_share: share of a pool's targets that may run suspects.
    :param max_suspects: requests under suspicion at most.
    """

    quarantine_s: float = 60.0
    max_quarantine_s: float = 3600.0
    suspicion_s: float = 900.0
    crash_window_s: float = 10.0
    max_suspect_share: float = 0.25
    max_suspects: int = 4096


@dataclasses.dataclass(slots=True)
class Suspect:
    """A request that was in flight on a target when it crashed.

    :param since_s: when it was last in flight on one.
    :param targets: names of the targets that crashed.
    :param quarantined_until_s: end of its quarantine.
    :param quarantine_count: how often it was quarantined.
    :param named_by: target whose crash named it last.
    """

    since_s: float
    targets: set[str] = dataclasses.field(default_factory=set)
    quarantined_until_s: float = 0.0
    quarantine_count: int = 0
    named_by: str = ''

    def is_quarantined(self, now_s: float) -> bool:
        """Tell whether it must not run."""
        return now_s < self.quarantined_until_s

    def quarantine(self, target: str, for_s: float, now_s: float) -> None:
        """Keep it from running.

        :param target: target whose crash named it.
        :param for_s: for how long; a longer present quarantine stays.
        :param now_s: present time.
        """
        if not self.is_quarantined(now_s):
            self.quarantine_count += 1
        until_s = max(self.quarantined_until_s, now_s + for_s)
        self.quarantined_until_s = until_s
        self.since_s = until_s
        self.named_by = target

    def lift(self, target: str, now_s: float) -> None:
        """End a quarantine that rests on a target's crash alone."""
        if self.named_by != target:
            return
        self.named_by = ''
        self.quarantine_count -= 1
        self.quarantined_until_s = now_s
        self.since_s = now_s


@dataclasses.dataclass(slots=True)
class Crash:
    """The last crash of a target.

    :param at_s: when it was first heard of.
    :param candidates: passengers that were in flight on another crashed
        target before.
    """

    at_s: float
    candidates: set[str] = dataclasses.field(default_factory=set)


class SuspectRegistry:
    """The requests under suspicion, oldest first."""

    def __init__(self, max_suspects: int) -> None:
        """Create without suspects.

        :param max_suspects: suspects at most; the oldest gives way.
        """
        self._max_suspects = max_suspects
        self._suspects: dict[str, Suspect] = {}

    def find(self, fingerprint: str) -> Suspect | None:
        """Return a suspect; ``None`` if the request is none."""
        return self._suspects.get(fingerprint)

    def add(self, fingerprint: str, now_s: float) -> Suspect:
        """Return a suspect; a new one if the request was none."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            return suspect
        if len(self._suspects) >= self._max_suspects:
            self._suspects.pop(next(iter(self._suspects)))
        suspect = Suspect(now_s)
        self._suspects[fingerprint] = suspect
        return suspect

    def clear(self, fingerprint: str) -> bool:
        """End the suspicion of a request; ``False`` if there was none."""
        return self._suspects.pop(fingerprint, None) is not None

    def is_disjoint(self, fingerprints: Collection[str]) -> bool:
        """Tell whether none of these requests is a suspect."""
        return self._suspects.keys().isdisjoint(fingerprints)


class RunningRequests:
    """The requests in flight on each target."""

    def __init__(self) -> None:
        """Create without requests."""
        self._by_target: dict[str, collections.Counter[str]] = {}

    def add(self, fingerprint: str, target: str) -> None:
        """Count a request in."""
        requests = self._by_target.setdefault(target, collections.Counter())
        requests[fingerprint] += 1

    def remove(self, fingerprint: str, target: str) -> None:
        """Count a request out, unless its target has crashed meanwhile."""
        requests = self._by_target.get(target)
        if requests is None or fingerprint not in requests:
            return
        requests[fingerprint] -= 1
        if not requests[fingerprint]:
            requests.pop(fingerprint)
        if not requests:
            self._by_target.pop(target)

    def pop_target(self, target: str) -> set[str]:
        """Return the requests of a target, which has none afterwards."""
        return set(self._by_target.pop(target, ()))

    def on(self, target: str) -> set[str]:
        """Return the requests of a target."""
        return set(self._by_target.get(target, ()))


def request_fingerprint(team: str, route: str, body: bytes) -> str:
    """Return the digest by which a request is known again.

    :param team: team of the caller.
    :param route: name of the route.
    :param body: body in bytes.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (team.encode(), route.encode(), body):
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    return digest.hexdigest()
