"""Text of rows, as the tables file writes them."""

from __future__ import annotations

import dataclasses

from nutmegspoke.tables.rows import RouteRow, Row, Tables, TeamShare

_ENTRY_INDENT = '\n    '


def section_title(row: Row) -> str:
    """Return the title of the section of a row."""
    kind = 'route' if isinstance(row, RouteRow) else 'pool'
    return f'{kind} {row.name}'


def setting_text(setting: object) -> str:
    """Return a field of a row as text, entries on lines of their own."""
    match setting:
        case bool():
            return 'yes' if setting else 'no'
        case tuple():
            return ''.join(
                f'{_ENTRY_INDENT}{_entry_text(entry)}' for entry in setting
            )
        case float():
            return f'{setting!r}'.removesuffix('.0')
        case _:
            return str(setting)


def row_settings(row: Row) -> dict[str, str]:
    """Return the settings of a row that differ from their defaults."""
    return {
        field.name: setting_text(getattr(row, field.name))
        for field in dataclasses.fields(row)
        if field.name != 'name' and getattr(row, field.name) != field.default
    }


def section_text(row: Row) -> str:
    """Return the section of a row."""
    lines = [f'[{section_title(row)}]']
    for key, text in row_settings(row).items():
        space = '' if text.startswith('\n') else ' '
        lines.append(f'{key} ={space}{text}')
    return ''.join(f'{line}\n' for line in lines)


def tables_text(tables: Tables) -> str:
    """Return both tables as a tables file."""
    sections = map(section_text, (*tables.routes, *tables.pools))
    return '\n'.join((f'# revision {tables.revision}\n', *sections))


def _entry_text(entry: object) -> str:
    if not isinstance(entry, TeamShare):
        return str(entry)
    weight = setting_text(entry.weight)
    return f'{entry.team} weight={weight} max_in_flight={entry.max_in_flight}'
