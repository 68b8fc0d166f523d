"""Human-readable differences between rows."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from nutmegspoke.tables import codec, text

if TYPE_CHECKING:
    from collections.abc import Iterable

    from nutmegspoke.tables.changes import RowChange

_DEFAULT = '(default)'
_ABSENT = ''


@dataclasses.dataclass(frozen=True, slots=True)
class SettingChange:
    """A change of one setting of a row.

    :param key: key of the setting.
    :param before: previous value as text; empty if the row was added.
    :param after: new value as text; empty if the row was removed.
    """

    key: str
    before: str
    after: str


@dataclasses.dataclass(frozen=True, slots=True)
class SectionChange:
    """A change of one row.

    :param section: title of the row's section in the tables file.
    :param kind: ``added``, ``changed`` or ``removed``.
    :param settings: the settings that differ.
    """

    section: str
    kind: str
    settings: tuple[SettingChange, ...]

    def __str__(self) -> str:
        """Return the change as text, one line for each setting or entry."""
        lines = [f'[{self.section}] {self.kind}']
        for setting in self.settings:
            lines.extend(_format_setting(setting))
        return '\n'.join(lines)


def section_changes(rows: Iterable[RowChange]) -> tuple[SectionChange, ...]:
    """Return the changed settings of each row."""
    return tuple(_build_section_change(row) for row in rows)


def _build_section_change(row: RowChange) -> SectionChange:
    before = _decode_settings(row.key, row.before)
    after = _decode_settings(row.key, row.after)
    settings = tuple(
        SettingChange(
            key,
            before.get(key, _choose_placeholder(row.before)),
            after.get(key, _choose_placeholder(row.after)),
        )
        for key in sorted({*before, *after})
        if before.get(key) != after.get(key)
    )
    section = row.key.replace('/', ' ', 1)
    return SectionChange(section, row.kind.value, settings)


def _decode_settings(key: str, body: bytes | None) -> dict[str, str]:
    if body is None:
        return {}
    row = codec.decode_row(key, body)
    return text.row_settings(row) if row else {}


def _choose_placeholder(body: bytes | None) -> str:
    return _ABSENT if body is None else _DEFAULT


def _format_setting(setting: SettingChange) -> Iterable[str]:
    if '\n' in f'{setting.before}{setting.after}':
        yield f'  {setting.key}'
        yield from _format_entries('-', setting.before, setting.after)
        yield from _format_entries('+', setting.after, setting.before)
        return
    if setting.before:
        yield f'  - {setting.key} = {setting.before}'
    if setting.after:
        yield f'  + {setting.key} = {setting.after}'


def _format_entries(
    sign: str, entries: str, other_entries: str
) -> Iterable[str]:
    others = other_entries.split('\n')
    for line in entries.split('\n'):
        if line and line not in others:
            yield f'    {sign} {line.strip()}'
