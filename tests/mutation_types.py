"""The type of a mutation."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Mutation:
    """A change of one line that takes a mechanism out.

    :param name: what is taken out.
    :param path: file of the line.
    :param old: the line as it is.
    :param new: the line without the mechanism.
    :param tests: tests of which at least one must fail.
    """

    name: str
    path: str
    old: str
    new: str
    tests: tuple[str, ...]
