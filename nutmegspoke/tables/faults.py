"""Faults of tables, for operators."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class TableFault:
    """Something wrong in a tables file.

    :param source: name of the file.
    :param section: title of the section; empty if outside of any.
    :param key: key in the section; empty if the section itself is wrong.
    :param problem: what is wrong.
    :param allowed: what is allowed instead.
    """

    source: str
    section: str
    key: str
    problem: str
    allowed: str

    def __str__(self) -> str:
        """Return the fault as one sentence."""
        section = f' [{self.section}]' if self.section else ''
        key = f' {self.key}' if self.key else ''
        return (
            f'{self.source}:{section}{key} {self.problem}; '
            f'allowed: {self.allowed}'
        )


@dataclasses.dataclass(frozen=True, slots=True)
class TableFaults:
    """All faults of a tables file.

    :param faults: the faults in the order of the file.
    """

    faults: tuple[TableFault, ...]
