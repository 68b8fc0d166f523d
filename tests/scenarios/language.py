"""The scenario language: one command a line, parsed by lark."""

from __future__ import annotations

import dataclasses
import pathlib

import lark

_GRAMMAR = r"""
start: (_NL | line _NL)*
line: WORD (option | WORD | STRING)*
option: NAME "=" (WORD | STRING)
NAME: /[a-z_]+(?==)/
WORD: /[^\s"=#]+/
STRING: /"[^"]*"/
COMMENT: /#[^\n]*/
_NL: /\n+/
%ignore /[ \t]+/
%ignore COMMENT
"""
_parser = lark.Lark(_GRAMMAR, parser='lalr')


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """One line of a scenario.

    :param verb: what to do.
    :param words: its arguments in order.
    :param options: its named arguments.
    :param line: number of the line.
    """

    verb: str
    words: tuple[str, ...]
    options: dict[str, str]
    line: int


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A scenario.

    :param name: name of its file.
    :param proves: what it proves, such as ``promise-4``.
    :param commands: what happens, in order.
    """

    name: str
    proves: str
    commands: tuple[Command, ...]


class _Builder(lark.Transformer):
    def option(self, parts):
        return str(parts[0]), str(parts[1]).strip('"')

    def line(self, parts):
        words = [part for part in parts[1:] if not isinstance(part, tuple)]
        options = dict(part for part in parts[1:] if isinstance(part, tuple))
        return Command(
            str(parts[0]),
            tuple(str(word).strip('"') for word in words),
            options,
            parts[0].line,
        )

    def start(self, commands):
        return tuple(commands)


def read_scenario(path: pathlib.Path) -> Scenario:
    """Read a scenario; its first command is ``proves WHAT``."""
    text = path.read_text('utf-8').rstrip() + '\n'
    first, *commands = _Builder().transform(_parser.parse(text))
    assert first.verb == 'proves', path
    return Scenario(path.stem, first.words[0], tuple(commands))


def all_scenarios() -> list[Scenario]:
    """Return the scenarios of this folder, in order of their names."""
    folder = pathlib.Path(__file__).parent
    return [read_scenario(path) for path in sorted(folder.glob('*.scenario'))]
