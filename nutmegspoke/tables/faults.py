"""Faults in a tables file, as reported to operators."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class TableFault:
    """A fault in a tables file.

    :param source: name of the file.
    :param section: title of the section; empty if the fault is outside any
        section.
    :param key: key in the section; empty if the fault concerns the whole
        section.
    :param problem: description of the fault.
    :param allowed: description of the allowed values.
    """

    source: str
    section: str
    key: str
    problem: str
    allowed: str

    def __str__(self) -> str:
        """Return the fault as one line of text."""
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
