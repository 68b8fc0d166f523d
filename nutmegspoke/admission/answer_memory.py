"""Divides the memory for answers that are held until they are complete.

An answer may take half of the memory that is left. So many answers without end
stop each other early, and the memory that this leaves is for the others.
"""

from __future__ import annotations

# Share of the memory of the process.
_MEMORY_SHARE = 0.3
# Memory of the process without any request.
_PROCESS_BYTES = 60_000_000
# Share of the rest for answers and requests. Parts that are joined and bytes
# that are sent take as much again, and so do small pieces of freed memory.
_SHARED_SHARE = 0.5
# Least share of the whole memory for answers and requests.
_LEAST_SHARE = 0.15
# Share of the memory left that one answer may hold; joining its parts takes as
# much again.
_LEFT_SHARE = 0.5
# Answers up to this size are held in any case.
_SMALL_BYTES = 16_384
# Larger answers are not held, however much memory is left.
MAX_ANSWER_BYTES = 8_388_608


def shared_bytes(memory_bytes: int) -> int:
    """Return the memory for answers and for requests of callers together.

    :param memory_bytes: memory limit of the process.
    """
    by_rest = (memory_bytes - _PROCESS_BYTES) * _SHARED_SHARE
    return int(max(by_rest, memory_bytes * _LEAST_SHARE))


class AnswerMemory:
    """Memory for held answers of all requests of a process.

    :param limit_bytes: memory that they may take together.
    :ivar held_bytes: memory that they take now.
    :ivar refused_count: number of answers that were too long so far.
    """

    def __init__(self, limit_bytes: int) -> None:
        """Start without answers."""
        self._limit_bytes = limit_bytes
        self.held_bytes = 0
        self.refused_count = 0

    @classmethod
    def from_memory_limit(cls, memory_bytes: int) -> AnswerMemory:
        """Return the memory for answers of a process with a memory limit."""
        memory = cls(0)
        memory.set_memory_limit(memory_bytes)
        return memory

    def set_memory_limit(self, memory_bytes: int) -> None:
        """Change the memory limit of the process."""
        self._limit_bytes = min(
            int(memory_bytes * _MEMORY_SHARE), shared_bytes(memory_bytes)
        )

    def longest_bytes(self) -> float:
        """Return the size up to which an answer is held now."""
        left_bytes = self._limit_bytes - self.held_bytes
        longest_bytes = max(_SMALL_BYTES, left_bytes * _LEFT_SHARE)
        return min(longest_bytes, MAX_ANSWER_BYTES)


class HeldAnswer:
    """The part of the memory that the answer to one request takes.

    :param memory: memory for all answers.
    """

    def __init__(self, memory: AnswerMemory) -> None:
        """Start without bytes."""
        self._memory = memory
        self._bytes = 0

    def another(self) -> HeldAnswer:
        """Return what another answer takes of the same memory; nothing yet."""
        return HeldAnswer(self._memory)

    def add(self, count: int) -> bool:
        """Add received bytes.

        :returns: ``False`` if the answer is too long to be held.
        """
        self._bytes += count
        self._memory.held_bytes += count
        if self._bytes <= self._memory.longest_bytes():
            return True
        self._memory.refused_count += 1
        return False

    def release(self) -> None:
        """Give all memory back, before another answer or at the end."""
        self._memory.held_bytes -= self._bytes
        self._bytes = 0
