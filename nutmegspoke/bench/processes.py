"""Processes of a local deployment: started, told of faults, ended by id."""

from __future__ import annotations

import dataclasses
import json
import os
import pathlib
import subprocess
import sys
import time
from typing import TYPE_CHECKING, Any
from urllib import error as url_error
from urllib import request as url_request

from nutmegspoke.bench.ports import HOST, find_free_ports

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

_END_WAIT_S = 10.0
_POLL_S = 0.05
_REQUEST_TIMEOUT_S = 5.0


@dataclasses.dataclass(slots=True)
class Process:
    """A process of a local deployment.

    :param name: name for messages.
    :param popen: the process.
    :param port: its main port.
    :param control_port: port that takes fault orders; 0 for a daemon.
    :param log_path: file with its output.
    """

    name: str
    popen: subprocess.Popen[bytes]
    port: int
    control_port: int
    log_path: pathlib.Path

    @property
    def address(self) -> str:
        """Return ``IP:PORT`` of the main port."""
        return f'{HOST}:{self.port}'

    @property
    def url(self) -> str:
        """Return the URL of the main port."""
        return f'http://{self.address}'

    def inject_fault(self, fault: str, **order: Any) -> None:
        """Tell a stand-in to show a fault."""
        body = {'fault': fault, **order}
        try:
            call_json(f'http://{HOST}:{self.control_port}/faults', 'POST', body)
        except OSError:
            if fault != 'die':
                raise

    def is_running(self) -> bool:
        """Tell whether the process has not ended."""
        return self.popen.poll() is None

    def end(self) -> int:
        """Ask the process to end, kill it if it does not; its exit code."""
        if self.is_running():
            self.popen.terminate()
        try:
            return self.popen.wait(_END_WAIT_S)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()

    def kill(self) -> None:
        """Kill the process at once."""
        self.popen.kill()
        self.popen.wait()


def start_python(
    name: str,
    module: str,
    arguments: Sequence[str],
    log_path: pathlib.Path,
    ports: tuple[int, int],
    tracer: tuple[str, ...] = (),
    **environment: str,
) -> Process:
    """Start a module of this package as a process.

    :param name: name for messages.
    :param module: module to run.
    :param arguments: its arguments.
    :param log_path: file that takes its output.
    :param ports: main port and control port.
    :param tracer: command that runs the module, such as ``strace``.
    :param environment: variables besides those of this process.
    """
    with log_path.open('wb') as log:
        popen = subprocess.Popen(
            (*tracer, sys.executable, '-m', module, *arguments),
            stdout=log,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
            env={**os.environ, **environment},
        )
    return Process(name, popen, *ports, log_path)


def start_standin(
    name: str,
    kind: str,
    directory: pathlib.Path,
    *arguments: str,
) -> Process:
    """Start a stand-in on two free ports.

    :param name: name of the target or of the platform.
    :param kind: ``platform``, ``engine`` or ``service``.
    :param directory: directory for its output.
    :param arguments: further arguments.
    """
    port, control_port = find_free_ports(2)
    named = () if kind == 'platform' else (name,)
    return start_python(
        name,
        f'nutmegspoke.standins.{kind}',
        (*named, str(port), str(control_port), *arguments),
        directory / f'{name}.log',
        (port, control_port),
    )


def run_tool(*arguments: str) -> str:
    """Run the command-line tool and return what it printed.

    :raises subprocess.CalledProcessError: if its exit code is not 0.
    """
    finished = subprocess.run(
        (sys.executable, '-m', 'nutmegspoke.cmd.cli', *arguments),
        check=True,
        capture_output=True,
        text=True,
    )
    return finished.stdout.strip()


def wait_for(
    url: str,
    process: Process | None = None,
    limit_s: float = 20.0,
) -> None:
    """Wait until a URL answers with status 200.

    :param process: the process that should answer.
    :raises TimeoutError: if it does not within the limit.
    :raises ChildProcessError: if the process has ended.
    """
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        if fetch_status(url) == 200:
            return
        if process is not None and not process.is_running():
            output = process.log_path.read_text('utf-8', 'replace')
            raise ChildProcessError(f'{process.name} has ended: {output}')
        time.sleep(_POLL_S)
    raise TimeoutError(f'{url} does not answer')


def fetch_status(url: str) -> int:
    """Return the HTTP status of a GET; 0 if nothing answers."""
    try:
        with url_request.urlopen(url, timeout=1) as response:
            return response.status
    except url_error.HTTPError as error:
        return error.code
    except OSError:
        return 0


def call_json(
    url: str,
    method: str = 'GET',
    body: object = None,
    **headers: str,
) -> Any:
    """Call a URL with a JSON body and return the JSON of the answer.

    :param headers: headers, with ``_`` for ``-``.
    :raises OSError: if the call fails.
    """
    encoded = None if body is None else json.dumps(body).encode()
    request = url_request.Request(
        url,
        data=encoded,
        method=method,
        headers={
            name.replace('_', '-'): text for name, text in headers.items()
        },
    )
    with url_request.urlopen(
        request,
        timeout=_REQUEST_TIMEOUT_S,
    ) as response:
        answer = response.read()
    return json.loads(answer) if answer else None


def wait_until(condition: Callable[[], bool], limit_s: float = 20.0) -> None:
    """Wait until a condition holds.

    :raises TimeoutError: if it does not within the limit.
    """
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        if condition():
            return
        time.sleep(_POLL_S)
    raise TimeoutError('the condition does not hold')
