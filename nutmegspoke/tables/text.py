"""Formats rows as text in the syntax of the tables file."""

from __future__ import annotations

import dataclasses

from nutmegspoke.tables.rows import RouteRow, Row, Tables, TeamShare

_ENTRY_INDENT = '\n    '


def section_title(row: Row) -> str:
    """Return the section title of a row, ``KIND NAME``."""
    kind = 'route' if isinstance(row, RouteRow) else 'pool'
    return f'{kind} {row.name}'


def format_setting(setting: object) -> str:
    """Return a field of a row as text, with one line for each entry."""
    match setting:
        case bool():
            return 'yes' if setting else 'no'
        case tuple():
            return ''.join(
                f'{_ENTRY_INDENT}{_format_entry(entry)}' for entry in setting
            )
        case float():
            return f'{setting!r}'.removesuffix('.0')
        case _:
            return str(setting)


def row_settings(row: Row) -> dict[str, str]:
    """Return the settings of a row that differ from the defaults, as text."""
    return {
        field.name: format_setting(getattr(row, field.name))
        for field in dataclasses.fields(row)
        if field.name != 'name' and getattr(row, field.name) != field.default
    }


def section_text(row: Row) -> str:
    """Return a row as a section of a tables file."""
    lines = [f'[{section_title(row)}]']
    for key, text in row_settings(row).items():
        separator = '' if text.startswith('\n') else ' '
        lines.append(f'{key} ={separator}{text}')
    return ''.join(f'{line}\n' for line in lines)


def tables_text(tables: Tables) -> str:
    """Return both tables as the text of a tables file."""
    sections = map(section_text, (*tables.routes, *tables.pools))
    return '\n'.join((f'# revision {tables.revision}\n', *sections))


def _format_entry(entry: object) -> str:
    if not isinstance(entry, TeamShare):
        return str(entry)
    weight = format_setting(entry.weight)
    return f'{entry.team} weight={weight} max_in_flight={entry.max_in_flight}'
