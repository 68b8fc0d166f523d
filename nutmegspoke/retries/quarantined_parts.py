"""Quarantines of parts of prompts, and their names in notices."""

from __future__ import annotations

import dataclasses
import logging
from typing import TYPE_CHECKING

from nutmegspoke.retries.notices import PARTS_PREFIX, QuarantineNotice

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

logger = logging.getLogger(__name__)

_SEPARATOR = ','
_MAX_DOUBLINGS = 12

# Parts of which at least one crashes targets: a prompt that contains all of
# them must not run.
PartGroup = frozenset[str]


@dataclasses.dataclass(slots=True)
class Quarantined:
    """A quarantine of a group of parts.

    :param since_s: its start.
    :param until_s: its end; in the past if it is over.
    :param count: number of quarantines so far.
    :param targets: names of the targets that crashed.
    :param is_received: whether a peer decided it, whose evidence may be unknown
        here.
    """

    since_s: float
    until_s: float
    count: int
    targets: tuple[str, ...]
    is_received: bool = False


class QuarantinedParts:
    """Quarantines by group, newest last.

    :param quarantine_s: duration of the first quarantine in seconds; each
        further one lasts twice as long.
    :param max_quarantine_s: longest duration of a quarantine in seconds.
    """

    def __init__(self, quarantine_s: float, max_quarantine_s: float) -> None:
        """Create without quarantines."""
        self._quarantine_s = quarantine_s
        self._max_quarantine_s = max_quarantine_s
        self._quarantines: dict[PartGroup, Quarantined] = {}

    def left_s(self, parts: Iterable[str], now_s: float) -> float:
        """Return how long a prompt must not run, in seconds.

        :param parts: parts of the prompt.
        :returns: 0 or less if it may run.
        """
        present = frozenset(parts)
        return max(
            (
                quarantine.until_s - now_s
                for group, quarantine in self._quarantines.items()
                if group <= present
            ),
            default=0.0,
        )

    def has_group_without(
        self, part: str, parts: Iterable[str], now_s: float
    ) -> bool:
        """Return whether some parts contain a quarantined group without one."""
        return any(
            part not in group
            and group.issubset(parts)
            and quarantine.until_s > now_s
            for group, quarantine in self._quarantines.items()
        )

    def contains(self, part: str) -> bool:
        """Return whether a part is in some group."""
        return any(part in group for group in self._quarantines)

    def add(
        self, group: PartGroup, targets: tuple[str, ...], now_s: float
    ) -> None:
        """Quarantine a group that is not quarantined now.

        :param targets: names of the targets that crashed.
        """
        known = self._quarantines.pop(group, None)
        count = 0 if known is None else known.count
        duration_s = min(
            self._quarantine_s * 2 ** min(count, _MAX_DOUBLINGS),
            self._max_quarantine_s,
        )
        self._drop_old(now_s)
        self._quarantines[group] = Quarantined(
            now_s, now_s + duration_s, count + 1, targets
        )
        logger.warning(
            'retries: parts quarantined parts=%s targets=%s for_s=%.1f',
            name_parts(group),
            targets,
            duration_s,
        )

    def prolong(
        self,
        group: PartGroup,
        targets: tuple[str, ...],
        remaining_s: float,
        now_s: float,
    ) -> None:
        """Quarantine a group for at least some time, as a peer has decided."""
        known = self._quarantines.pop(group, None)
        if known is None:
            known = Quarantined(now_s, 0.0, 1, targets, is_received=True)
            logger.warning(
                'retries: parts quarantined by a peer parts=%s targets=%s',
                name_parts(group),
                targets,
            )
        until_s = now_s + min(remaining_s, self._max_quarantine_s)
        known.until_s = max(known.until_s, until_s)
        self._quarantines[group] = known

    def remove_part(
        self, part: str, is_refuted: Callable[[Quarantined], bool]
    ) -> list[PartGroup]:
        """Remove a part from the groups whose quarantines are refuted.

        :returns: the groups that are quarantined without it now.
        """
        groups = [
            group
            for group, quarantine in self._quarantines.items()
            if part in group and is_refuted(quarantine)
        ]
        for group in groups:
            quarantine = self._quarantines.pop(group)
            if group != {part}:
                self._quarantines[group - {part}] = quarantine
        return [group - {part} for group in groups if group != {part}]

    def active(self, now_s: float) -> tuple[QuarantineNotice, ...]:
        """Return a notice of each quarantine in force, newest last."""
        return tuple(
            _new_notice(group, quarantine, now_s)
            for group, quarantine in self._quarantines.items()
            if quarantine.until_s > now_s
        )

    def notice(self, group: PartGroup, now_s: float) -> QuarantineNotice:
        """Return the notice of a group's quarantine."""
        return _new_notice(group, self._quarantines[group], now_s)

    def _drop_old(self, now_s: float) -> None:
        self._quarantines = {
            group: quarantine
            for group, quarantine in self._quarantines.items()
            if now_s - quarantine.until_s <= self._max_quarantine_s
        }


def name_parts(parts: Iterable[str]) -> str:
    """Return the name of a group of parts in notices."""
    return PARTS_PREFIX + _SEPARATOR.join(sorted(parts))


def parse_parts(name: str) -> tuple[str, ...]:
    """Return the parts that a notice names; none if it names a request."""
    if not name.startswith(PARTS_PREFIX):
        return ()
    parts = name.removeprefix(PARTS_PREFIX).split(_SEPARATOR)
    return tuple(part for part in parts if part)


def _new_notice(
    group: PartGroup, quarantine: Quarantined, now_s: float
) -> QuarantineNotice:
    targets = quarantine.targets
    return QuarantineNotice(
        name_parts(group),
        targets[-1] if targets else '',
        quarantine.until_s - now_s,
        targets,
    )
