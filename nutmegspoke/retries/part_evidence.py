"""Evidence for and against parts of prompts: crashes of targets, and proofs."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from nutmegspoke.retries.notices import RunAtRisk

NEVER_S = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class PartEvidence:
    """The crashes that count against a part.

    :param targets: names of the targets that crashed, in order.
    :param silent_count: how many of them had written nothing for a request with
        the part.
    :param requests: fingerprints of the requests at risk that had the part.
    :param span_s: time between the first and the last crash in seconds.
    """

    targets: tuple[str, ...]
    silent_count: int
    requests: frozenset[str]
    span_s: float


@dataclasses.dataclass(slots=True)
class _Crash:
    """A crash of a target.

    :param at_s: time of the first report.
    :param requests: for each part of the requests at risk, their fingerprints.
    :param silent_parts: parts of those that had written nothing.
    """

    at_s: float
    requests: dict[str, set[str]] = dataclasses.field(default_factory=dict)
    silent_parts: set[str] = dataclasses.field(default_factory=set)


class PartCrashes:
    """Crashes of targets, with the parts of the requests at risk on them.

    :param max_count: largest number kept; beyond it the oldest is dropped.
    :param suspicion_s: seconds after which a crash no longer counts.
    """

    def __init__(self, max_count: int, suspicion_s: float) -> None:
        """Create without crashes."""
        self._max_count = max_count
        self._suspicion_s = suspicion_s
        self._crashes: dict[str, _Crash] = {}

    def add(
        self, target: str, at_risk: Sequence[RunAtRisk], at_s: float
    ) -> frozenset[str]:
        """Add a crash, or requests at risk to a known one.

        :returns: the parts of all requests at risk at it.
        """
        crash = self._crashes.get(target)
        if crash is None:
            if len(self._crashes) >= self._max_count:
                self._crashes.pop(next(iter(self._crashes)))
            crash = _Crash(at_s)
            self._crashes[target] = crash
        for run in at_risk:
            for part in run.shared_parts:
                crash.requests.setdefault(part, set()).add(run.fingerprint)
            if not run.has_written:
                crash.silent_parts.update(run.shared_parts)
        return frozenset(crash.requests)

    def find_evidence(
        self,
        part: str,
        since_s: float,
        now_s: float,
        is_explained: Callable[[Iterable[str]], bool],
    ) -> PartEvidence:
        """Return the crashes that count against a part.

        :param since_s: time before which crashes don't count.
        :param is_explained: returns whether a crash has another known cause;
            called with the parts of the requests at risk.
        """
        oldest_s = max(since_s, now_s - self._suspicion_s)
        crashes = {
            target: crash
            for target, crash in self._crashes.items()
            if part in crash.requests
            and crash.at_s > oldest_s
            and not is_explained(crash.requests)
        }
        times_s = [crash.at_s for crash in crashes.values()]
        requests = (crash.requests[part] for crash in crashes.values())
        return PartEvidence(
            tuple(crashes),
            sum(part in crash.silent_parts for crash in crashes.values()),
            frozenset().union(*requests),
            max(times_s, default=0.0) - min(times_s, default=0.0),
        )

    def has_evidence(self, part: str, since_s: float, now_s: float) -> bool:
        """Return whether a crash since some time counts against a part."""
        oldest_s = max(since_s, now_s - self._suspicion_s)
        return any(
            part in crash.requests and crash.at_s > oldest_s
            for crash in self._crashes.values()
        )


class SoundParts:
    """Times at which parts were last proved sound, oldest first.

    :param max_count: largest number kept; beyond it the oldest is dropped.
    """

    def __init__(self, max_count: int) -> None:
        """Create without parts."""
        self._max_count = max_count
        self._sound_s: dict[str, float] = {}

    def add(self, part: str, at_s: float) -> None:
        """Add a proof; ignored if a later one is known."""
        known_s = self._sound_s.pop(part, NEVER_S)
        if len(self._sound_s) >= self._max_count:
            self._sound_s.pop(next(iter(self._sound_s)))
        self._sound_s[part] = max(known_s, at_s)

    def last_s(self, part: str) -> float:
        """Return the time of the last proof; ``NEVER_S`` without one."""
        return self._sound_s.get(part, NEVER_S)

    def is_recent(self, parts: Iterable[str], oldest_s: float) -> bool:
        """Return whether some part was proved sound since some time."""
        return any(self.last_s(part) >= oldest_s for part in parts)
