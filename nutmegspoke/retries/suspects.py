"""Records of crashed targets and of the requests suspected of crashing them."""

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
    """Limits of suspicion and quarantine.

    :param quarantine_s: duration of a request's first quarantine in seconds;
        each further one lasts twice as long.
    :param max_quarantine_s: longest duration of a quarantine in seconds.
    :param suspicion_s: seconds without a further crash after which a request
        is no longer suspected.
    :param crash_window_s: reports that a target crashed count as the same
        crash for this many seconds.
    :param max_suspect_share: largest share of a pool's targets that may run
        suspects at the same time.
    :param max_suspects: largest number of suspects; the oldest is dropped.
    :param max_crashes: number of crashed targets from which a request is
        quarantined whatever else was in flight on them, without those on which
        it had begun to write.
    :param max_weak_crashes: the same number with these targets.
    :param innocence_s: seconds for which a request that has completed does not
        become a suspect.
    :param max_completed: largest number of such requests; the oldest is
        dropped.
    """

    quarantine_s: float = 60.0
    max_quarantine_s: float = 3600.0
    suspicion_s: float = 900.0
    crash_window_s: float = 10.0
    max_suspect_share: float = 0.25
    max_suspects: int = 4096
    max_crashes: int = 3
    max_weak_crashes: int = 5
    innocence_s: float = 300.0
    max_completed: int = 8192


@dataclasses.dataclass(slots=True)
class Suspect:
    """A request that was in flight on a target when it crashed.

    :param since_s: time of the last such crash, or end of the quarantine.
    :param targets: names of the targets that crashed.
    :param writing_targets: names of those on which it had begun to write.
    :param quarantined_until_s: end of its quarantine; in the past if it is
        not quarantined.
    :param quarantine_count: number of its quarantines, without lifted ones.
    :param cause_target: target whose crash caused the last quarantine.
    """

    since_s: float
    targets: set[str] = dataclasses.field(default_factory=set)
    writing_targets: set[str] = dataclasses.field(default_factory=set)
    quarantined_until_s: float = 0.0
    quarantine_count: int = 0
    cause_target: str = ''

    def is_quarantined(self, now_s: float) -> bool:
        """Return whether the request is quarantined and must not run."""
        return now_s < self.quarantined_until_s

    def has_crashed_too_many(self, settings: QuarantineSettings) -> bool:
        """Return whether too many targets crashed."""
        return (
            len(self.targets) >= settings.max_crashes
            or len(self.all_targets()) >= settings.max_weak_crashes
        )

    def all_targets(self) -> set[str]:
        """Return the targets that crashed, whether it had written or not."""
        return self.targets | self.writing_targets

    def quarantine(self, target: str, for_s: float, now_s: float) -> None:
        """Quarantine the request.

        :param target: target whose crash is the cause.
        :param for_s: duration in seconds; a current quarantine that ends
            later is not shortened.
        :param now_s: current time, in seconds.
        """
        if not self.is_quarantined(now_s):
            self.quarantine_count += 1
        until_s = max(self.quarantined_until_s, now_s + for_s)
        self.quarantined_until_s = until_s
        self.since_s = until_s
        self.cause_target = target

    def lift(self, target: str, now_s: float) -> None:
        """End the quarantine if a target's crash is its cause."""
        if self.cause_target != target:
            return
        self.cause_target = ''
        self.quarantine_count -= 1
        self.quarantined_until_s = now_s
        self.since_s = now_s


class SuspectRegistry:
    """Suspects by fingerprint, oldest first."""

    def __init__(self, max_suspects: int) -> None:
        """Create a registry without suspects.

        :param max_suspects: largest number; beyond it the oldest is dropped.
        """
        self._max_suspects = max_suspects
        self._suspects: dict[str, Suspect] = {}

    def quarantined(self, now_s: float) -> tuple[tuple[str, Suspect], ...]:
        """Return the quarantined suspects with their fingerprints."""
        return tuple(
            (fingerprint, suspect)
            for fingerprint, suspect in self._suspects.items()
            if suspect.is_quarantined(now_s)
        )

    def find(self, fingerprint: str) -> Suspect | None:
        """Return the suspect of a fingerprint; ``None`` if there is none."""
        return self._suspects.get(fingerprint)

    def add(self, fingerprint: str, now_s: float) -> Suspect:
        """Return the suspect of a fingerprint; create it if there is none."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            return suspect
        if len(self._suspects) >= self._max_suspects:
            self._suspects.pop(next(iter(self._suspects)))
        suspect = Suspect(now_s)
        self._suspects[fingerprint] = suspect
        return suspect

    def clear(self, fingerprint: str) -> bool:
        """Remove a suspect; return ``False`` if there was none."""
        return self._suspects.pop(fingerprint, None) is not None

    def is_disjoint(self, fingerprints: Collection[str]) -> bool:
        """Return whether none of the fingerprints is a suspect."""
        return self._suspects.keys().isdisjoint(fingerprints)


class CompletedRequests:
    """Requests that have completed lately, oldest first.

    :param innocence_s: seconds for which a request is kept.
    :param max_completed: largest number; beyond it the oldest is dropped.
    """

    def __init__(self, innocence_s: float, max_completed: int) -> None:
        """Create without requests."""
        self._innocence_s = innocence_s
        self._max_completed = max_completed
        self._completed_s: dict[str, float] = {}

    def add(self, fingerprint: str, now_s: float) -> None:
        """Add a request that has completed now."""
        self._completed_s.pop(fingerprint, None)
        if len(self._completed_s) >= self._max_completed:
            self._completed_s.pop(next(iter(self._completed_s)))
        self._completed_s[fingerprint] = now_s

    def has(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a request has completed lately."""
        completed_s = self._completed_s.get(fingerprint)
        if completed_s is None:
            return False
        return now_s - completed_s <= self._innocence_s

    def split(
        self, fingerprints: Collection[str], now_s: float
    ) -> tuple[set[str], set[str]]:
        """Return the requests that have not completed lately, and the others."""
        completed = {each for each in fingerprints if self.has(each, now_s)}
        return set(fingerprints) - completed, completed


class RunningRequests:
    """Counts the requests in flight on each target by fingerprint."""

    def __init__(self) -> None:
        """Create without requests in flight."""
        self._by_target: dict[str, collections.Counter[str]] = {}

    def add(self, fingerprint: str, target: str) -> None:
        """Add a request that is sent to a target."""
        requests = self._by_target.setdefault(target, collections.Counter())
        requests[fingerprint] += 1

    def remove(self, fingerprint: str, target: str) -> None:
        """Remove a request; ignored if its target has crashed meanwhile."""
        requests = self._by_target.get(target)
        if requests is None or fingerprint not in requests:
            return
        requests[fingerprint] -= 1
        if not requests[fingerprint]:
            requests.pop(fingerprint)
        if not requests:
            self._by_target.pop(target)

    def pop_target(self, target: str) -> set[str]:
        """Remove and return the requests in flight on a target."""
        return set(self._by_target.pop(target, ()))

    def requests_on(self, target: str) -> set[str]:
        """Return the requests in flight on a target."""
        return set(self._by_target.get(target, ()))


def request_fingerprint(team: str, route: str, body: bytes) -> str:
    """Return the digest that identifies equal requests.

    :param team: team of the caller.
    :param route: name of the route, or method and URL.
    :param body: body of the request.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (team.encode(), route.encode(), body):
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    return digest.hexdigest()
