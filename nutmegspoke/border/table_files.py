"""Reads and writes the two tables as an INI file."""

from __future__ import annotations

import collections
import configparser
import dataclasses
import re
from typing import TYPE_CHECKING

from pydantic import ValidationError

from nutmegspoke.border import table_models
from nutmegspoke.tables.faults import TableFault, TableFaults
from nutmegspoke.tables.rows import PoolRow, RouteRow, Row, Tables

if TYPE_CHECKING:
    from collections.abc import Iterator

_TITLE = re.compile('^(?P<kind>route|pool) (?P<name>[a-z0-9][a-z0-9._-]*)$')
_TWICE = 'appears twice'
_SETTING = re.compile(r'^([^\s=][^=\n]*?)\s*=', re.MULTILINE)
_MODELS = {  # noqa: WPS407 -- read only
    'route': table_models.RouteModel,
    'pool': table_models.PoolModel,
}
_TITLE_RULE = (
    '[route NAME] or [pool NAME], NAME of small letters, digits, ".", "_", "-"'
)


@dataclasses.dataclass(frozen=True, slots=True)
class _Chunk:
    """Text of one section."""

    title: str
    text: str


def read_tables(text: str, source: str) -> Tables | TableFaults:
    """Parse a tables file.

    :param text: content of the file.
    :param source: name of the file, for faults.
    :returns: the tables at revision 0, or every fault of the file.
    """
    rows: list[Row] = []
    faults: list[TableFault] = []
    titles: set[str] = set()
    for chunk in _chunks(text):
        if chunk.title in titles:
            faults.append(_title_fault(source, chunk.title, _TWICE))
        titles.add(chunk.title)
        found = _read_section(chunk, source)
        if isinstance(found, TableFaults):
            faults.extend(found.faults)
        else:
            rows.append(found)
    if faults:
        return TableFaults(tuple(faults))
    return _tables(rows)


def _tables(rows: list[Row]) -> Tables:
    ordered = sorted(rows, key=lambda row: row.name)
    return Tables(
        routes=tuple(row for row in ordered if isinstance(row, RouteRow)),
        pools=tuple(row for row in ordered if isinstance(row, PoolRow)),
    )


def _chunks(text: str) -> Iterator[_Chunk]:
    title = ''
    lines: list[str] = []
    for line in text.splitlines():
        if not line.startswith('['):
            lines.append(line)
            continue
        yield from _chunk(title, lines)
        title = _title(line.strip())
        lines = []
    yield from _chunk(title, lines)


def _title(header: str) -> str:
    return header[1:-1] if header.endswith(']') else header


def _chunk(title: str, lines: list[str]) -> Iterator[_Chunk]:
    settings = [line for line in lines if not _is_comment(line)]
    if title or any(settings):
        yield _Chunk(title, '\n'.join(settings))


def _is_comment(line: str) -> bool:
    return not line.strip() or line.lstrip().startswith(('#', ';'))


def _read_section(chunk: _Chunk, source: str) -> Row | TableFaults:
    title = _TITLE.match(chunk.title)
    if title is None:
        fault = _title_fault(source, chunk.title, 'is no known section')
        return TableFaults((fault,))
    faults = _duplicate_keys(chunk, source)
    settings = _read_settings(chunk, source)
    if isinstance(settings, TableFault):
        return TableFaults((*faults, settings))
    model = _MODELS[title.group('kind')]
    try:
        section = model.model_validate(settings)
    except ValidationError as error:
        found = _section_faults(chunk, source, model, error)
        return TableFaults((*faults, *found))
    if faults:
        return TableFaults(faults)
    return section.to_row(title.group('name'))


def _duplicate_keys(chunk: _Chunk, source: str) -> tuple[TableFault, ...]:
    keys = collections.Counter(_SETTING.findall(chunk.text))
    return tuple(
        TableFault(source, chunk.title, key, _TWICE, 'each key once')
        for key, count in keys.items()
        if count > 1
    )


def _read_settings(chunk: _Chunk, source: str) -> dict[str, str] | TableFault:
    parser = configparser.RawConfigParser(delimiters=('=',), strict=False)
    parser.optionxform = str
    try:
        parser.read_string(f'[section]\n{chunk.text}')
    except configparser.ParsingError as error:
        lines = ', '.join(text for _, text in error.errors)
        return TableFault(
            source,
            chunk.title,
            '',
            f'has lines that are no setting: {lines}',
            'lines "KEY = VALUE"',
        )
    return dict(parser['section'])


def _section_faults(
    chunk: _Chunk,
    source: str,
    model: table_models.SectionModel,
    error: ValidationError,
) -> tuple[TableFault, ...]:
    return tuple(
        TableFault(
            source,
            chunk.title,
            fault.key,
            fault.problem,
            table_models.allowed_text(model, fault.key),
        )
        for fault in table_models.key_faults(error)
    )


def _title_fault(source: str, title: str, problem: str) -> TableFault:
    allowed = _TITLE_RULE
    if not title:
        problem = 'has settings above its first section'
    elif title.startswith('['):
        title = title.removeprefix('[')
        problem = 'lacks the closing "]"'
    elif problem == _TWICE:
        allowed = 'each section once'
    return TableFault(source, title, '', problem, allowed)
