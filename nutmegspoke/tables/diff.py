"""Differences between rows, for people to read."""

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
    """The change of one setting of a row.

    :param key: key of the setting.
    :param before: text before; empty if the row was added.
    :param after: text after; empty if the row was removed.
    """

    key: str
    before: str
    after: str


@dataclasses.dataclass(frozen=True, slots=True)
class SectionChange:
    """The change of one row.

    :param section: title of its section.
    :param kind: ``added``, ``changed`` or ``removed``.
    :param settings: the settings that differ.
    """

    section: str
    kind: str
    settings: tuple[SettingChange, ...]

    def __str__(self) -> str:
        """Return the change as lines of text."""
        lines = [f'[{self.section}] {self.kind}']
        for setting in self.settings:
            lines.extend(_setting_lines(setting))
        return '\n'.join(lines)


def section_changes(rows: Iterable[RowChange]) -> tuple[SectionChange, ...]:
    """Return the changes of rows setting by setting."""
    return tuple(_section_change(row) for row in rows)


def _section_change(row: RowChange) -> SectionChange:
    before = _settings(row.key, row.before)
    after = _settings(row.key, row.after)
    settings = tuple(
        SettingChange(
            key,
            before.get(key, _fallback(row.before)),
            after.get(key, _fallback(row.after)),
        )
        for key in sorted({*before, *after})
        if before.get(key) != after.get(key)
    )
    section = row.key.replace('/', ' ', 1)
    return SectionChange(section, row.kind.value, settings)


def _settings(key: str, body: bytes | None) -> dict[str, str]:
    if body is None:
        return {}
    row = codec.decode_row(key, body)
    return text.row_settings(row) if row else {}


def _fallback(body: bytes | None) -> str:
    return _ABSENT if body is None else _DEFAULT


def _setting_lines(setting: SettingChange) -> Iterable[str]:
    if '\n' in f'{setting.before}{setting.after}':
        yield f'  {setting.key}'
        yield from _entry_lines('-', setting.before, setting.after)
        yield from _entry_lines('+', setting.after, setting.before)
        return
    if setting.before:
        yield f'  - {setting.key} = {setting.before}'
    if setting.after:
        yield f'  + {setting.key} = {setting.after}'


def _entry_lines(sign: str, shown: str, other: str) -> Iterable[str]:
    others = other.split('\n')
    for line in shown.split('\n'):
        if line and line not in others:
            yield f'    {sign} {line.strip()}'
