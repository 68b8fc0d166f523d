"""The platform's settings file: lines of ``a.b=value``."""

from __future__ import annotations

import os
import pathlib
from typing import Annotated

import msgspec

from nutmegspoke.entry_host import EntryHost, HostLimits, RecoveryBounds
from nutmegspoke.errors import SettingsError

SETTINGS_VARIABLE = 'NUTMEGSPOKE_SETTINGS'
_MS_PER_S = 1_000
_BYTES_PER_MB = 1_000_000
# Descriptors that the platform keeps back for files.
_RESERVED_DESCRIPTORS = 200

_Address = Annotated[str, msgspec.Meta(pattern=r'^[0-9.]+:\d+$')]
_Positive = Annotated[float, msgspec.Meta(gt=0)]


class _Listen(msgspec.Struct):
    front: _Address
    ready_address: _Address


class _Limits(msgspec.Struct):
    cpu_share: _Positive
    cores: _Positive
    memory_mb: _Positive
    max_fds: int


class _Bounds(msgspec.Struct):
    drain_ms: _Positive = 2_000
    # Seconds, unlike its neighbours.
    grace_s: _Positive = 8
    retry_ratio: float = 0.2
    retry_slack: float = 100
    retry_window_s: _Positive = 10


class _Store(msgspec.Struct):
    address: _Address


class _Settings(msgspec.Struct):
    node_name: str
    ip: str
    zone: str
    listen: _Listen
    port_range: str
    limits: _Limits
    platform: _Store
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def settings_path() -> pathlib.Path:
    """Return where the platform puts the settings.

    :raises SettingsError: if the environment does not say.
    """
    name = os.environ.get(SETTINGS_VARIABLE)
    if not name:
        raise SettingsError((f'{SETTINGS_VARIABLE} is not set',))
    return pathlib.Path(name)


class SettingsFile:
    """The settings file; it is decoded again only when its text changes.

    :param path: where the platform puts it.
    """

    def __init__(self, path: pathlib.Path) -> None:
        """Read nothing yet."""
        self._path = path
        self._text = ''
        self._host: EntryHost | None = None

    def read(self) -> EntryHost:
        """Return the host as the file describes it now.

        :raises SettingsError: if it can't be read or a value is wrong.
        """
        text = _read_text(self._path)
        if self._host is None or text != self._text:
            self._host = parse_settings(text)
            self._text = text
        return self._host


def _read_text(path: pathlib.Path) -> str:
    """Read the file.


    :raises SettingsError: if it can't be read.
    """
    try:
        return path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError((f'{path}: {error}',)) from error


def parse_settings(text: str) -> EntryHost:
    """Decode the text of a settings file.

    :raises SettingsError: if a value is missing or wrong.
    """
    try:
        decoded = msgspec.convert(_nested(text), _Settings, strict=False)
        return _entry_host(decoded)
    except (msgspec.ValidationError, ValueError) as error:
        raise SettingsError((f'settings: {error}',)) from error


def _nested(text: str) -> dict[str, object]:
    root: dict[str, object] = {}
    for line in text.splitlines():
        name, found, text_value = line.partition('=')
        if found:
            _put(root, name.strip().split('.'), text_value.strip())
    return root


def _put(table: dict[str, object], names: list[str], text: str) -> None:
    for name in names[:-1]:
        child = table.setdefault(name, {})
        if not isinstance(child, dict):
            raise ValueError(f'{name}: is both a value and a section')
        table = child
    table[names[-1]] = text


def _entry_host(decoded: _Settings) -> EntryHost:
    first_port, last_port = decoded.port_range.split(',')
    limits = decoded.limits
    return EntryHost(
        name=decoded.node_name,
        availability_zone=decoded.zone,
        ip=decoded.ip,
        callers_port=_port(decoded.listen.front),
        ready_port=_port(decoded.listen.ready_address),
        peer_ports=(int(first_port), int(last_port)),
        store_address=decoded.platform.address,
        limits=HostLimits(
            cpu_cores=limits.cpu_share * limits.cores,
            memory_bytes=int(limits.memory_mb * _BYTES_PER_MB),
            max_sockets=limits.max_fds - _RESERVED_DESCRIPTORS,
        ),
        bounds=_recovery_bounds(decoded.bounds),
    )


def _recovery_bounds(bounds: _Bounds) -> RecoveryBounds:
    return RecoveryBounds(
        drain_s=bounds.drain_ms / _MS_PER_S,
        stop_grace_s=bounds.grace_s,
        retry_share=bounds.retry_ratio,
        retry_slack=bounds.retry_slack,
        retry_window_s=bounds.retry_window_s,
    )


def _port(address: str) -> int:
    return int(address.rpartition(':')[2])
