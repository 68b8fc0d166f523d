"""Bounds the memory that requests of all callers take together.

Requests that have not begun to run can be refused, as nothing of them ran.
When the memory is used up, the one that holds most and makes least progress is
refused first. Small requests are never refused for it: the limit on connections
bounds what they take.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.admission.answer_memory import shared_bytes

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.admission.answer_memory import AnswerMemory

# Requests up to this size are held in any case.
SMALL_BYTES = 32_768
# Added to the time without progress, so that the size counts at any time.
_LEAST_QUIET_S = 0.1
# Share of the memory for answers and requests that callers have in any case.
_LEAST_SHARE = 0.5


class CallerMemory:
    """Memory that the requests of all callers take together.

    Callers get what answers of targets leave of the memory that both share, and
    a part of it in any case.

    :param answers: memory for answers of targets.
    :param memory_bytes: memory limit of the process.
    :ivar held_bytes: memory that requests take now.
    :ivar running_bytes: the part of it for requests that run.
    :ivar shed_count: number of connections whose requests were refused or whose
        answers were given up so far.
    """

    def __init__(self, answers: AnswerMemory, memory_bytes: int) -> None:
        """Start without requests."""
        self._answers = answers
        self.held_bytes = 0
        self.running_bytes = 0
        self.shed_count = 0
        self._large: set[CallerAccount] = set()
        self.set_memory_limit(memory_bytes)

    def set_memory_limit(self, memory_bytes: int) -> None:
        """Change the memory limit of the process."""
        self._shared_bytes = shared_bytes(memory_bytes)

    @property
    def limit_bytes(self) -> int:
        """Return the memory that requests may take now."""
        left_bytes = self._shared_bytes - self._answers.held_bytes
        return max(left_bytes, int(self._shared_bytes * _LEAST_SHARE))

    def shed_excess(self, now_s: float, added_bytes: int = 0) -> None:
        """Refuse requests that wait until the others are within the limit.

        :param added_bytes: memory that is needed beside.
        """
        limit_bytes = self.limit_bytes - added_bytes
        while self.held_bytes > limit_bytes and self._large:
            account = self._most_burdening(now_s)
            self._large.discard(account)
            self.shed_count += 1
            account.shed()

    def make_room(self, added_bytes: int, now_s: float) -> bool:
        """Return whether a request that takes more bytes may run.

        A small one may in any case, and any one if no other runs.
        """
        if added_bytes <= SMALL_BYTES:
            return True
        self.shed_excess(now_s, added_bytes)
        if not self.running_bytes:
            return True
        return self.held_bytes + added_bytes <= self.limit_bytes

    def _most_burdening(self, now_s: float) -> CallerAccount:
        return max(self._large, key=lambda account: account.burden(now_s))

    def note_size(self, account: CallerAccount) -> None:
        """Note that what an account could give back has grown or shrunk."""
        if account.shed_bytes > SMALL_BYTES:
            self._large.add(account)
        else:
            self._large.discard(account)


class CallerAccount:
    """The part of the memory that one connection of a caller takes.

    :param memory: memory of all callers.
    :param shed: gives back what waits or is not read.
    :param now_s: current time in seconds.
    :ivar waiting_bytes: memory of requests that have not begun to run.
    :ivar running_bytes: memory of the request that runs.
    :ivar unread_bytes: memory of an answer that the caller does not read.
    """

    def __init__(
        self, memory: CallerMemory, shed: Callable[[], None], now_s: float
    ) -> None:
        """Start without requests."""
        self._memory = memory
        self._progress_s = now_s
        self.shed = shed
        self.waiting_bytes = 0
        self.running_bytes = 0
        self.unread_bytes = 0

    @property
    def shed_bytes(self) -> int:
        """Return the memory that can be given back at once."""
        return self.waiting_bytes + self.unread_bytes

    def hold_waiting(self, count: int) -> None:
        """Set the memory of requests that have not begun to run, in bytes."""
        if count == self.waiting_bytes:
            return
        self._memory.held_bytes += count - self.waiting_bytes
        self.waiting_bytes = count
        self._memory.note_size(self)

    def hold_unread(self, count: int) -> None:
        """Set the memory of an answer that is not read, in bytes."""
        self._memory.held_bytes += count - self.unread_bytes
        self.unread_bytes = count
        self._memory.note_size(self)

    def hold_running(self, count: int) -> None:
        """Set the memory of the request that runs, in bytes."""
        added = count - self.running_bytes
        self._memory.held_bytes += added
        self._memory.running_bytes += added
        self.running_bytes = count

    def may_run(self, added_bytes: int, now_s: float) -> bool:
        """Hold the memory of a request that is about to run.

        :returns: ``False`` if there is none, in which case it must not run.
        """
        if not self._memory.make_room(added_bytes, now_s):
            self._memory.shed_count += 1
            return False
        self.hold_running(added_bytes)
        return True

    def release(self) -> None:
        """Give all memory back."""
        self.hold_waiting(0)
        self.hold_unread(0)
        self.hold_running(0)

    def progressed(self, now_s: float) -> None:
        """Note that a request or its answer has come a good deal further."""
        self._progress_s = now_s

    def burden(self, now_s: float) -> float:
        """Return what could be given back, times the time that it stalls."""
        quiet_s = max(0.0, now_s - self._progress_s)
        return self.shed_bytes * (quiet_s + _LEAST_QUIET_S)
