"""Run each scenario of this folder as a test."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from nutmegspoke.bench.deployment import Deployment
from tests.scenarios.language import Scenario, read_all_scenarios
from tests.scenarios.stage import ScenarioRunner

if TYPE_CHECKING:
    from collections.abc import Callable


class ScenariosTest(unittest.TestCase):
    """One test per scenario file, added when the module is loaded."""


def _build_test(scenario: Scenario) -> Callable[[unittest.TestCase], None]:
    def test(case: unittest.TestCase) -> None:
        with Deployment() as deployment:
            runner = ScenarioRunner(case, deployment)
            for command in scenario.commands:
                runner.run_command(command)

    test.__name__ = f'test_{scenario.name}'
    test.__doc__ = f'{scenario.proves}: {scenario.name}.'
    return test


for _scenario in read_all_scenarios():
    setattr(ScenariosTest, f'test_{_scenario.name}', _build_test(_scenario))
