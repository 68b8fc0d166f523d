"""A complete local deployment: platform, targets and daemons as processes."""

from __future__ import annotations

import dataclasses
import pathlib
import secrets
import tempfile
from typing import TYPE_CHECKING, Self

from nutmegspoke.bench import processes
from nutmegspoke.bench.ports import HOST, find_free_ports

if TYPE_CHECKING:
    from types import TracebackType

OPERATORS_TOKEN_VARIABLE = 'NUTMEGSPOKE_OPERATORS_TOKEN'
PEERS_KEY_VARIABLE = 'NUTMEGSPOKE_PEERS_KEY'
_SECRET_BYTES = 16

_SETTINGS_TEMPLATE = """\
[daemon]
name = {name}
availability_zone = {zone}
host_address = {host}
callers_port = {callers}
operators_port = {operators}
peers_port = {peers}

[platform]
table_service_url = {platform}
object_store_url = {platform}
host_list_url = {platform}
weight_store_url = {platform}
poll_interval_s = {poll_s}

[secrets]
operators_token = env:{token_variable}
peers_key = env:{key_variable}

[routing]
load_poll_interval_s = {poll_s}
policy = {policy}
carrier = {carrier}

[stop]
notice_s = {notice_s}
finish_limit_s = {finish_limit_s}
"""


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonOptions:
    """Daemon settings that vary between measurements and tests.

    An empty ``peers_key`` stands for the key of the deployment.
    """

    availability_zone: str = 'pnw-a'
    policy: str = 'flow'
    carrier: str = 'relay'
    poll_interval_s: float = 0.25
    notice_s: float = 0.2
    finish_limit_s: float = 30.0
    peers_key: str = ''


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Daemon:
    """A daemon of a local deployment.

    :param process: daemon process; its main port serves callers.
    :param operators_port: port of the operators' interface.
    """

    process: processes.Process
    operators_port: int

    @property
    def url(self) -> str:
        """Return the URL of the callers' port."""
        return self.process.url

    @property
    def operators_url(self) -> str:
        """Return the URL of the operators' port."""
        return f'http://{HOST}:{self.operators_port}'


class Deployment:
    """Context manager for processes that run in a temporary directory.

    All processes are stopped when the ``with`` block is left.
    """

    def __init__(self) -> None:
        """Create the directory and the secrets; start no process."""
        self._directory = tempfile.TemporaryDirectory(prefix='nutmegspoke-')
        self.path = pathlib.Path(self._directory.name)
        self.token = secrets.token_hex(_SECRET_BYTES)
        self.platform: processes.Process | None = None
        self.targets: dict[str, processes.Process] = {}
        self.daemons: dict[str, Daemon] = {}
        self._peers_key = secrets.token_hex(_SECRET_BYTES)
        self._processes: list[processes.Process] = []

    def __enter__(self) -> Self:
        """Start the platform and wait until it answers."""
        self.platform = processes.start_standin(
            'platform',
            'platform',
            self.path,
        )
        self._processes.append(self.platform)
        processes.wait_for_url(f'{self.platform.url}/hosts')
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop all processes and remove the directory."""
        for process in reversed(self._processes):
            if process.is_running():
                process.popen.terminate()
        for process in self._processes:
            process.end()
        self._directory.cleanup()

    def start_target(
        self,
        name: str,
        kind: str,
        selector: str,
        availability_zone: str,
        *arguments: str,
    ) -> processes.Process:
        """Start a target and add it to the host list.

        :param kind: ``engine`` or ``service``.
        :param arguments: extra command-line arguments of the stand-in.
        """
        target = processes.start_standin(name, kind, self.path, *arguments)
        self._processes.append(target)
        self.targets[name] = target
        self.write_host_entry(name, selector, availability_zone)
        return target

    def start_module(self, name: str, module: str, *arguments: str) -> None:
        """Start a Python module that is stopped with the deployment."""
        process = processes.start_python(
            name,
            module,
            arguments,
            self.path / f'{name}.log',
            (0, 0),
        )
        self._processes.append(process)

    def apply_tables(self, text: str) -> None:
        """Apply tables with the command-line tool.

        :param text: content of the tables file.
        """
        path = self.path / 'tables.ini'
        path.write_text(text, 'utf-8')
        processes.run_tool(
            'apply',
            str(path),
            '--operator',
            'bench',
            '--platform',
            self.platform.url,
        )

    def write_host_entry(
        self,
        name: str,
        selector: str,
        availability_zone: str,
        state: str = 'live',
    ) -> None:
        """Add or replace the host list entry of a target."""
        entry = {
            'name': name,
            'address': self.targets[name].address,
            'availability_zone': availability_zone,
            'selector': selector,
            'state': state,
        }
        processes.call_json(f'{self.platform.url}/hosts', 'PUT', entry)

    def start_daemon(
        self,
        name: str,
        options: DaemonOptions | None = None,
        tracer: tuple[str, ...] = (),
    ) -> Daemon:
        """Start a daemon without waiting until it is ready.

        :param tracer: command prefix that runs the daemon, such as ``strace``.
        """
        daemon_options = options or DaemonOptions()
        callers, operators, peers = find_free_ports(3)
        settings = _SETTINGS_TEMPLATE.format(
            name=name,
            zone=daemon_options.availability_zone,
            host=HOST,
            callers=callers,
            operators=operators,
            peers=peers,
            platform=self.platform.url,
            poll_s=daemon_options.poll_interval_s,
            policy=daemon_options.policy,
            carrier=daemon_options.carrier,
            notice_s=daemon_options.notice_s,
            finish_limit_s=daemon_options.finish_limit_s,
            token_variable=OPERATORS_TOKEN_VARIABLE,
            key_variable=PEERS_KEY_VARIABLE,
        )
        path = self.path / f'{name}.ini'
        path.write_text(settings, 'utf-8')
        process = processes.start_python(
            name,
            'nutmegspoke.cmd.daemon',
            (str(path),),
            self.path / f'{name}.log',
            (callers, 0),
            tracer,
            **{
                OPERATORS_TOKEN_VARIABLE: self.token,
                PEERS_KEY_VARIABLE: daemon_options.peers_key or self._peers_key,
            },
        )
        self._processes.append(process)
        daemon = Daemon(process, operators)
        self.daemons[name] = daemon
        return daemon

    def wait_ready(self) -> None:
        """Wait until all targets answer and all daemons are ready."""
        for target in self.targets.values():
            processes.wait_for_url(f'{target.url}/v1/load')
        for daemon in self.daemons.values():
            processes.wait_for_url(
                f'{daemon.url}/.nutmegspoke/ready',
                daemon.process,
            )

    def wait_targets(self, daemon: Daemon, count: int) -> None:
        """Wait until a daemon lists at least ``count`` targets."""
        processes.wait_until(
            lambda: len(self.status(daemon)['targets']) >= count,
        )

    def status(self, daemon: Daemon) -> dict[str, object]:
        """Return the status document of a daemon."""
        return processes.call_json(
            f'{daemon.operators_url}/status',
            Authorization=f'Bearer {self.token}',
        )
