"""Circuit breaker for calls to an external service."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol

_JITTER_SHARE = 0.5


class RandomSource(Protocol):
    """A seeded source of random numbers."""

    def random(self) -> float:
        """Return a float in the range [0, 1)."""


class BreakerState(enum.StrEnum):
    """State of a circuit breaker."""

    CLOSED = 'closed'
    OPEN = 'open'
    HALF_OPEN = 'half_open'


@dataclasses.dataclass(frozen=True, slots=True)
class BreakerSettings:
    """Settings of a circuit breaker.

    :param failures_to_open: consecutive failures that open the breaker.
    :param first_pause_s: seconds from opening to the first probe.
    :param longest_pause_s: largest pause in seconds; the pause doubles with
        each failed probe.
    :param max_in_flight: largest number of calls in flight.
    """

    failures_to_open: int = 5
    first_pause_s: float = 0.5
    longest_pause_s: float = 8.0
    max_in_flight: int = 64


class CircuitBreaker:
    """Rejects calls to a failing service and probes whether it has recovered.

    A probe is a single call that is permitted after a pause. If it succeeds,
    the breaker closes; if it fails, the pause doubles.
    """

    def __init__(
        self,
        settings: BreakerSettings,
        random_source: RandomSource,
    ) -> None:
        """Create a closed breaker.

        :param settings: settings of the breaker.
        :param random_source: source of jitter, which keeps processes from
            probing at the same time.
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
        """Return the current state."""
        return self._state

    def refusal_reason(self, now_s: float) -> str:
        """Request permission for a call and return the reason of a refusal.

        After a permitted call, the caller must call :meth:`record_result` or
        :meth:`abandoned` exactly once.

        :param now_s: current time, in seconds.
        :returns: empty if the call is permitted, else the reason.
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

    def record_result(self, now_s: float, *, is_success: bool) -> BreakerState:
        """Record the result of a permitted call.

        :param now_s: current time, in seconds.
        :param is_success: whether the call succeeded.
        :returns: the new state.
        """
        self._in_flight -= 1
        if is_success:
            self._close()
        else:
            self._count_failure(now_s)
        return self._state

    def abandoned(self, now_s: float) -> None:
        """Record that a permitted call was cancelled before its result.

        A cancelled probe opens the breaker again, so that another probe
        follows after the pause.
        """
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
