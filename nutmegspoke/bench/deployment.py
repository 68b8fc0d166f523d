"""A whole local deployment: platform, targets and daemons as processes."""

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

_SETTINGS = """\
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
    """Settings of a daemon that differ between deployments."""

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

    :param process: its process; its port is the callers' one.
    :param operators_port: port for operators.
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
    """Processes in a temporary directory, all ended with the block."""

    def __init__(self) -> None:
        """Prepare a deployment without processes."""
        self._directory = tempfile.TemporaryDirectory(prefix='nutmegspoke-')
        self.path = pathlib.Path(self._directory.name)
        self.token = secrets.token_hex(_SECRET_BYTES)
        self.platform: processes.Process | None = None
        self.targets: dict[str, processes.Process] = {}
        self.daemons: dict[str, Daemon] = {}
        self._peers_key = secrets.token_hex(_SECRET_BYTES)
        self._all: list[processes.Process] = []

    def __enter__(self) -> Self:
        """Start the platform."""
        self.platform = processes.start_standin(
            'platform',
            'platform',
            self.path,
        )
        self._all.append(self.platform)
        processes.wait_for(f'{self.platform.url}/hosts')
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End all processes and remove the directory."""
        for process in reversed(self._all):
            if process.is_running():
                process.popen.terminate()
        for process in self._all:
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
        """Start a target and enter it in the host list.

        :param kind: ``engine`` or ``service``.
        :param arguments: further arguments of the stand-in.
        """
        target = processes.start_standin(name, kind, self.path, *arguments)
        self._all.append(target)
        self.targets[name] = target
        self.write_host_entry(name, selector, availability_zone)
        return target

    def start_other(self, name: str, module: str, *arguments: str) -> None:
        """Start another module that is ended with the block."""
        process = processes.start_python(
            name,
            module,
            arguments,
            self.path / f'{name}.log',
            (0, 0),
        )
        self._all.append(process)

    def apply_tables(self, text: str) -> None:
        """Apply tables with the command-line tool."""
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
        """Write a target's entry of the host list."""
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
        """Start a daemon; it may not be ready yet.

        :param tracer: command that runs the daemon, such as ``strace``.
        """
        chosen = options or DaemonOptions()
        callers, operators, peers = find_free_ports(3)
        settings = _SETTINGS.format(
            name=name,
            zone=chosen.availability_zone,
            host=HOST,
            callers=callers,
            operators=operators,
            peers=peers,
            platform=self.platform.url,
            poll_s=chosen.poll_interval_s,
            policy=chosen.policy,
            carrier=chosen.carrier,
            notice_s=chosen.notice_s,
            finish_limit_s=chosen.finish_limit_s,
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
                PEERS_KEY_VARIABLE: chosen.peers_key or self._peers_key,
            },
        )
        self._all.append(process)
        daemon = Daemon(process, operators)
        self.daemons[name] = daemon
        return daemon

    def wait_ready(self) -> None:
        """Wait until all targets and daemons answer."""
        for target in self.targets.values():
            processes.wait_for(f'{target.url}/v1/load')
        for daemon in self.daemons.values():
            processes.wait_for(
                f'{daemon.url}/.nutmegspoke/ready',
                daemon.process,
            )

    def wait_targets(self, daemon: Daemon, count: int) -> None:
        """Wait until a daemon sees a number of usable targets."""
        processes.wait_until(
            lambda: len(self.status(daemon)['targets']) >= count,
        )

    def status(self, daemon: Daemon) -> dict[str, object]:
        """Return the status of a daemon."""
        return processes.call_json(
            f'{daemon.operators_url}/status',
            Authorization=f'Bearer {self.token}',
        )
