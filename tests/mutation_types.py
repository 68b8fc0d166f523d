"""Data class of the entries in the mutation lists."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Mutation:
    """A change of source code that disables one mechanism.

    :param name: the disabled mechanism or the fault that results; selects the
        mutation on the command line.
    :param path: source file, relative to the root of the project.
    :param old: source text to replace; must occur exactly once in the file.
    :param new: replacement that disables the mechanism.
    :param tests: names of tests of which at least one must fail.
    """

    name: str
    path: str
    old: str
    new: str
    tests: tuple[str, ...]
