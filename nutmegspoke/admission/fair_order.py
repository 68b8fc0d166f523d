"""Start-time fair queueing among teams."""

from __future__ import annotations

import bisect
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nutmegspoke.admission.tickets import Ticket

_CLEARLY_BELOW = 0.8
_MAX_TEAMS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A ticket that waits.

    :param ticket: the ticket.
    :param number: order of arrival.
    :param is_due: the caller came back as told.
    """

    ticket: Ticket
    number: int
    is_due: bool

    @property
    def rank(self) -> tuple[bool, int, float, int]:
        """Return the place among the tickets of a team; lowest first."""
        ticket = self.ticket
        return (
            not self.is_due,
            -ticket.priority,
            ticket.deadline_s,
            self.number,
        )


@dataclasses.dataclass(slots=True)
class TeamState:
    """What is known of a team in a pool.

    :param name: its name.
    :param weight: its share under contention.
    :param max_in_flight: its limit on this daemon; ``None`` for no limit.
    :param in_flight: its requests that run.
    :param start_tag: virtual time at which its next request starts.
    :param waiting: its entries by rank.
    """

    name: str
    weight: float = 1.0
    max_in_flight: int | None = None
    in_flight: int = 0
    start_tag: float = 0.0
    waiting: list[Entry] = dataclasses.field(default_factory=list)

    @property
    def is_limited(self) -> bool:
        """Tell whether the team's limit is reached."""
        limit = self.max_in_flight
        return limit is not None and limit <= self.in_flight

    @property
    def waiting_cost(self) -> float:
        """Return the work that waits."""
        return sum(entry.ticket.cost for entry in self.waiting)

    def cost_before(self, entry: Entry) -> float:
        """Return the work that waits with a better rank."""
        return sum(
            each.ticket.cost for each in self.waiting if each.rank < entry.rank
        )


class FairOrder:
    """Teams with their waiting tickets, in order of virtual time."""

    def __init__(self) -> None:
        """Create an order without teams."""
        self.teams: dict[str, TeamState] = {}
        self._virtual_time = 0.0
        self._next_number = 0

    def entry(self, ticket: Ticket, *, is_due: bool) -> Entry:
        """Number a ticket that arrives."""
        self._next_number += 1
        return Entry(ticket, self._next_number, is_due)

    def limit(self, team: str, max_in_flight: int | None) -> None:
        """Change the limit of a team that is known."""
        state = self.teams.get(team)
        if state is not None:
            state.max_in_flight = max_in_flight

    def team_of(self, ticket: Ticket) -> TeamState:
        """Return the state of a ticket's team, with its weight and limit."""
        team = self.teams.get(ticket.team)
        if team is None:
            self._forget_idle()
            team = TeamState(ticket.team)
            self.teams[ticket.team] = team
        team.weight = max(ticket.weight, 1e-6)
        team.max_in_flight = ticket.max_in_flight
        return team

    def _forget_idle(self) -> None:
        """Keep the number of teams bounded; callers may send any name."""
        if len(self.teams) < _MAX_TEAMS:
            return
        self.teams = {
            name: team
            for name, team in self.teams.items()
            if team.waiting or team.in_flight
        }

    def push(self, entry: Entry) -> None:
        """Let a ticket wait."""
        team = self.team_of(entry.ticket)
        if not team.waiting:
            team.start_tag = max(team.start_tag, self._virtual_time)
        bisect.insort(team.waiting, entry, key=_rank)

    def remove(self, entry: Entry) -> None:
        """Take a waiting ticket out."""
        self.teams[entry.ticket.team].waiting.remove(entry)

    def next_entry(self) -> Entry | None:
        """Return the ticket to start next; ``None`` if none may start."""
        eligible = [
            team
            for team in self.teams.values()
            if team.waiting and not team.is_limited
        ]
        if not eligible:
            return None
        return min(eligible, key=_tag_and_name).waiting[0]

    def is_next(self, ticket: Ticket) -> bool:
        """Tell whether a ticket that arrives may start before all others."""
        return not self.team_of(ticket).is_limited and self.next_entry() is None

    def start(self, ticket: Ticket) -> None:
        """Charge a team for a ticket that starts now."""
        team = self.team_of(ticket)
        self._virtual_time = max(self._virtual_time, team.start_tag)
        team.start_tag = self._virtual_time + ticket.cost / team.weight
        team.in_flight += 1

    def release(self, ticket: Ticket) -> None:
        """Note that a started ticket no longer runs."""
        self.teams[ticket.team].in_flight -= 1

    def give_back(self, ticket: Ticket) -> None:
        """Undo the charge of a ticket that could not start after all."""
        team = self.team_of(ticket)
        team.start_tag -= ticket.cost / team.weight
        team.in_flight -= 1

    def share_of(self, team: TeamState) -> float:
        """Return a team's share of the drain rate among those that wait."""
        waiting = sum(
            each.weight
            for each in self.teams.values()
            if each is team or each.waiting
        )
        return team.weight / waiting

    def is_below_share(self, ticket: Ticket) -> bool:
        """Tell whether a team runs clearly less than its weight allows."""
        active = [
            team
            for team in self.teams.values()
            if team.in_flight or team.waiting
        ]
        team = self.team_of(ticket)
        running = sum(each.in_flight for each in active)
        share = team.weight / sum(each.weight for each in active)
        return team.in_flight <= _CLEARLY_BELOW * share * running

    def worst_excess(self, newcomer: TeamState) -> Entry | None:
        """Return the ticket to put out of a full queue for a newcomer's.

        It is the last one of the team whose waiting work is highest for its
        weight, if that is more than the newcomer's would be.
        """
        longest = max(self.teams.values(), key=_waiting_by_weight)
        limit = (newcomer.waiting_cost + 1) / newcomer.weight
        if longest is newcomer or _waiting_by_weight(longest) <= limit:
            return None
        last = longest.waiting[-1]
        return None if last.is_due else last


def _rank(entry: Entry) -> tuple[bool, int, float, int]:
    return entry.rank


def _tag_and_name(team: TeamState) -> tuple[float, str]:
    return team.start_tag, team.name


def _waiting_by_weight(team: TeamState) -> float:
    return team.waiting_cost / team.weight
