"""Results of measurements against their targets."""

from __future__ import annotations

import enum

import msgspec


class Bound(enum.StrEnum):
    """On which side of the target a figure must be."""

    AT_LEAST = 'at_least'
    AT_MOST = 'at_most'


class Result(msgspec.Struct):
    """One figure beside its target.

    :param name: what was measured, with its unit as suffix.
    :param target: the stated target; absent if there is none.
    :param bound: on which side of the target the figure must be.
    :param figure: the figure.
    :param is_met: whether the target is met; absent if there is none.
    """

    name: str
    figure: float
    target: float | None = None
    bound: Bound | None = None
    is_met: bool | None = None

    @classmethod
    def at_most(cls, name: str, figure: float, target: float) -> Result:
        """Return a result that must not be above its target."""
        return cls(name, figure, target, Bound.AT_MOST, figure <= target)

    @classmethod
    def at_least(cls, name: str, figure: float, target: float) -> Result:
        """Return a result that must not be below its target."""
        return cls(name, figure, target, Bound.AT_LEAST, figure >= target)

    def line(self) -> str:
        """Return the result as a line for people."""
        if self.target is None or self.bound is None:
            return f'{self.name}: {self.figure:.6g}'
        verdict = 'met' if self.is_met else 'MISSED'
        wanted = self.bound.replace('_', ' ')
        return (
            f'{self.name}: {self.figure:.6g} '
            f'({wanted} {self.target:g}: {verdict})'
        )


class Section(msgspec.Struct):
    """Results of one measurement.

    :param name: name of the measurement.
    :param results: its results.
    :param details: anything else that it saw.
    """

    name: str
    results: list[Result]
    details: dict[str, object] = {}
