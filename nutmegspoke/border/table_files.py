"""Parses the tables of routes and pools from an INI file."""

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

_TITLE_PATTERN = re.compile(
    '^(?P<kind>route|pool) (?P<name>[a-z0-9][a-z0-9._-]*)$'
)
_DUPLICATE = 'appears twice'
_KEY_PATTERN = re.compile(r'^([^\s=][^=\n]*?)\s*=', re.MULTILINE)
_MODELS = {  # noqa: WPS407 -- read only
    'route': table_models.RouteModel,
    'pool': table_models.PoolModel,
}
_TITLE_RULE = (
    '[route NAME] or [pool NAME], NAME of small letters, digits, ".", "_", "-"'
)


@dataclasses.dataclass(frozen=True, slots=True)
class _SectionText:
    """Title and text of one section; comments are removed."""

    title: str
    text: str


def read_tables(text: str, source: str) -> Tables | TableFaults:
    """Parse a tables file.

    :param text: content of the file.
    :param source: name of the file, used in faults.
    :returns: the tables at revision 0, or every fault of the file.
    """
    rows: list[Row] = []
    faults: list[TableFault] = []
    titles: set[str] = set()
    for section_text in _split_sections(text):
        if section_text.title in titles:
            faults.append(_title_fault(source, section_text.title, _DUPLICATE))
        titles.add(section_text.title)
        result = _read_section(section_text, source)
        if isinstance(result, TableFaults):
            faults.extend(result.faults)
        else:
            rows.append(result)
    if faults:
        return TableFaults(tuple(faults))
    return _build_tables(rows)


def _build_tables(rows: list[Row]) -> Tables:
    ordered = sorted(rows, key=lambda row: row.name)
    return Tables(
        routes=tuple(row for row in ordered if isinstance(row, RouteRow)),
        pools=tuple(row for row in ordered if isinstance(row, PoolRow)),
    )


def _split_sections(text: str) -> Iterator[_SectionText]:
    title = ''
    lines: list[str] = []
    for line in text.splitlines():
        if not line.startswith('['):
            lines.append(line)
            continue
        yield from _build_section(title, lines)
        title = _parse_title(line.strip())
        lines = []
    yield from _build_section(title, lines)


def _parse_title(header: str) -> str:
    return header[1:-1] if header.endswith(']') else header


def _build_section(title: str, lines: list[str]) -> Iterator[_SectionText]:
    settings = [line for line in lines if not _is_comment(line)]
    if title or any(settings):
        yield _SectionText(title, '\n'.join(settings))


def _is_comment(line: str) -> bool:
    return not line.strip() or line.lstrip().startswith(('#', ';'))


def _read_section(section_text: _SectionText, source: str) -> Row | TableFaults:
    title = _TITLE_PATTERN.match(section_text.title)
    if title is None:
        fault = _title_fault(source, section_text.title, 'is no known section')
        return TableFaults((fault,))
    faults = _duplicate_keys(section_text, source)
    settings = _read_settings(section_text, source)
    if isinstance(settings, TableFault):
        return TableFaults((*faults, settings))
    model = _MODELS[title.group('kind')]
    try:
        section = model.model_validate(settings)
    except ValidationError as error:
        result = _section_faults(section_text, source, model, error)
        return TableFaults((*faults, *result))
    if faults:
        return TableFaults(faults)
    return section.to_row(title.group('name'))


def _duplicate_keys(
    section_text: _SectionText, source: str
) -> tuple[TableFault, ...]:
    keys = collections.Counter(_KEY_PATTERN.findall(section_text.text))
    return tuple(
        TableFault(source, section_text.title, key, _DUPLICATE, 'each key once')
        for key, count in keys.items()
        if count > 1
    )


def _read_settings(
    section_text: _SectionText, source: str
) -> dict[str, str] | TableFault:
    parser = configparser.RawConfigParser(delimiters=('=',), strict=False)
    parser.optionxform = str
    try:
        parser.read_string(f'[section]\n{section_text.text}')
    except configparser.ParsingError as error:
        lines = ', '.join(text for _, text in error.errors)
        return TableFault(
            source,
            section_text.title,
            '',
            f'has lines that are no setting: {lines}',
            'lines "KEY = VALUE"',
        )
    return dict(parser['section'])


def _section_faults(
    section_text: _SectionText,
    source: str,
    model: table_models.SectionModel,
    error: ValidationError,
) -> tuple[TableFault, ...]:
    return tuple(
        TableFault(
            source,
            section_text.title,
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
    elif problem == _DUPLICATE:
        allowed = 'each section once'
    return TableFault(source, title, '', problem, allowed)
