"""Validated models of the sections of a tables file."""

from __future__ import annotations

import dataclasses
import ipaddress
from typing import Annotated, Any

from pydantic import (
    AfterValidator,
    BaseModel,
    BeforeValidator,
    ConfigDict,
    Field,
    ValidationError,
)

from nutmegspoke.tables.rows import PoolKind, PoolRow, RouteRow, TeamShare

_MAX_TIMEOUT_S = 86_400
_MAX_BODY_BYTES = 64 * 1024 * 1024
_MAX_LAYERS = 4096
_MAX_IN_FLIGHT = 1_000_000
_MAX_PRIORITY = 100
_MAX_PORT = 65_535
_BOOLEANS = {'yes': True, 'no': False}  # noqa: WPS407 -- read only
_LABEL = '^[a-z0-9][a-z0-9._-]*$'
_OPTIONAL_LABEL = '^([a-zA-Z0-9][a-zA-Z0-9._/-]*)?$'


def _to_boolean(text: object) -> bool:
    if isinstance(text, bool):
        return text
    if text not in _BOOLEANS:
        raise ValueError(text)
    return _BOOLEANS[text]


def _to_words(text: object) -> object:
    return tuple(str(text).replace(',', ' ').split())


def _to_teams(text: object) -> object:
    return tuple(
        _to_team(line.split()) for line in str(text).splitlines() if line
    )


def _to_team(words: list[str]) -> dict[str, str]:
    options = (word.partition('=') for word in words[1:])
    return {'team': words[0], **{name: value for name, _, value in options}}


def _checked_address(text: str) -> str:
    host, _, port = text.rpartition(':')
    ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
    if not port.isdecimal() or not 0 < int(port) <= _MAX_PORT:
        raise ValueError(text)
    return text


YesNo = Annotated[bool, BeforeValidator(_to_boolean)]
Address = Annotated[str, AfterValidator(_checked_address)]


class _Section(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class TeamModel(_Section):
    """One line of the ``teams`` key of a route."""

    team: str = Field(pattern=_LABEL)
    weight: float = Field(default=1.0, gt=0, le=_MAX_IN_FLIGHT)
    max_in_flight: int = Field(ge=1, le=_MAX_IN_FLIGHT)


class RouteModel(_Section):
    """Section ``[route NAME]``.

    The field descriptions are shown in error messages as allowed values.
    """

    path: str = Field(
        pattern=r'^/[^\s*?#]*\*?$',
        description='a path that begins with "/", with "*" only at its end',
    )
    pool: str = Field(
        pattern=_LABEL,
        description='the name of a pool of this file',
    )
    model: str = Field(
        default='',
        pattern=_OPTIONAL_LABEL,
        description='a model name, or empty for any',
    )
    team: str = Field(
        default='',
        pattern=_OPTIONAL_LABEL,
        description='a team name, or empty for any',
    )
    repeatable: YesNo = Field(default=False, description='yes or no')
    timeout_s: float = Field(
        default=60.0,
        gt=0,
        le=_MAX_TIMEOUT_S,
        description=f'seconds, over 0 and at most {_MAX_TIMEOUT_S}',
    )
    progress_timeout_s: float = Field(
        default=5.0,
        gt=0,
        le=_MAX_TIMEOUT_S,
        description=f'seconds, over 0 and at most {_MAX_TIMEOUT_S}',
    )
    priority: int = Field(
        default=0,
        ge=-_MAX_PRIORITY,
        le=_MAX_PRIORITY,
        description=f'a whole number from -{_MAX_PRIORITY} to {_MAX_PRIORITY}',
    )
    max_body_bytes: int = Field(
        default=1_048_576,
        ge=1,
        le=_MAX_BODY_BYTES,
        description=f'bytes, a whole number from 1 to {_MAX_BODY_BYTES}',
    )
    retry_budget_share: float = Field(
        default=0.1,
        ge=0,
        le=1,
        description='a share of the requests, from 0 to 1',
    )
    teams: Annotated[tuple[TeamModel, ...], BeforeValidator(_to_teams)] = Field(
        default=(),
        description=(
            'a line "NAME weight=W max_in_flight=N" for each team, '
            'W over 0, N a whole number over 0'
        ),
    )

    def to_row(self, name: str) -> RouteRow:
        """Return the table row of this section."""
        fields = self.model_dump(exclude={'teams'})
        shares = tuple(
            TeamShare(line.team, line.weight, line.max_in_flight)
            for line in self.teams
        )
        return RouteRow(name=name, teams=shares, **fields)


class PoolModel(_Section):
    """Section ``[pool NAME]``.

    The field descriptions are shown in error messages as allowed values.
    """

    kind: PoolKind = Field(description='engine or service')
    model: str = Field(
        default='',
        pattern=_OPTIONAL_LABEL,
        description='a model name, or empty for a service',
    )
    version: str = Field(
        default='',
        pattern=_OPTIONAL_LABEL,
        description='a model version, or empty for a service',
    )
    layer_count: int = Field(
        default=0,
        ge=0,
        le=_MAX_LAYERS,
        description=f'layers of the model, a whole number up to {_MAX_LAYERS}',
    )
    targets: Annotated[
        tuple[Address, ...],
        BeforeValidator(_to_words),
    ] = Field(default=(), description='IP:PORT of each target')
    selector: str = Field(
        default='',
        pattern=_OPTIONAL_LABEL,
        description='a label of the host list, or empty',
    )
    leaving: Annotated[
        tuple[str, ...],
        BeforeValidator(_to_words),
    ] = Field(default=(), description='names of targets that leave')
    checks_fencing: YesNo = Field(default=False, description='yes or no')
    max_in_flight: int = Field(
        default=16,
        ge=1,
        le=_MAX_IN_FLIGHT,
        description='calls on one target, a whole number over 0',
    )
    max_queue: int = Field(
        default=256,
        ge=0,
        le=_MAX_IN_FLIGHT,
        description='waiting calls on one daemon, a whole number from 0',
    )

    def to_row(self, name: str) -> PoolRow:
        """Return the table row of this section."""
        return PoolRow(name=name, **self.model_dump())


SectionModel = type[RouteModel] | type[PoolModel]


@dataclasses.dataclass(frozen=True, slots=True)
class KeyFault:
    """Validation error of one key of a section.

    :param key: the key.
    :param problem: description of the error.
    """

    key: str
    problem: str


def key_faults(error: ValidationError) -> tuple[KeyFault, ...]:
    """Return the validation errors that pydantic found in a section."""
    return tuple(
        KeyFault(str(fault['loc'][0]), _fault_text(fault))
        for fault in error.errors(include_url=False)
    )


def allowed_text(model: SectionModel, key: str) -> str:
    """Return the allowed values of a key, or the known keys if unknown."""
    field = model.model_fields.get(key)
    if field is None:
        known = ', '.join(sorted(model.model_fields))
        return f'the keys {known}'
    return field.description or ''


def _fault_text(fault: Any) -> str:  # noqa: ANN401 -- pydantic's typed dict
    depth = len(fault['loc'])
    if fault['type'] == 'missing' and depth == 1:
        return 'is missing'
    if fault['type'] == 'extra_forbidden' and depth == 1:
        return 'is unknown'
    where = ' '.join(
        f'entry {part + 1}' if isinstance(part, int) else str(part)
        for part in fault['loc'][1:]
    )
    if fault['type'] == 'missing':
        return f'{where} is missing'
    if fault['type'] == 'extra_forbidden':
        return f'{where} is unknown'
    return f'{where} has the wrong value {fault["input"]!r}'.strip()
