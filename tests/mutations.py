"""Takes each mechanism out on a scratch copy and checks that a proof fails."""

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
_COPIED = ('nutmegspoke', 'tests', 'examples', 'unittest.cfg')
_LIMIT_S = 300
_CAUGHT = 'caught'


def judge(mutation: Mutation, scratch: pathlib.Path) -> str:
    """Apply a mutation, run its tests and put the line back.

    :param scratch: a copy of the project.
    :returns: ``caught``, or what is wrong.
    """
    path = scratch / mutation.path
    original = path.read_text('utf-8')
    if original.count(mutation.old) != 1:
        return 'MISSED, the line is not there once'
    path.write_text(original.replace(mutation.old, mutation.new), 'utf-8')
    try:
        failed = _run(mutation.tests, scratch) != 0
    finally:
        path.write_text(original, 'utf-8')
    return _CAUGHT if failed else 'MISSED'


def _run(tests: tuple[str, ...], scratch: pathlib.Path) -> int:
    finished = subprocess.run(
        (sys.executable, '-m', 'unittest', '-f', *tests),
        cwd=scratch,
        capture_output=True,
        timeout=_LIMIT_S,
        env={**os.environ, 'PYTHONPATH': str(scratch)},
    )
    return finished.returncode


def main(chosen: list[str]) -> int:
    """Apply the chosen mutations, or all; 1 if one is not caught."""
    missed = 0
    mutations = [m for m in MUTATIONS if not chosen or m.name in chosen]
    with tempfile.TemporaryDirectory(prefix='nutmegspoke-') as directory:
        scratch = pathlib.Path(directory)
        for name in _COPIED:
            source = _ROOT / name
            if source.is_dir():
                shutil.copytree(source, scratch / name)
            else:
                shutil.copy(source, scratch / name)
        for mutation in mutations:
            verdict = judge(mutation, scratch)
            missed += verdict != _CAUGHT
            print(f'{mutation.name}: {verdict}', flush=True)
    print(f'mutations: {len(mutations) - missed} caught, {missed} missed')
    return 1 if missed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
