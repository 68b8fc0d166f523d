"""Mutation tests: disable each mechanism in a scratch copy of the project.

At least one of the tests listed for a mutation must fail.
"""

from __future__ import annotations

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

from tests.mutation_list import MUTATIONS
from tests.mutation_types import Mutation

_ROOT = pathlib.Path(__file__).parents[1]
_COPIED_PATHS = ('nutmegspoke', 'tests', 'examples', 'unittest.cfg')
_TIMEOUT_S = 300
_CAUGHT = 'caught'


def check_mutation(mutation: Mutation, scratch: pathlib.Path) -> str:
    """Apply a mutation, run its tests and restore the file.

    :param scratch: root of a copy of the project.
    :returns: ``caught`` if a test failed, otherwise a text that begins with
        ``MISSED``.
    """
    path = scratch / mutation.path
    original = path.read_text('utf-8')
    if original.count(mutation.old) != 1:
        return 'MISSED, the source text does not occur exactly once'
    path.write_text(original.replace(mutation.old, mutation.new), 'utf-8')
    try:
        failed = _run_tests(mutation.tests, scratch) != 0
    finally:
        path.write_text(original, 'utf-8')
    return _CAUGHT if failed else 'MISSED'


def _run_tests(tests: tuple[str, ...], scratch: pathlib.Path) -> int:
    finished = subprocess.run(
        (sys.executable, '-m', 'unittest', '-f', *tests),
        cwd=scratch,
        capture_output=True,
        timeout=_TIMEOUT_S,
        env={**os.environ, 'PYTHONPATH': str(scratch)},
    )
    return finished.returncode


def main(names: list[str]) -> int:
    """Check the named mutations, or all of them if no name is given.

    :returns: the exit code: 1 if a mutation was missed, otherwise 0.
    """
    missed = 0
    mutations = [m for m in MUTATIONS if not names or m.name in names]
    with tempfile.TemporaryDirectory(prefix='nutmegspoke-') as directory:
        scratch = pathlib.Path(directory)
        for copied_path in _COPIED_PATHS:
            source = _ROOT / copied_path
            if source.is_dir():
                shutil.copytree(source, scratch / copied_path)
            else:
                shutil.copy(source, scratch / copied_path)
        for mutation in mutations:
            result = check_mutation(mutation, scratch)
            missed += result != _CAUGHT
            print(f'{mutation.name}: {result}', flush=True)
    print(f'mutations: {len(mutations) - missed} caught, {missed} missed')
    return 1 if missed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
