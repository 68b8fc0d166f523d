"""The context of a request in progress, and the router's own answers."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nutmegspoke.admission.answer_memory import HeldAnswer
    from nutmegspoke.edge.caller_answer import Answer
    from nutmegspoke.edge.event_sender import SentStream
    from nutmegspoke.entry_host import EntryPool, EntryRoute
    from nutmegspoke.forwarded import CallerRequest, RequestFacts


# Timers fire up to a few milliseconds early or late.
_TIMER_TOLERANCE_S = 0.01


class OwnAnswer(enum.Enum):
    """Answers that the router itself sends, with their HTTP status."""

    BAD_REQUEST = 400
    UNKNOWN_KEY = 401
    NO_ROUTE = 404
    FAILED = 502
    NOT_RUN = 503
    TIMEOUT = 504


@dataclasses.dataclass(slots=True)
class RequestContext:
    """A request in progress.

    :param request: request as received from the caller.
    :param facts: information parsed from its headers.
    :param route: matched route.
    :param pool: selected pool; ``None`` without one.
    :param team: name of the caller's team; empty without one.
    :param priority: priorities of team and route; the lowest goes first.
    :param answer: writer of the answer to the caller.
    :param received_s: time at which the request was received.
    :param deadline_s: deadline of the answer.
    :param fingerprint: digest of team, method, URL and body; the same when the
        caller sends the request again.
    :param held: memory that its answer takes until it is forwarded.
    :param has_target: whether a target was selected; before that, nothing of
        the request was sent.
    :param may_have_run: whether a target may have run the request.
    :param sends: number of times that it was sent to a target.
    :param targets: names of the targets to which it was sent.
    :param lost: names of targets that were found to be unreachable.
    :param avoided: names of the targets on which it failed, reached or not.
    :param stream: the part of a plain stream that the caller has received;
        ``None`` for calls, and for drafts, whose handler keeps it.
    :param is_hedged: whether a copy was sent, so that its first target is not
        given up.
    """

    request: CallerRequest
    facts: RequestFacts
    route: EntryRoute
    pool: EntryPool | None
    team: str
    priority: tuple[int, int]
    answer: Answer
    received_s: float
    deadline_s: float
    fingerprint: str
    held: HeldAnswer
    has_target: bool = False
    may_have_run: bool = False
    sends: int = 0
    targets: list[str] = dataclasses.field(default_factory=list)
    lost: set[str] = dataclasses.field(default_factory=set)
    avoided: set[str] = dataclasses.field(default_factory=set)
    stream: SentStream | None = None
    is_hedged: bool = False

    @property
    def reservation_key(self) -> str:
        """Return the key under which memory is reserved for the request."""
        return self.facts.request_id

    def allowed_targets(self) -> frozenset[str] | None:
        """Return the targets to which the request may be sent next.

        :returns: ``None`` for any target. Once the request was sent to as
            many targets as its route allows, not counting lost ones, only
            these targets.
        """
        alive = frozenset(self.targets) - self.lost
        return alive if len(alive) >= self.route.max_targets else None

    def has_usable_target(self) -> bool:
        """Return whether some target is neither avoided nor over the limit."""
        allowed = self.allowed_targets()
        return allowed is None or not allowed <= self.avoided

    def left_s(self, now_s: float) -> float:
        """Return the time until the deadline in seconds."""
        return self.deadline_s - now_s

    def is_out_of_time(self, now_s: float) -> bool:
        """Return whether the deadline has passed, within timer tolerance."""
        return self.left_s(now_s) < _TIMER_TOLERANCE_S

    @property
    def may_resend(self) -> bool:
        """Return whether the route's rule allows another attempt."""
        if not self.sends or not self.may_have_run:
            return True
        return self.route.retry_rule.may_retry
