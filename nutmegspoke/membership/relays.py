"""Select the relays through which daemons of a large deployment hear each other.

Daemons are divided into groups, each within one availability zone. The members
of a group send their updates to its relays, which send each member a summary of
all daemons, and the relays of the other groups a summary of their own group.

Every daemon selects relays by itself, as those first in rank that answer it. A
relay serves all that send it updates, so no agreement is necessary: if two
daemons select different relays, more updates than necessary are sent.
"""

from __future__ import annotations

import dataclasses
import math
import zlib
from typing import TYPE_CHECKING

from nutmegspoke.membership.common_work import rank_key

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

# With fewer daemons, each sends its updates to all others: with hardly more
# datagrams, they are more recent.
RELAYED_FROM = 32
# Members of a group, at most on average. A relay sends a summary to each.
_GROUP_SIZE = 48
# Relays of a group; one of them may be lost at any time.
RELAY_COUNT = 2
# Relays selected while none of a group answers, as many may have been lost.
_SEARCH_COUNT = 6
# Interval between two summaries of a relay.
SUMMARY_INTERVAL_S = 0.5
# Time after which a relay that sends no summary is replaced. Two summaries may
# be lost. It is shorter than ``load_news.SILENCE_LIMIT_S`` by more than the
# interval of summaries, so that those of its successor arrive in time.
_ANSWER_TIMEOUT_S = 1.2
# Time after which a relay that did not answer is tried again.
_RETRY_S = 3.0
# A relay that was not selected for this time is given a new timeout.
_SELECTION_GAP_S = 1.0


@dataclasses.dataclass(slots=True)
class _Contact:
    """Answers of a relay.

    :ivar asked_s: since when it has been selected without interruption.
    :ivar selected_s: when it was last selected.
    :ivar heard_s: when its last summary arrived.
    :ivar ignored_until_s: end of the time in which it is not selected.
    """

    asked_s: float = float('-inf')
    selected_s: float = float('-inf')
    heard_s: float = float('-inf')
    ignored_until_s: float = float('-inf')


class Relays:
    """Groups of daemons, and the relays that this daemon selects.

    :param own_host: name of the host of this daemon.
    :param own_zone: its availability zone.
    :ivar group: name of its group.
    """

    def __init__(self, own_host: str, own_zone: str) -> None:
        """Start without other daemons."""
        self._own_host = own_host
        self._own_zone = own_zone
        self._zones: dict[str, str] = {}
        self._members: dict[str, list[str]] = {}
        self._contacts: dict[str, _Contact] = {}
        self.group = ''
        self.replace_hosts({})

    def count_hosts(self) -> int:
        """Return the number of other hosts that are known, heard or not."""
        return len(self._zones)

    @property
    def is_relayed(self) -> bool:
        """Return whether there are enough daemons to use relays."""
        return len(self._zones) >= RELAYED_FROM

    def replace_hosts(self, zones: Mapping[str, str]) -> None:
        """Replace the known daemons.

        :param zones: availability zone of the other daemons, by host name.
        """
        if zones == self._zones and self.group:
            return
        self._zones = dict(zones)
        groups = _divide({**zones, self._own_host: self._own_zone})
        self._members = {}
        for host in sorted(groups, key=rank_key):
            self._members.setdefault(groups[host], []).append(host)
        self.group = groups[self._own_host]
        self._contacts = {
            host: contact
            for host, contact in self._contacts.items()
            if host in zones
        }

    def record_summary(self, host: str, now_s: float) -> None:
        """Record that a summary of a relay has arrived."""
        if host in self._zones:
            contact = self._contacts.setdefault(host, _Contact())
            contact.heard_s = now_s
            contact.ignored_until_s = float('-inf')

    def is_relay(self, now_s: float) -> bool:
        """Return whether this daemon is a relay of its group."""
        return self._own_host in self._select(self.group, now_s)

    def update_receivers(self, now_s: float) -> tuple[str, ...]:
        """Return the hosts to which this daemon sends its updates.

        With few daemons these are all others, otherwise its relays.
        """
        if not self.is_relayed:
            return tuple(self._zones)
        selected = self._select(self.group, now_s)
        return tuple(host for host in selected if host != self._own_host)

    def relays_elsewhere(self, now_s: float) -> tuple[str, ...]:
        """Return the relays of all other groups.

        Those that send summaries are included, whether or not this daemon
        would select them: their members rely on them.
        """
        hosts: dict[str, None] = {}
        for group, members in self._members.items():
            if group == self.group:
                continue
            hosts.update(dict.fromkeys(self._select(group, now_s)))
            for host in members:
                if self._is_active(host, now_s):
                    hosts[host] = None
        return tuple(hosts)

    def _select(self, group: str, now_s: float) -> Sequence[str]:
        """Return the first members in rank that answer, or may do so."""
        wanted = RELAY_COUNT if self._is_heard(group, now_s) else _SEARCH_COUNT
        selected: list[str] = []
        for host in self._members[group]:
            if host == self._own_host or self._may_answer(host, now_s):
                selected.append(host)
            if len(selected) == wanted:
                break
        for host in selected:
            contact = self._contacts.get(host)
            if contact is not None:
                contact.selected_s = now_s
        return selected

    def _is_heard(self, group: str, now_s: float) -> bool:
        """Return whether a relay of a group answers, or none was asked yet."""
        members = self._members[group]
        if self._own_host in members[:RELAY_COUNT]:
            return True
        contacts = [
            self._contacts[host] for host in members if host in self._contacts
        ]
        if all(contact.asked_s == float('-inf') for contact in contacts):
            return True
        asked_s = min(
            contact.asked_s
            for contact in contacts
            if contact.asked_s > float('-inf')
        )
        last_s = max(contact.heard_s for contact in contacts)
        return now_s - max(asked_s, last_s) <= _ANSWER_TIMEOUT_S

    def _is_active(self, host: str, now_s: float) -> bool:
        """Return whether a daemon has sent a summary lately."""
        contact = self._contacts.get(host)
        if contact is None:
            return False
        return now_s - contact.heard_s <= _ANSWER_TIMEOUT_S

    def _may_answer(self, host: str, now_s: float) -> bool:
        contact = self._contacts.setdefault(host, _Contact())
        if now_s < contact.ignored_until_s:
            return False
        if now_s - contact.selected_s > _SELECTION_GAP_S:
            contact.asked_s = now_s
        last_s = max(contact.asked_s, contact.heard_s)
        if now_s - last_s > _ANSWER_TIMEOUT_S:
            contact.ignored_until_s = now_s + _RETRY_S
            return False
        return True


def _divide(zones: Mapping[str, str]) -> dict[str, str]:
    """Return the group of each daemon.

    Daemons of a large availability zone are spread over several groups by the
    checksums of their names.

    :param zones: availability zone of each daemon, by host name.
    """
    sizes: dict[str, int] = {}
    for zone in zones.values():
        sizes[zone] = sizes.get(zone, 0) + 1
    groups: dict[str, str] = {}
    for host, zone in zones.items():
        parts = math.ceil(sizes[zone] / _GROUP_SIZE)
        groups[host] = f'{zone}/{zlib.crc32(host.encode()) // 64 % parts}'
    return groups
