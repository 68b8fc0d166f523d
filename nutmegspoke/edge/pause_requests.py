"""Pauses that targets ask for with their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.view import View
    from nutmegspoke.edge.work import RequestContext
    from nutmegspoke.entry_host import TargetEntry
    from nutmegspoke.forwarded import AnswerFacts


class PauseRequests:
    """Recorder of the pauses that the answers to requests ask for."""

    def __init__(self, view: View, log: DecisionLog, clock: Clock) -> None:
        """Create a recorder that writes to a view and a log."""
        self._view = view
        self._log = log
        self._clock = clock

    def record(
        self, context: RequestContext, target: str, facts: AnswerFacts
    ) -> None:
        """Record the pause that an answer asks for, if it does.

        :param target: name of the target that answered.
        """
        if facts.pause_s <= 0:
            return
        self._view.pauses.begin(target, facts.pause_s, self._clock.now_s())
        self._log.decided(
            'target_asks_pause',
            request=context.facts.request_id,
            target=target,
            pause_s=facts.pause_s,
            load=facts.load,
        )


def open_targets(view: View, pool: str, now_s: float) -> list[TargetEntry]:
    """Return the live targets of a pool that are not closed by a pause."""
    return view.pauses.filter_open(view.targets.live(pool), now_s)


def pause_left_s(view: View, pool: str, now_s: float) -> float:
    """Return the time until a target of a pool opens after its pause.

    :returns: infinity if none is closed by a pause.
    """
    names = (entry.name for entry in view.targets.live(pool))
    return view.pauses.left_s(names, now_s)
