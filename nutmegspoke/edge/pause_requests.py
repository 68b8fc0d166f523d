"""Records the pauses that targets ask for with their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.work import RequestContext
    from nutmegspoke.forwarded import AnswerFacts


class PauseRequests:
    """Recorder of the pauses that the answers to requests ask for."""

    def __init__(self, log: DecisionLog) -> None:
        """Create a recorder that writes to a log."""
        self._log = log

    def record(
        self, context: RequestContext, target: str, facts: AnswerFacts
    ) -> None:
        """Record the pause that an answer asks for, if it does.

        :param target: name of the target that answered.
        """
        if facts.pause_s <= 0:
            return
        self._log.decided(
            'target_asks_pause',
            request=context.facts.request_id,
            target=target,
            pause_s=facts.pause_s,
            load=facts.load,
        )
