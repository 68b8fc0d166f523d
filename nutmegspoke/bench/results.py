"""Results of measurements and the targets they must meet."""

from __future__ import annotations

import enum

import msgspec


class Bound(enum.StrEnum):
    """Whether the target is a lower or an upper bound of the figure."""

    AT_LEAST = 'at_least'
    AT_MOST = 'at_most'


class Result(msgspec.Struct):
    """A measured figure and its target.

    :param name: name of the figure, with its unit as a suffix.
    :param target: required value; ``None`` if there is no target.
    :param bound: whether the target is a lower or an upper bound.
    :param figure: measured value.
    :param is_met: whether the target is met; ``None`` without a target.
    """

    name: str
    figure: float
    target: float | None = None
    bound: Bound | None = None
    is_met: bool | None = None

    @classmethod
    def at_most(cls, name: str, figure: float, target: float) -> Result:
        """Return a result whose target is an upper bound."""
        return cls(name, figure, target, Bound.AT_MOST, figure <= target)

    @classmethod
    def at_least(cls, name: str, figure: float, target: float) -> Result:
        """Return a result whose target is a lower bound."""
        return cls(name, figure, target, Bound.AT_LEAST, figure >= target)

    def format_line(self) -> str:
        """Return the result as a human-readable line."""
        if self.target is None or self.bound is None:
            return f'{self.name}: {self.figure:.6g}'
        verdict = 'met' if self.is_met else 'MISSED'
        bound_text = self.bound.replace('_', ' ')
        return (
            f'{self.name}: {self.figure:.6g} '
            f'({bound_text} {self.target:g}: {verdict})'
        )


class Section(msgspec.Struct):
    """Results of one measurement.

    :param name: name of the measurement.
    :param results: measured figures with their targets.
    :param details: further figures of the measurement.
    """

    name: str
    results: list[Result]
    details: dict[str, object] = {}
