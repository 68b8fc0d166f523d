"""Detects messages that were received before."""

from __future__ import annotations

import collections
import dataclasses

_WINDOW = 64
_MAX_SENDERS = 4_096

SenderKey = tuple[str, int]


@dataclasses.dataclass(slots=True)
class _Window:
    highest: int = 0
    received_bits: int = 0


@dataclasses.dataclass(slots=True)
class ReplayGuard:
    """Accepts each message number of a sender once.

    Numbers may arrive out of order within a window of 64.
    """

    _windows: collections.OrderedDict[SenderKey, _Window] = dataclasses.field(
        default_factory=collections.OrderedDict,
    )

    def accept(self, sender: SenderKey, number: int) -> bool:
        """Record a number and return whether it is new.

        A number below the window is treated as not new.

        :param sender: name and start of the daemon that sent the message.
        :param number: number of the message, counted by its sender.
        """
        window = self._windows.setdefault(sender, _Window())
        self._windows.move_to_end(sender)
        while len(self._windows) > _MAX_SENDERS:
            self._windows.popitem(last=False)
        if number > window.highest:
            shift = min(number - window.highest, _WINDOW)
            window.received_bits = (
                _within_window(window.received_bits << shift) | 1
            )
            window.highest = number
            return True
        bit = 1 << (window.highest - number)
        if _within_window(bit) == 0 or window.received_bits & bit:
            return False
        window.received_bits |= bit
        return True


def _within_window(bits: int) -> int:
    return bits & ((1 << _WINDOW) - 1)
