"""Tests of the system calls, threads and memory of the daemon."""

from __future__ import annotations

import pathlib
import re
import shutil
import unittest

from nutmegspoke.bench.deployment import Deployment
from tests import deployments

_TRACED = 'io_uring_setup,fork,vfork,clone,clone3,execve,memfd_create,shmget'
_MAX_IDLE_RSS_KIB = 128 * 1024
_MAX_THREADS = 8


class ProcessBoundsTest(unittest.TestCase):
    """The daemon uses no io_uring, child processes or shared memory."""

    def test_daemon_keeps_to_its_bounds_while_it_serves(self) -> None:
        """The trace shows only thread creation and the first ``execve``."""
        strace = shutil.which('strace')
        self.assertIsNotNone(strace, 'strace is not installed')
        with Deployment() as deployment:
            deployments.start_small(deployment, daemons=0)
            trace = deployment.path / 'trace'
            tracer = (strace, '-D', '-f', '-qq', '-e', f'trace={_TRACED}')
            daemon = deployment.start_daemon(
                'traced',
                tracer=(*tracer, '-o', str(trace)),
            )
            deployment.wait_ready()
            deployment.wait_targets(daemon, len(deployments.LAYERS) + 1)
            answer = deployments.draft(daemon)
            self.assertEqual(len(answer.texts), 8)
            _check_trace(self, trace.read_text('utf-8'))

    def test_idle_daemon_has_few_threads_and_little_memory(self) -> None:
        """Memory stays below the budget of 128 MiB, threads below eight."""
        with Deployment() as deployment:
            deployments.start_small(deployment)
            process = deployment.daemons['daemon-0'].process
            status = pathlib.Path(f'/proc/{process.popen.pid}/status')
            fields = _status_fields(status.read_text('utf-8'))
            self.assertLess(fields['VmRSS'], _MAX_IDLE_RSS_KIB)
            self.assertLess(fields['Threads'], _MAX_THREADS)
            maps = pathlib.Path(f'/proc/{process.popen.pid}/maps')
            self.assertNotIn('/dev/shm', maps.read_text('utf-8'))


def _check_trace(case: unittest.TestCase, trace: str) -> None:
    case.assertNotIn('io_uring_setup', trace)
    case.assertNotIn('shmget(', trace)
    case.assertNotIn('memfd_create(', trace)
    case.assertNotRegex(trace, r'\bv?fork\(')
    clones = re.findall(r'\bclone3?\(.*', trace)
    case.assertTrue(clones)
    for clone in clones:
        case.assertIn('CLONE_THREAD', clone)
    case.assertEqual(trace.count('execve('), 1)


def _status_fields(status: str) -> dict[str, int]:
    pairs = re.findall(r'^(\w+):\s+(\d+)', status, re.MULTILINE)
    return {name: int(number) for name, number in pairs}
