"""Settings of the daemon, read from one INI file and validated at start."""

from __future__ import annotations

import configparser
import os
import pathlib
from typing import Annotated, Any, Literal, Self

import pydantic

from nutmegspoke.errors import SettingsError

_Port = Annotated[int, pydantic.Field(ge=1, le=65_535)]
_PositiveSeconds = Annotated[float, pydantic.Field(gt=0, le=86_400)]
_Seconds = Annotated[float, pydantic.Field(ge=0, le=86_400)]
_ENV_PREFIX = 'env:'
_FILE_PREFIX = 'file:'
_MIN_SECRET_CHARS = 16
_PORT_COUNT = 3


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class DaemonSection(_Section):
    """Identity, zone and addresses of the daemon."""

    name: Annotated[str, pydantic.Field(pattern=r'^[A-Za-z0-9][\w-]{0,62}$')]
    availability_zone: Annotated[str, pydantic.Field(min_length=1)]
    host_address: pydantic.IPvAnyAddress
    callers_port: _Port
    operators_port: _Port
    peers_port: _Port

    @pydantic.model_validator(mode='after')
    def _check_ports(self) -> Self:
        ports = {self.callers_port, self.operators_port, self.peers_port}
        if len(ports) < _PORT_COUNT:
            raise ValueError('the three ports must differ')
        return self


class PlatformSection(_Section):
    """URLs and timing of the platform's services."""

    table_service_url: pydantic.HttpUrl
    object_store_url: pydantic.HttpUrl
    host_list_url: pydantic.HttpUrl
    weight_store_url: pydantic.HttpUrl
    timeout_s: _PositiveSeconds = 2.0
    poll_interval_s: _PositiveSeconds = 1.0


class SecretsSection(_Section):
    """Locations of secrets, as ``env:NAME`` or ``file:PATH``."""

    operators_token: Annotated[str, pydantic.Field(pattern='^(env|file):.+$')]
    peers_key: Annotated[str, pydantic.Field(pattern='^(env|file):.+$')]


class LimitsSection(_Section):
    """Limits of the callers' port."""

    max_body_bytes: Annotated[int, pydantic.Field(ge=1_024)] = 4_194_304
    max_header_bytes: Annotated[int, pydantic.Field(ge=1_024)] = 16_384
    caller_write_timeout_s: _PositiveSeconds = 30.0
    connection_idle_s: _PositiveSeconds = 60.0


class StopSection(_Section):
    """Durations of a planned stop."""

    notice_s: _Seconds = 3.0
    finish_limit_s: _PositiveSeconds = 300.0


class RoutingSection(_Section):
    """How targets are chosen and requests carried to them."""

    carrier: Literal['relay', 'pass_on'] = 'relay'
    policy: Literal['flow', 'random', 'round_robin', 'least_in_flight'] = 'flow'
    load_poll_interval_s: _PositiveSeconds = 1.0


class PeersSection(_Section):
    """Addresses for peer discovery in addition to the table service."""

    seeds: Annotated[
        str,
        pydantic.Field(pattern=r'^([\w.:\[\]]+:\d+([ ,]+|$))*$'),
    ] = ''

    @property
    def seed_addresses(self) -> tuple[str, ...]:
        """Return the seeds as a tuple of ``IP:PORT``."""
        return tuple(self.seeds.replace(',', ' ').split())


class LogSection(_Section):
    """Log settings."""

    level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'


class Settings(_Section):
    """All settings of the daemon."""

    daemon: DaemonSection
    platform: PlatformSection
    secrets: SecretsSection
    limits: LimitsSection = LimitsSection()
    stop: StopSection = StopSection()
    routing: RoutingSection = RoutingSection()
    log: LogSection = LogSection()
    peers: PeersSection = PeersSection()

    @classmethod
    def from_file(cls, path: pathlib.Path) -> Self:
        """Read and validate a settings file.

        :param path: INI file.
        :raises SettingsError: with all faults of the file.
        """
        parser = configparser.ConfigParser(interpolation=None)
        try:
            parser.read_string(path.read_text('utf-8'), source=str(path))
        except (OSError, UnicodeDecodeError, configparser.Error) as error:
            raise SettingsError((f'{path}: {error}',)) from error
        sections = {name: dict(parser[name]) for name in parser.sections()}
        try:
            return cls.model_validate(sections)
        except pydantic.ValidationError as error:
            raise SettingsError(_describe_faults(path, error)) from error


def read_secret(location: str) -> str:
    """Read a secret from its location.

    :param location: ``env:NAME`` or ``file:PATH``.
    :raises SettingsError: if it can't be read or is too short.
    """
    secret = _load_secret(location).strip()
    if len(secret) < _MIN_SECRET_CHARS:
        raise SettingsError(
            (
                f'{location}: the secret must have at least '
                f'{_MIN_SECRET_CHARS} characters',
            ),
        )
    return secret


def _load_secret(location: str) -> str:
    if location.startswith(_ENV_PREFIX):
        return os.environ.get(location.removeprefix(_ENV_PREFIX), '')
    path = pathlib.Path(location.removeprefix(_FILE_PREFIX))
    try:
        return path.read_text('utf-8')
    except OSError as error:
        raise SettingsError((f'{location}: {error.strerror}',)) from error


def _describe_faults(
    path: pathlib.Path,
    error: pydantic.ValidationError,
) -> tuple[str, ...]:
    return tuple(_describe_fault(path, details) for details in error.errors())


def _describe_fault(path: pathlib.Path, details: Any) -> str:
    section, *keys = (str(part) for part in details['loc'])
    location = f'{path}: [{section}]'
    if keys:
        location = f'{location} {keys[0]}'
    if details['type'] == 'extra_forbidden':
        return f'{location}: unknown {"key" if keys else "section"}'
    if details['type'] == 'missing':
        return f'{location}: missing {"key" if keys else "section"}'
    if not keys:
        return f'{location}: {details["msg"]}'
    return f'{location}: {details["msg"]}, not {details["input"]!r}'
