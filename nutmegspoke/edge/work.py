"""A request in work: what it is, how long it has, and its own answers."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nutmegspoke.edge.http_server import Answer
    from nutmegspoke.entry_host import EntryPool, EntryRoute
    from nutmegspoke.forwarded import CallerRequest, RequestFacts


# Timers fire a few milliseconds early or late.
_TIME_OVER_S = 0.01


class OwnAnswer(enum.Enum):
    """Answers of the router's own, by status."""

    BAD_REQUEST = 400
    UNKNOWN_KEY = 401
    NO_ROUTE = 404
    FAILED = 502
    NOT_RUN = 503
    TIMEOUT = 504


@dataclasses.dataclass(slots=True)
class Work:
    """A request that is being served.

    :param request: as the caller sent it.
    :param facts: what its headers say.
    :param route: its route.
    :param pool: the pool that was picked for it; ``None`` without one.
    :param team: name of the caller's team; empty without one.
    :param priority: rank among requests; lowest first.
    :param answer: where its answer goes.
    :param arrived_s: when it came.
    :param deadline_s: when its answer must be there.
    :param may_have_run: a target may have run it.
    :param sends: times that it was sent to a target.
    :param targets: names of the targets that it was sent to.
    :param lost: names of those of them that were found to be gone.
    :param avoided: names of the targets that it failed on, reached or not.
    """

    request: CallerRequest
    facts: RequestFacts
    route: EntryRoute
    pool: EntryPool | None
    team: str
    priority: tuple[int, int]
    answer: Answer
    arrived_s: float
    deadline_s: float
    may_have_run: bool = False
    sends: int = 0
    targets: list[str] = dataclasses.field(default_factory=list)
    lost: set[str] = dataclasses.field(default_factory=set)
    avoided: set[str] = dataclasses.field(default_factory=set)

    @property
    def room_key(self) -> str:
        """Return the key of the memory that is promised to it."""
        return self.facts.request_id

    def may_begin_at(self) -> frozenset[str] | None:
        """Return the targets at which it may be tried again.

        :returns: ``None`` for any; once it was sent to as many targets as its
            route allows, only to those of them that are not lost.
        """
        alive = frozenset(self.targets) - self.lost
        return alive if len(alive) >= self.route.max_targets else None

    def left_s(self, now_s: float) -> float:
        """Return the time until the answer must be there."""
        return self.deadline_s - now_s

    def is_out_of_time(self, now_s: float) -> bool:
        """Tell whether the time is over, or as good as."""
        return self.left_s(now_s) < _TIME_OVER_S

    @property
    def may_be_sent(self) -> bool:
        """Tell whether one more attempt is allowed by the route's rule."""
        if not self.sends or not self.may_have_run:
            return True
        return self.route.repeat_rule.may_repeat
