"""Runs each scenario of this folder as a test."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from nutmegspoke.bench.deployment import Deployment
from tests.scenarios.language import Scenario, all_scenarios
from tests.scenarios.stage import Stage

if TYPE_CHECKING:
    from collections.abc import Callable


class ScenariosTest(unittest.TestCase):
    """One test for each scenario file."""


def _run(scenario: Scenario) -> Callable[[unittest.TestCase], None]:
    def test(case: unittest.TestCase) -> None:
        with Deployment() as deployment:
            stage = Stage(case, deployment)
            for command in scenario.commands:
                stage.carry_out(command)

    test.__name__ = f'test_{scenario.name}'
    test.__doc__ = f'{scenario.proves}: {scenario.name}.'
    return test


for _scenario in all_scenarios():
    setattr(ScenariosTest, f'test_{_scenario.name}', _run(_scenario))
