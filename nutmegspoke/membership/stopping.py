"""How a daemon stops without cutting requests."""

from __future__ import annotations

import dataclasses
import enum


class StopState(enum.StrEnum):
    """How far a stop has come."""

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

    :param notice_s: time for the balancer to notice; still accepting.
    :param finish_limit_s: longest time to finish what is in work after that.
    """

    notice_s: float
    finish_limit_s: float


@dataclasses.dataclass(slots=True)
class StopDecider:
    """States of a stop: running, noticed, draining, ended.

    A daemon that was told to stop is not ready at once but still accepts, so
    that what the balancer sends meanwhile is served. Then it only finishes.

    :param settings: times of the stop.
    :param state: the present state.
    :param reason: why the stop ended.
    :param cut: ids of the requests that were cut by the end.
    """

    settings: StopSettings
    state: StopState = StopState.RUNNING
    reason: EndReason = EndReason.NONE
    cut: tuple[str, ...] = ()
    _signalled_s: float = 0.0

    @property
    def is_ready(self) -> bool:
        """Tell whether the balancer should send requests here."""
        return self.state == StopState.RUNNING

    @property
    def is_accepting(self) -> bool:
        """Tell whether new requests are served."""
        return self.state in {StopState.RUNNING, StopState.NOTICED}

    def handle_signal(
        self, request_ids: frozenset[str], now_s: float
    ) -> StopState:
        """Take a signal; the second one ends the daemon.

        :param request_ids: requests in work.
        """
        if self.state == StopState.RUNNING:
            self.state = StopState.NOTICED
            self._signalled_s = now_s
        else:
            self._end(EndReason.SECOND_SIGNAL, request_ids)
        return self.state

    def advance(self, request_ids: frozenset[str], now_s: float) -> StopState:
        """Go on to the state that the time and the work left call for.

        :param request_ids: requests in work.
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
