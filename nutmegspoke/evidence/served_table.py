"""Tables of who was served, late, refused or failed, from daemons' logs.

Requests are counted by the second in which they ended and by class: route
with its priority, team, availability zone of the entry host, and size.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

# An answer token costs engines about as much as this many prompt tokens.
_ANSWER_TOKEN_WEIGHT = 10
_LARGEST_SHARE = 0.1
_LARGE_SHARE = 0.3
_REFUSED_STATUSES = frozenset((408, 421, 429, 503))


class Grouping(enum.StrEnum):
    """What requests are counted by."""

    SECOND = 'second'
    ROUTE = 'route'
    TEAM = 'team'
    ZONE = 'zone'
    SIZE = 'size'
    REASON = 'reason'


@dataclasses.dataclass(slots=True)
class Outcomes:
    """Numbers of ended requests by outcome.

    :param on_time: answered within the goals of their route.
    :param late: answered later, or with a longer pause.
    :param refused: refused with the promise that they have not run.
    :param failed: answered with another failure, or cut.
    :param left: those whose caller left first.
    """

    on_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    left: int = 0

    @property
    def total(self) -> int:
        """Return the number of requests."""
        return self.on_time + self.late + self.refused + self.failed + self.left

    def count(self, ended: Mapping[str, object]) -> None:
        """Count a request.

        :param ended: fields of its ``request_ended`` line.
        """
        if ended.get('outcome') == 'answered':
            self.late += bool(ended.get('is_late'))
            self.on_time += not ended.get('is_late')
        elif ended.get('outcome') == 'caller_left':
            self.left += 1
        elif ended.get('status') in _REFUSED_STATUSES:
            self.refused += 1
        else:
            self.failed += 1


ServedTable = dict[Grouping, dict[str, Outcomes]]


def read_lines(lines: Iterable[str]) -> Iterator[dict[str, object]]:
    """Yield the JSON objects in lines of logs; other text is skipped.

    :param lines: lines, each with a JSON object behind any other text.
    """
    for line in lines:
        _, brace, text = line.partition('{')
        if not brace:
            continue
        try:
            decoded = json.loads(brace + text)
        except ValueError:
            continue
        if isinstance(decoded, dict):
            yield decoded


def build_table(entries: Iterable[Mapping[str, object]]) -> ServedTable:
    """Return the outcomes of requests by class, for each grouping.

    :param entries: log lines of any number of daemons, in any order.
    """
    zones: dict[object, str] = {}
    ended: list[Mapping[str, object]] = []
    for entry in entries:
        if entry.get('event') == 'started':
            zones[entry.get('host')] = str(entry.get('zone'))
        elif entry.get('event') == 'request_ended' and 'route' in entry:
            ended.append(entry)
    size_limits = _find_size_limits(ended)
    table: ServedTable = {
        grouping: collections.defaultdict(Outcomes) for grouping in Grouping
    }
    for entry in ended:
        classes = _classify(entry, zones, size_limits)
        for grouping, name in classes.items():
            table[grouping][name].count(entry)
    return table


def format_table(table: ServedTable) -> list[str]:
    """Return the lines of a table for a terminal."""
    lines = []
    for grouping, by_class in table.items():
        lines.append(
            f'{grouping:<34}  total on_time  late refused failed  left'
        )
        lines.extend(
            f'{name[:34]:<34}{each.total:7d}{each.on_time:8d}{each.late:6d}'
            f'{each.refused:8d}{each.failed:7d}{each.left:6d}'
            for name, each in sorted(by_class.items())
        )
        lines.append('')
    return lines


def _classify(
    entry: Mapping[str, object],
    zones: Mapping[object, str],
    size_limits: Mapping[object, tuple[float, float]],
) -> dict[Grouping, str]:
    """Return the name of a request's class by grouping."""
    route = str(entry.get('route'))
    priority = entry.get('priority') or ()
    ranks = '.'.join(map(str, priority)) if isinstance(priority, list) else ''
    classes = {
        Grouping.SECOND: f'{int(float(str(entry.get("time_s", 0)))):d}',
        Grouping.ROUTE: f'{ranks} {route}'.strip(),
        Grouping.TEAM: str(entry.get('team') or '-'),
        Grouping.ZONE: zones.get(entry.get('host'), '-'),
        Grouping.SIZE: _name_size(entry, size_limits.get(entry.get('route'))),
    }
    if entry.get('outcome') != 'answered':
        outcome = entry.get('outcome')
        reason = entry.get('reason')
        classes[Grouping.REASON] = f'{route} {outcome} {reason}'
    return classes


def _name_size(
    entry: Mapping[str, object], limits: tuple[float, float] | None
) -> str:
    size = _size(entry)
    if not size or limits is None:
        return 'without size'
    if size >= limits[0]:
        return 'largest tenth'
    return 'next fifth' if size >= limits[1] else 'others'


def _size(entry: Mapping[str, object]) -> float:
    prompt = float(str(entry.get('prompt_tokens') or 0))
    answer = float(str(entry.get('max_answer_tokens') or 0))
    return prompt + _ANSWER_TOKEN_WEIGHT * answer


def _find_size_limits(
    ended: Iterable[Mapping[str, object]],
) -> dict[object, tuple[float, float]]:
    """Return the least sizes of the largest tenth and third by route."""
    sizes = collections.defaultdict(list)
    for entry in ended:
        if _size(entry):
            sizes[entry.get('route')].append(_size(entry))
    limits = {}
    for route, of_route in sizes.items():
        of_route.sort(reverse=True)
        limits[route] = (
            of_route[_last_index(len(of_route), _LARGEST_SHARE)],
            of_route[_last_index(len(of_route), _LARGE_SHARE)],
        )
    return limits


def _last_index(count: int, share: float) -> int:
    return max(0, int(count * share) - 1)
