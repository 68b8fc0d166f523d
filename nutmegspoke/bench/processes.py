"""Start, stop and inject faults into processes of a local deployment."""

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

_TERMINATE_TIMEOUT_S = 10.0
_POLL_INTERVAL_S = 0.05
_REQUEST_TIMEOUT_S = 5.0


@dataclasses.dataclass(slots=True)
class Process:
    """A process of a local deployment.

    :param name: name used in messages.
    :param popen: handle of the process.
    :param port: main port.
    :param control_port: port that accepts faults to inject; 0 for a daemon.
    :param log_path: file with stdout and stderr of the process.
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

    def inject_fault(self, fault: str, **options: Any) -> None:
        """Make a stand-in simulate a fault.

        Errors are ignored for ``die``, as the process may exit before it
        answers.

        :raises OSError: if the request for any other fault fails.
        """
        body = {'fault': fault, **options}
        try:
            call_json(f'http://{HOST}:{self.control_port}/faults', 'POST', body)
        except OSError:
            if fault != 'die':
                raise

    def is_running(self) -> bool:
        """Return whether the process has not exited."""
        return self.popen.poll() is None

    def end(self) -> int:
        """Terminate the process; kill it if it does not exit in time.

        :returns: exit code of the process.
        """
        if self.is_running():
            self.popen.terminate()
        try:
            return self.popen.wait(_TERMINATE_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
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
    """Start a Python module as a process.

    :param name: name used in messages.
    :param module: module to run.
    :param arguments: command-line arguments of the module.
    :param log_path: file for stdout and stderr of the process.
    :param ports: main port and control port.
    :param tracer: command prefix that runs the module, such as ``strace``.
    :param environment: variables added to the environment of this process.
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
    :param directory: directory for the log file.
    :param arguments: extra command-line arguments.
    """
    port, control_port = find_free_ports(2)
    name_arguments = () if kind == 'platform' else (name,)
    return start_python(
        name,
        f'nutmegspoke.standins.{kind}',
        (*name_arguments, str(port), str(control_port), *arguments),
        directory / f'{name}.log',
        (port, control_port),
    )


def run_tool(*arguments: str) -> str:
    """Run the command-line tool and return its stripped stdout.

    :raises subprocess.CalledProcessError: if the exit code is not 0.
    """
    completed = subprocess.run(
        (sys.executable, '-m', 'nutmegspoke.cmd.cli', *arguments),
        check=True,
        capture_output=True,
        text=True,
    )
    return completed.stdout.strip()


def wait_for_url(
    url: str,
    process: Process | None = None,
    timeout_s: float = 20.0,
) -> None:
    """Wait until a URL answers with status 200.

    :param process: process that serves the URL.
    :raises TimeoutError: if the URL does not answer within the timeout.
    :raises ChildProcessError: if the process has exited.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        if fetch_status(url) == 200:
            return
        if process is not None and not process.is_running():
            output = process.log_path.read_text('utf-8', 'replace')
            raise ChildProcessError(
                f'process {process.name} has exited: {output}'
            )
        time.sleep(_POLL_INTERVAL_S)
    raise TimeoutError(f'{url} does not answer with status 200')


def fetch_status(url: str) -> int:
    """Return the HTTP status of a GET request; 0 if there is no answer."""
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
    """Send a JSON body to a URL and return the decoded JSON answer.

    An empty answer gives ``None``.

    :param headers: request headers; ``_`` in a name is sent as ``-``.
    :raises OSError: if the request fails or the status is an error.
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


def wait_until(condition: Callable[[], bool], timeout_s: float = 20.0) -> None:
    """Wait until a condition is true.

    :raises TimeoutError: if it is not true within the timeout.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        if condition():
            return
        time.sleep(_POLL_INTERVAL_S)
    raise TimeoutError('the condition did not become true within the timeout')
