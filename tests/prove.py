"""Run the tests that prove each promise and print one line per proof."""

from __future__ import annotations

import dataclasses
import io
import sys
import unittest

from tests.known_red import read_known_red
from tests.proofs import PROOFS
from tests.scenarios.language import read_all_scenarios

_SCENARIOS = 'tests.scenarios.test_scenarios.ScenariosTest'


@dataclasses.dataclass(frozen=True, slots=True)
class ProofResult:
    """Result of the tests of one proof.

    :param name: the proof, with spaces instead of hyphens.
    :param cases: number of tests that passed.
    :param failures: ids of failed tests that KNOWN-RED.txt does not list.
    :param known_red: ids of failed tests that KNOWN-RED.txt lists.
    """

    name: str
    cases: int
    failures: tuple[str, ...]
    known_red: tuple[str, ...]

    def format_line(self) -> str:
        """Return the line to print, without a line end."""
        red = ''.join(f', known red: {name}' for name in self.known_red)
        if self.failures:
            return f'{self.name}: FAILED {", ".join(self.failures)}{red}'
        return f'{self.name}: {self.cases} cases passed{red}'


def list_test_names(proof: str) -> list[str]:
    """Return the names of the tests and scenarios of a proof."""
    scenarios = [
        f'{_SCENARIOS}.test_{scenario.name}'
        for scenario in read_all_scenarios()
        if scenario.proves == proof
    ]
    return [*PROOFS.get(proof, ()), *scenarios]


def run_proof(proof: str) -> ProofResult:
    """Run the tests and scenarios of a proof."""
    suite = unittest.defaultTestLoader.loadTestsFromNames(
        list_test_names(proof)
    )
    runner = unittest.TextTestRunner(stream=io.StringIO())
    test_result = runner.run(suite)
    failed_ids = [
        case.id() for case, _ in (*test_result.failures, *test_result.errors)
    ]
    listed = read_known_red()
    return ProofResult(
        proof.replace('-', ' '),
        test_result.testsRun - len(failed_ids),
        tuple(name for name in failed_ids if name not in listed),
        tuple(name for name in failed_ids if name in listed),
    )


def main(names: list[str]) -> int:
    """Run the named proofs, or all of them if no name is given.

    :returns: the exit code: 1 if a proof failed or ran no test, otherwise 0.
    """
    failed = 0
    for proof in names or list(PROOFS):
        result = run_proof(proof)
        print(result.format_line(), flush=True)
        failed += bool(result.failures) or not (
            result.cases or result.known_red
        )
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
