"""Temporary ejection of targets that return more errors than their peers."""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from nutmegspoke.targets import Target

logger = logging.getLogger(__name__)

_MAX_DOUBLINGS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class OutlierSettings:
    """When a target is ejected, and for how long.

    :param min_results: smallest weighted number of results from which a target
        can be an outlier.
    :param min_error_share: smallest share of errors of an outlier.
    :param peer_factor: smallest ratio of an outlier's share of errors to that
        of the other targets of the pool.
    :param max_ejected_share: largest share of a pool's targets that is ejected
        at the same time.
    :param half_life_s: seconds in which a result loses half its weight.
    :param ejection_s: duration of the first ejection in seconds; each further
        one lasts twice as long.
    :param max_ejection_s: longest duration of an ejection in seconds.
    :param max_targets: largest number of targets whose results are kept.
    """

    min_results: float = 5.0
    min_error_share: float = 0.5
    peer_factor: float = 2.0
    max_ejected_share: float = 0.34
    half_life_s: float = 10.0
    ejection_s: float = 5.0
    max_ejection_s: float = 120.0
    max_targets: int = 4096


@dataclasses.dataclass(slots=True)
class _Record:
    """Results of one target, counted with exponential decay."""

    successes: float = 0.0
    errors: float = 0.0
    counted_s: float = 0.0
    ejected_until_s: float = 0.0
    ejection_count: int = 0

    def count(
        self,
        now_s: float,
        half_life_s: float,
        *,
        is_error: bool,
    ) -> None:
        self.decay(now_s, half_life_s)
        if is_error:
            self.errors += 1
        else:
            self.successes += 1

    def decay(self, now_s: float, half_life_s: float) -> None:
        factor = 0.5 ** ((now_s - self.counted_s) / half_life_s)
        self.successes *= factor
        self.errors *= factor
        self.counted_s = now_s

    def clear(self) -> None:
        self.successes = 0.0
        self.errors = 0.0

    @property
    def total(self) -> float:
        return self.successes + self.errors


class Outliers:
    """Ejects targets whose share of errors is far above that of their peers.

    A target that returns errors quickly has little work in flight. A policy
    that selects targets by work in flight would send it more and more of the
    traffic. If all targets of a pool fail at the same rate, the calls are
    assumed to be the cause and no target is ejected.
    """

    def __init__(self, settings: OutlierSettings) -> None:
        """Create without results.

        :param settings: when a target is ejected, and for how long.
        """
        self._settings = settings
        self._records: dict[str, _Record] = {}

    def record_result(
        self, target: str, now_s: float, *, is_error: bool
    ) -> None:
        """Record the result of a call.

        :param target: name of the target.
        :param now_s: current time, in seconds.
        :param is_error: whether the target returned an error of its own or no
            answer.
        """
        record = self._records.get(target)
        if record is None:
            record = self._add(target, now_s)
        record.count(now_s, self._settings.half_life_s, is_error=is_error)
        has_few_errors = record.errors < 1
        if has_few_errors and record.successes >= self._settings.min_results:
            record.ejection_count = 0

    def usable(
        self,
        targets: Sequence[Target],
        now_s: float,
    ) -> tuple[Target, ...]:
        """Return the targets of a pool that are not ejected.

        Ejects outliers among them first, up to the largest ejected share.

        :param targets: all targets of the pool that accept new requests.
        :param now_s: current time, in seconds.
        """
        limit = self._max_ejected(len(targets))
        ejected = self._still_ejected(targets, limit, now_s)
        for target in targets:
            if len(ejected) >= limit:
                break
            is_new = target.name not in ejected
            if is_new and self._is_outlier(target.name, targets, now_s):
                self._eject(target.name, now_s)
                ejected.add(target.name)
        return tuple(each for each in targets if each.name not in ejected)

    def _add(self, target: str, now_s: float) -> _Record:
        if len(self._records) >= self._settings.max_targets:
            oldest = min(self._records, key=self._counted_s)
            self._records.pop(oldest)
        record = _Record(counted_s=now_s)
        self._records[target] = record
        return record

    def _counted_s(self, target: str) -> float:
        return self._records[target].counted_s

    def _max_ejected(self, target_count: int) -> int:
        if target_count < 2:
            return 0
        return max(1, int(target_count * self._settings.max_ejected_share))

    def _still_ejected(
        self,
        targets: Sequence[Target],
        limit: int,
        now_s: float,
    ) -> set[str]:
        ejected = [
            target.name
            for target in targets
            if self._ejected_until_s(target.name) > now_s
        ]
        return set(
            sorted(ejected, key=self._ejected_until_s, reverse=True)[:limit]
        )

    def _ejected_until_s(self, name: str) -> float:
        record = self._records.get(name)
        return record.ejected_until_s if record else 0.0

    def _is_outlier(
        self,
        name: str,
        targets: Sequence[Target],
        now_s: float,
    ) -> bool:
        own = self._decayed(name, now_s)
        if own.total < self._settings.min_results:
            return False
        own_share = own.errors / own.total
        if own_share < self._settings.min_error_share:
            return False
        peers = [
            self._decayed(peer.name, now_s)
            for peer in targets
            if peer.name != name
        ]
        return own_share >= self._settings.peer_factor * _error_share(peers)

    def _decayed(self, name: str, now_s: float) -> _Record:
        record = self._records.get(name)
        if record is None:
            return _Record(counted_s=now_s)
        record.decay(now_s, self._settings.half_life_s)
        return record

    def _eject(self, name: str, now_s: float) -> None:
        record = self._records[name]
        doublings = min(record.ejection_count, _MAX_DOUBLINGS)
        ejection_s = min(
            self._settings.ejection_s * 2**doublings,
            self._settings.max_ejection_s,
        )
        record.ejected_until_s = now_s + ejection_s
        record.ejection_count += 1
        record.clear()
        logger.info(
            'retries: target ejected target=%s for_s=%.1f',
            name,
            ejection_s,
        )


def _error_share(records: Sequence[_Record]) -> float:
    total = sum(record.total for record in records)
    if total == 0:
        return 0.0
    return sum(record.errors for record in records) / total
