"""Runs the proofs of the promises and prints a line for each."""

from __future__ import annotations

import dataclasses
import io
import sys
import unittest

from tests.known_red import read_known_red
from tests.proofs import PROOFS
from tests.scenarios.language import all_scenarios

_SCENARIOS = 'tests.scenarios.test_scenarios.ScenariosTest'


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """The result of one proof.

    :param name: what is proved.
    :param cases: number of tests that passed.
    :param failures: ids of those that failed and are not listed as red.
    :param known_red: ids of those that failed and are listed.
    """

    name: str
    cases: int
    failures: tuple[str, ...]
    known_red: tuple[str, ...]

    def line(self) -> str:
        """Return the line that is printed."""
        red = ''.join(f', known red: {name}' for name in self.known_red)
        if self.failures:
            return f'{self.name}: FAILED {", ".join(self.failures)}{red}'
        return f'{self.name}: {self.cases} cases passed{red}'


def test_names(proof: str) -> list[str]:
    """Return the names of the tests of a proof."""
    scenarios = [
        f'{_SCENARIOS}.test_{scenario.name}'
        for scenario in all_scenarios()
        if scenario.proves == proof
    ]
    return [*PROOFS.get(proof, ()), *scenarios]


def prove(proof: str) -> Verdict:
    """Run the tests of a proof."""
    suite = unittest.defaultTestLoader.loadTestsFromNames(test_names(proof))
    runner = unittest.TextTestRunner(stream=io.StringIO())
    result = runner.run(suite)
    bad = [case.id() for case, _ in (*result.failures, *result.errors)]
    known = read_known_red()
    return Verdict(
        proof.replace('-', ' '),
        result.testsRun - len(bad),
        tuple(name for name in bad if name not in known),
        tuple(name for name in bad if name in known),
    )


def main(chosen: list[str]) -> int:
    """Run the chosen proofs, or all; 1 if any failed."""
    failed = 0
    for proof in chosen or list(PROOFS):
        verdict = prove(proof)
        print(verdict.line(), flush=True)
        failed += bool(verdict.failures) or not (
            verdict.cases or verdict.known_red
        )
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
