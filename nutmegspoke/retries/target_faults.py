"""Temporary exclusion of targets after a fault.

A target that is left out gets no requests until its time has passed.
"""

from __future__ import annotations

import dataclasses
import enum
from types import MappingProxyType


class Fault(enum.StrEnum):
    """Kind of a fault for which a target is left out.

    ``BROKE_OFF``: a stream ended early. ``NAMED_AT_FAULT``: the refusal of a
    draft named it, or it was the first engine of the refused chain.
    ``OTHER_TARGET``: it refused a request without a report of its load.
    ``SILENT``: a stream stalled. ``ENDED``: its liveness connection was closed
    and could not be reopened.
    """

    UNREACHABLE = 'unreachable'
    BROKE_OFF = 'broke_off'
    NAMED_AT_FAULT = 'named_at_fault'
    FULL = 'full'
    OTHER_TARGET = 'other_target'
    SILENT = 'silent'
    INVALID = 'spoilt'
    ENDED = 'ended'
    ERROR = 'error'


# Seconds for which a target is left out after its first fault. The times are
# short: a target that has ended or is gone for good is dropped from the list
# of targets after three missed heartbeats, and a full target accepts requests
# again as soon as one of its answers ends.
_BASE_LEFT_OUT_S = MappingProxyType(
    {
        Fault.UNREACHABLE: 1.0,
        Fault.BROKE_OFF: 0.5,
        Fault.NAMED_AT_FAULT: 1.5,
        Fault.FULL: 0.15,
        Fault.OTHER_TARGET: 3.0,
        Fault.SILENT: 1.5,
        Fault.INVALID: 0.0,
        Fault.ENDED: 4.0,
        Fault.ERROR: 0.0,
    }
)
# Each consecutive fault doubles the time, up to this many times.
_MAX_DOUBLINGS = 2
# A fault counts as recent for this time, because a target that has crashed
# stays in the list of targets for some seconds.
_RECENT_FAULT_S = 5.0
# Consecutive faults are counted from 0 again after this time without a fault.
_FAULT_RESET_S = 10.0


@dataclasses.dataclass(slots=True)
class _Record:
    """Faults of one target.

    ``left_out_until_s`` includes faults that peers reported,
    ``own_left_out_until_s`` only faults seen here.
    """

    left_out_until_s: float = 0.0
    own_left_out_until_s: float = 0.0
    consecutive_count: int = 0
    last_fault_s: float = 0.0


class TargetFaults:
    """Targets that are left out because of faults seen here or by peers."""

    def __init__(self) -> None:
        """Create without faults."""
        self._records: dict[str, _Record] = {}

    def record_fault(self, target: str, fault: Fault, now_s: float) -> float:
        """Record a fault of a target.

        :param target: name of the target.
        :param fault: kind of the fault.
        :param now_s: current time, in seconds.
        :returns: seconds for which the target is left out.
        """
        record = self._records.setdefault(target, _Record())
        if now_s - record.last_fault_s > _FAULT_RESET_S:
            record.consecutive_count = 0
        left_out_s = _BASE_LEFT_OUT_S[fault] * 2**record.consecutive_count
        if fault != Fault.FULL and now_s >= record.left_out_until_s:
            record.consecutive_count = min(
                _MAX_DOUBLINGS, record.consecutive_count + 1
            )
        record.last_fault_s = now_s
        record.own_left_out_until_s = max(
            record.own_left_out_until_s, now_s + left_out_s
        )
        record.left_out_until_s = max(
            record.left_out_until_s, record.own_left_out_until_s
        )
        return left_out_s

    def add_peer_fault(self, target: str, left_s: float, now_s: float) -> None:
        """Leave a target out because another daemon reported a fault."""
        record = self._records.setdefault(target, _Record())
        record.left_out_until_s = max(record.left_out_until_s, now_s + left_s)

    def succeeded(self, target: str, now_s: float) -> None:
        """Record an answer; clears the faults of a target not left out now."""
        record = self._records.get(target)
        if record is not None and now_s >= record.left_out_until_s:
            self._records.pop(target)

    def failed_recently(self, target: str, now_s: float) -> bool:
        """Return whether a target failed recently, here or at another daemon."""
        record = self._records.get(target)
        if record is None:
            return False
        return (
            now_s - max(record.last_fault_s, record.left_out_until_s)
            < _RECENT_FAULT_S
        )

    def is_left_out(self, target: str, now_s: float) -> bool:
        """Return whether a target is left out now."""
        record = self._records.get(target)
        return record is not None and now_s < record.left_out_until_s

    def own_faults(self, now_s: float) -> dict[str, float]:
        """Return the remaining seconds of targets left out for faults seen here.

        Faults that peers reported are not included: if daemons passed them
        on, a target would be left out forever.
        """
        return {
            target: record.own_left_out_until_s - now_s
            for target, record in self._records.items()
            if now_s < record.own_left_out_until_s
        }
