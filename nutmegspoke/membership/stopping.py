"""States of a daemon that stops without interrupting requests."""

from __future__ import annotations

import dataclasses
import enum


class StopState(enum.StrEnum):
    """State of a stop, in the order in which a daemon passes them."""

    RUNNING = 'running'
    NOTICED = 'noticed'
    DRAINING = 'draining'
    ENDED = 'ended'


class EndReason(enum.StrEnum):
    """Why a stop ended."""

    NONE = 'none'
    IDLE = 'idle'
    SECOND_SIGNAL = 'second_signal'
    FINISH_LIMIT = 'finish_limit'


@dataclasses.dataclass(frozen=True, slots=True)
class StopSettings:
    """Times of a stop.

    :param notice_s: time for the balancer to notice that the daemon is not
        ready; new requests are still accepted.
    :param finish_limit_s: time limit after that to finish running requests.
    """

    notice_s: float
    finish_limit_s: float


@dataclasses.dataclass(slots=True)
class StopDecider:
    """State machine of a stop: running, noticed, draining, ended.

    After the first signal the daemon reports itself as not ready but still
    accepts requests, so that those that the balancer sends in the meantime are
    served. After that it only finishes running requests.

    :param settings: times of the stop.
    :param state: current state.
    :param reason: why the stop ended.
    :param cut: ids of the requests that were interrupted by the end.
    """

    settings: StopSettings
    state: StopState = StopState.RUNNING
    reason: EndReason = EndReason.NONE
    cut: tuple[str, ...] = ()
    _signalled_s: float = 0.0

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer should send requests to this daemon."""
        return self.state == StopState.RUNNING

    @property
    def is_accepting(self) -> bool:
        """Return whether new requests are accepted."""
        return self.state in {StopState.RUNNING, StopState.NOTICED}

    def handle_signal(
        self, request_ids: frozenset[str], now_s: float
    ) -> StopState:
        """Start the stop; a second signal ends it at once.

        :param request_ids: ids of the running requests.
        :returns: the new state.
        """
        if self.state == StopState.RUNNING:
            self.state = StopState.NOTICED
            self._signalled_s = now_s
        else:
            self._end(EndReason.SECOND_SIGNAL, request_ids)
        return self.state

    def advance(self, request_ids: frozenset[str], now_s: float) -> StopState:
        """Update the state from the time and the running requests.

        :param request_ids: ids of the running requests.
        :returns: the new state.
        """
        passed_s = now_s - self._signalled_s
        notice_s = self.settings.notice_s
        if self.state == StopState.NOTICED and passed_s >= notice_s:
            self.state = StopState.DRAINING
        if self.state != StopState.DRAINING:
            return self.state
        if not request_ids:
            self._end(EndReason.IDLE, request_ids)
        elif passed_s >= notice_s + self.settings.finish_limit_s:
            self._end(EndReason.FINISH_LIMIT, request_ids)
        return self.state

    def _end(self, reason: EndReason, request_ids: frozenset[str]) -> None:
        if self.state == StopState.ENDED:
            return
        self.state = StopState.ENDED
        self.reason = reason
        self.cut = tuple(sorted(request_ids))
