"""Reads the platform's settings file, which has lines ``a.b=value``."""

from __future__ import annotations

import os
import pathlib
from typing import Annotated

import msgspec

from nutmegspoke.entry_host import (
    EntryHost,
    HedgingLimits,
    HostLimits,
    RecoveryBounds,
)
from nutmegspoke.errors import SettingsError

SETTINGS_VARIABLE = 'NUTMEGSPOKE_SETTINGS'
# Limit on copies of slow requests where the file has no ``hedging.max_share``.
HEDGING_VARIABLE = 'NUTMEGSPOKE_HEDGING_MAX_SHARE'
_MS_PER_S = 1_000
_BYTES_PER_MB = 1_000_000
_BYTES_PER_MBIT = 125_000
# File descriptors reserved for files by the platform; not for sockets.
_RESERVED_DESCRIPTORS = 200

_Address = Annotated[str, msgspec.Meta(pattern=r'^[0-9.]+:\d+$')]
_Positive = Annotated[float, msgspec.Meta(gt=0)]
_CopyShare = Annotated[float, msgspec.Meta(ge=0, le=0.2)]


class _Listen(msgspec.Struct):
    front: _Address
    ready_address: _Address


class _Limits(msgspec.Struct):
    cpu_share: _Positive
    cores: _Positive
    memory_mb: _Positive
    max_fds: int
    link_mbps: _Positive = 1_000


class _Bounds(msgspec.Struct):
    drain_ms: _Positive = 2_000
    config_apply_ms: _Positive = 2_000
    # In seconds, unlike drain_ms.
    grace_s: _Positive = 8
    retry_ratio: float = 0.2
    retry_slack: float = 100
    retry_window_s: _Positive = 10


class _Store(msgspec.Struct):
    address: _Address


class _Hedging(msgspec.Struct):
    max_share: _CopyShare = 0.0


class _Settings(msgspec.Struct):
    node_name: str
    ip: str
    zone: str
    listen: _Listen
    port_range: str
    limits: _Limits
    platform: _Store
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    hedging: _Hedging = msgspec.field(default_factory=_Hedging)


def settings_path() -> pathlib.Path:
    """Return the path of the settings file, taken from the environment.

    :raises SettingsError: if the environment variable is not set.
    """
    name = os.environ.get(SETTINGS_VARIABLE)
    if not name:
        raise SettingsError((f'{SETTINGS_VARIABLE} is not set',))
    return pathlib.Path(name)


class SettingsFile:
    """The settings file, decoded again only when its text changes.

    :param path: path of the file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        """Store the path; the file is not read until :meth:`read`."""
        self._path = path
        self._hedging_share = os.environ.get(HEDGING_VARIABLE, '')
        self._text = ''
        self._host: EntryHost | None = None

    def read(self) -> EntryHost:
        """Return the host as currently described by the file.

        :raises SettingsError: if the file can't be read or a value is invalid.
        """
        text = _read_text(self._path)
        if self._host is None or text != self._text:
            self._host = parse_settings(text, self._hedging_share)
            self._text = text
        return self._host


def _read_text(path: pathlib.Path) -> str:
    """Return the text of the file.

    :raises SettingsError: if the file can't be read.
    """
    try:
        return path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError((f'{path}: {error}',)) from error


def parse_settings(text: str, hedging_share: str = '') -> EntryHost:
    """Decode the text of a settings file.

    :param hedging_share: limit on copies if the file has none; empty for 0.
    :raises SettingsError: if a value is missing or invalid.
    """
    try:
        sections = _parse_lines(text)
        if hedging_share:
            sections.setdefault('hedging', {'max_share': hedging_share})
        decoded = msgspec.convert(sections, _Settings, strict=False)
        return _build_host(decoded)
    except (msgspec.ValidationError, ValueError) as error:
        raise SettingsError((f'settings: {error}',)) from error


def _parse_lines(text: str) -> dict[str, object]:
    sections: dict[str, object] = {}
    for line in text.splitlines():
        name, separator, raw_value = line.partition('=')
        if separator:
            _set_value(sections, name.strip().split('.'), raw_value.strip())
    return sections


def _set_value(section: dict[str, object], names: list[str], text: str) -> None:
    for name in names[:-1]:
        child = section.setdefault(name, {})
        if not isinstance(child, dict):
            raise ValueError(f'{name}: is both a value and a section')
        section = child
    section[names[-1]] = text


def _build_host(decoded: _Settings) -> EntryHost:
    first_port, last_port = decoded.port_range.split(',')
    limits = decoded.limits
    return EntryHost(
        name=decoded.node_name,
        availability_zone=decoded.zone,
        ip=decoded.ip,
        callers_port=_parse_port(decoded.listen.front),
        ready_port=_parse_port(decoded.listen.ready_address),
        peer_ports=(int(first_port), int(last_port)),
        store_address=decoded.platform.address,
        limits=HostLimits(
            cpu_cores=limits.cpu_share * limits.cores,
            memory_bytes=int(limits.memory_mb * _BYTES_PER_MB),
            max_sockets=limits.max_fds - _RESERVED_DESCRIPTORS,
            link_bytes_per_s=limits.link_mbps * _BYTES_PER_MBIT,
        ),
        bounds=_build_bounds(decoded.bounds),
        hedging=HedgingLimits(decoded.hedging.max_share),
    )


def _build_bounds(bounds: _Bounds) -> RecoveryBounds:
    return RecoveryBounds(
        drain_s=bounds.drain_ms / _MS_PER_S,
        apply_s=bounds.config_apply_ms / _MS_PER_S,
        stop_grace_s=bounds.grace_s,
        retry_share=bounds.retry_ratio,
        retry_slack=bounds.retry_slack,
        retry_window_s=bounds.retry_window_s,
    )


def _parse_port(address: str) -> int:
    return int(address.rpartition(':')[2])
