"""Leaves targets out for a while after they failed."""

from __future__ import annotations

import dataclasses
import enum
from types import MappingProxyType


class Fault(enum.StrEnum):
    """What a target did wrong."""

    UNREACHABLE = 'unreachable'
    BROKE_OFF = 'broke_off'
    NAMED_AT_FAULT = 'named_at_fault'
    FULL = 'full'
    OTHER_TARGET = 'other_target'
    SILENT = 'silent'
    SPOILT = 'spoilt'
    ENDED = 'ended'
    ERROR = 'error'


# Seconds for which a target is left out at first. One that is gone for good
# leaves the list after three missed heartbeats, as does one that has ended; a
# full one has room again when an answer ends.
_FIRST_S = MappingProxyType(
    {
        Fault.UNREACHABLE: 1.0,
        Fault.BROKE_OFF: 0.5,
        Fault.NAMED_AT_FAULT: 1.5,
        Fault.FULL: 0.15,
        Fault.OTHER_TARGET: 3.0,
        Fault.SILENT: 1.5,
        Fault.SPOILT: 0.0,
        Fault.ENDED: 4.0,
        Fault.ERROR: 0.0,
    }
)
# Faults in a row that count: each doubles the time.
_MAX_DOUBLINGS = 2
# Entries of targets that crashed stay listed for some seconds.
_LATELY_S = 5.0
# A target without a fault for so long starts anew.
_CALM_S = 10.0


@dataclasses.dataclass(slots=True)
class _Record:
    until_s: float = 0.0
    own_until_s: float = 0.0
    in_a_row: int = 0
    last_s: float = 0.0


class TargetFaults:
    """Targets that are left out now."""

    def __init__(self) -> None:
        """Start without faults."""
        self._records: dict[str, _Record] = {}

    def failed(self, target: str, fault: Fault, now_s: float) -> float:
        """Take a fault of a target.

        :returns: seconds for which it is left out.
        """
        record = self._records.setdefault(target, _Record())
        if now_s - record.last_s > _CALM_S:
            record.in_a_row = 0
        left_out_s = _FIRST_S[fault] * 2**record.in_a_row
        if fault != Fault.FULL and now_s >= record.until_s:
            record.in_a_row = min(_MAX_DOUBLINGS, record.in_a_row + 1)
        record.last_s = now_s
        record.own_until_s = max(record.own_until_s, now_s + left_out_s)
        record.until_s = max(record.until_s, record.own_until_s)
        return left_out_s

    def add_peer_fault(self, target: str, left_s: float, now_s: float) -> None:
        """Take another daemon's word that a target is to be left out."""
        record = self._records.setdefault(target, _Record())
        record.until_s = max(record.until_s, now_s + left_s)

    def succeeded(self, target: str, now_s: float) -> None:
        """Take an answer of a target."""
        record = self._records.get(target)
        if record is not None and now_s >= record.until_s:
            self._records.pop(target)

    def failed_recently(self, target: str, now_s: float) -> bool:
        """Tell whether a target failed here or elsewhere in the last seconds."""
        record = self._records.get(target)
        if record is None:
            return False
        return now_s - max(record.last_s, record.until_s) < _LATELY_S

    def is_left_out(self, target: str, now_s: float) -> bool:
        """Tell whether a target is left out now."""
        record = self._records.get(target)
        return record is not None and now_s < record.until_s

    def own_faults(self, now_s: float) -> dict[str, float]:
        """Return the targets that failed here, with the seconds left."""
        return {
            target: record.own_until_s - now_s
            for target, record in self._records.items()
            if now_s < record.own_until_s
        }
