"""A circuit breaker for calls to one outside service."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol

_JITTER_SHARE = 0.5


class RandomSource(Protocol):
    """A seeded source of random numbers."""

    def random(self) -> float:
        """Return a number of at least 0 and below 1."""


class BreakerState(enum.StrEnum):
    """Whether calls are let through."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half_open'


@dataclasses.dataclass(frozen=True, slots=True)
class BreakerSettings:
    """How a breaker behaves.

    :param failures_to_open: failures in a row that open it.
    :param first_pause_s: pause before the first probe.
    :param longest_pause_s: bound of the pause, which doubles with each failed
        probe.
    :param max_in_flight: calls in flight at most.
    """

    failures_to_open: int = 5
    first_pause_s: float = 0.5
    longest_pause_s: float = 8.0
    max_in_flight: int = 64


class CircuitBreaker:
    """Stops calls to a service that fails, and probes whether it is back."""

    def __init__(
        self,
        settings: BreakerSettings,
        random_source: RandomSource,
    ) -> None:
        """Create a closed breaker.

        :param random_source: spreads the probes of many processes.
        """
        self._settings = settings
        self._random = random_source
        self._state = BreakerState.CLOSED
        self._failure_count = 0
        self._in_flight = 0
        self._pause_s = settings.first_pause_s
        self._probe_at_s = 0.0

    @property
    def state(self) -> BreakerState:
        """Return the state."""
        return self._state

    def refusal(self, now_s: float) -> str:
        """Ask to make a call; ``ended`` must follow if it is let through.

        :returns: empty if the call may be made, else why not.
        """
        if self._state is BreakerState.OPEN and now_s >= self._probe_at_s:
            self._state = BreakerState.HALF_OPEN
            self._in_flight += 1
            return ''
        if self._state is not BreakerState.CLOSED:
            return f'circuit {self._state.value}'
        if self._in_flight >= self._settings.max_in_flight:
            return 'too many calls in flight'
        self._in_flight += 1
        return ''

    def ended(self, now_s: float, *, is_success: bool) -> BreakerState:
        """Note the end of a call that was let through.

        :returns: the state afterwards.
        """
        self._in_flight -= 1
        if is_success:
            self._close()
        else:
            self._count_failure(now_s)
        return self._state

    def abandoned(self, now_s: float) -> None:
        """Note that a call was cancelled before its end was known."""
        self._in_flight -= 1
        if self._state is BreakerState.HALF_OPEN:
            self._open(now_s)

    def _close(self) -> None:
        self._state = BreakerState.CLOSED
        self._failure_count = 0
        self._pause_s = self._settings.first_pause_s

    def _count_failure(self, now_s: float) -> None:
        self._failure_count += 1
        if self._state is BreakerState.HALF_OPEN:
            self._pause_s = min(
                2 * self._pause_s,
                self._settings.longest_pause_s,
            )
            self._open(now_s)
        elif self._failure_count >= self._settings.failures_to_open:
            self._open(now_s)

    def _open(self, now_s: float) -> None:
        jitter = 1 + _JITTER_SHARE * (2 * self._random.random() - 1)
        self._state = BreakerState.OPEN
        self._probe_at_s = now_s + self._pause_s * jitter
