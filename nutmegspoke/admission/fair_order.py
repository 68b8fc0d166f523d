"""Start-time fair queueing between teams."""

from __future__ import annotations

import bisect
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nutmegspoke.admission.tickets import Ticket

_BELOW_SHARE_FACTOR = 0.8
_MAX_TEAMS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Ticket in the queue.

    :param ticket: the ticket.
    :param number: sequence number of the arrival.
    :param has_precedence: whether the caller uses the slot assigned to it for a
        retry, or the request was requeued.
    """

    ticket: Ticket
    number: int
    has_precedence: bool

    @property
    def rank(self) -> tuple[bool, int, float, int]:
        """Return the sort key among the tickets of a team; lowest first."""
        ticket = self.ticket
        return (
            not self.has_precedence,
            -ticket.priority,
            ticket.deadline_s,
            self.number,
        )


@dataclasses.dataclass(slots=True)
class TeamState:
    """State of a team in a pool.

    :param name: name of the team.
    :param weight: relative share of the team under contention.
    :param max_in_flight: limit on this daemon; ``None`` for no limit.
    :param in_flight: number of running requests.
    :param start_tag: virtual time at which the next request starts.
    :param waiting: waiting entries, sorted by rank.
    """

    name: str
    weight: float = 1.0
    max_in_flight: int | None = None
    in_flight: int = 0
    start_tag: float = 0.0
    waiting: list[Entry] = dataclasses.field(default_factory=list)

    @property
    def is_limited(self) -> bool:
        """Return whether the team's limit is reached."""
        limit = self.max_in_flight
        return limit is not None and limit <= self.in_flight

    @property
    def waiting_cost(self) -> float:
        """Return the work of all waiting tickets."""
        return sum(entry.ticket.cost for entry in self.waiting)

    def cost_before(self, entry: Entry) -> float:
        """Return the work of the waiting tickets that precede an entry."""
        return sum(
            each.ticket.cost for each in self.waiting if each.rank < entry.rank
        )


class FairOrder:
    """Waiting tickets of all teams, ordered by virtual time."""

    def __init__(self) -> None:
        """Create an empty order."""
        self.teams: dict[str, TeamState] = {}
        self._virtual_time = 0.0
        self._next_number = 0

    def create_entry(self, ticket: Ticket, *, has_precedence: bool) -> Entry:
        """Create the entry of an arriving ticket, with the next number."""
        self._next_number += 1
        return Entry(ticket, self._next_number, has_precedence)

    def set_limit(self, team: str, max_in_flight: int | None) -> None:
        """Change the limit of a team; ignored if the team is unknown."""
        state = self.teams.get(team)
        if state is not None:
            state.max_in_flight = max_in_flight

    def team_of(self, ticket: Ticket) -> TeamState:
        """Return the state of a ticket's team, updated from the ticket."""
        team = self.teams.get(ticket.team)
        if team is None:
            self._remove_idle_teams()
            team = TeamState(ticket.team)
            self.teams[ticket.team] = team
        team.weight = max(ticket.weight, 1e-6)
        team.max_in_flight = ticket.max_in_flight
        return team

    def _remove_idle_teams(self) -> None:
        """Remove idle teams if there are too many.

        Callers may send any team name.
        """
        if len(self.teams) < _MAX_TEAMS:
            return
        self.teams = {
            name: team
            for name, team in self.teams.items()
            if team.waiting or team.in_flight
        }

    def push(self, entry: Entry) -> None:
        """Add a ticket to the queue of its team."""
        team = self.team_of(entry.ticket)
        if not team.waiting:
            team.start_tag = max(team.start_tag, self._virtual_time)
        bisect.insort(team.waiting, entry, key=_rank)

    def remove(self, entry: Entry) -> None:
        """Remove a waiting ticket."""
        self.teams[entry.ticket.team].waiting.remove(entry)

    def next_entry(self) -> Entry | None:
        """Return the next entry to start; ``None`` if none may start."""
        eligible = [
            team
            for team in self.teams.values()
            if team.waiting and not team.is_limited
        ]
        if not eligible:
            return None
        return min(eligible, key=_tag_and_name).waiting[0]

    def is_next(self, ticket: Ticket) -> bool:
        """Return whether an arriving ticket may start before all others."""
        return not self.team_of(ticket).is_limited and self.next_entry() is None

    def start(self, ticket: Ticket) -> None:
        """Count a ticket that starts, and charge its team for the work."""
        team = self.team_of(ticket)
        self._virtual_time = max(self._virtual_time, team.start_tag)
        team.start_tag = self._virtual_time + ticket.cost / team.weight
        team.in_flight += 1

    def release(self, ticket: Ticket) -> None:
        """Count a ticket that has ended."""
        self.teams[ticket.team].in_flight -= 1

    def undo_start(self, ticket: Ticket) -> None:
        """Undo the start of a ticket, including the charge."""
        team = self.team_of(ticket)
        team.start_tag -= ticket.cost / team.weight
        team.in_flight -= 1

    def share_of(self, team: TeamState) -> float:
        """Return a team's share of the drain rate among the waiting teams."""
        waiting = sum(
            each.weight
            for each in self.teams.values()
            if each is team or each.waiting
        )
        return team.weight / waiting

    def is_below_share(self, ticket: Ticket) -> bool:
        """Return whether a team runs clearly less than its share by weight."""
        active = [
            team
            for team in self.teams.values()
            if team.in_flight or team.waiting
        ]
        team = self.team_of(ticket)
        running = sum(each.in_flight for each in active)
        share = team.weight / sum(each.weight for each in active)
        return team.in_flight <= _BELOW_SHARE_FACTOR * share * running

    def find_evictable(self, arriving_team: TeamState) -> Entry | None:
        """Return the entry to evict from a full queue for an arriving ticket.

        This is the last entry of the team with the most waiting work relative
        to its weight.

        :param arriving_team: team of the arriving ticket.
        :returns: ``None`` if the arriving team would have as much waiting work
            relative to its weight, or if the entry has precedence.
        """
        most_waiting = max(self.teams.values(), key=_waiting_by_weight)
        limit = (arriving_team.waiting_cost + 1) / arriving_team.weight
        if (
            most_waiting is arriving_team
            or _waiting_by_weight(most_waiting) <= limit
        ):
            return None
        last = most_waiting.waiting[-1]
        return None if last.has_precedence else last


def _rank(entry: Entry) -> tuple[bool, int, float, int]:
    return entry.rank


def _tag_and_name(team: TeamState) -> tuple[float, str]:
    return team.start_tag, team.name


def _waiting_by_weight(team: TeamState) -> float:
    return team.waiting_cost / team.weight
