"""Parser of the scenario language, which has one command per line."""

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

    :param verb: name of the command.
    :param arguments: positional arguments.
    :param options: named arguments.
    :param line: line number in the scenario file, from 1.
    """

    verb: str
    arguments: tuple[str, ...]
    options: dict[str, str]
    line: int


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A parsed scenario file.

    :param name: file name without its suffix.
    :param proves: name of the proof that it belongs to, such as
        ``promise-4``.
    :param commands: commands in the order in which they run.
    """

    name: str
    proves: str
    commands: tuple[Command, ...]


class _Builder(lark.Transformer):
    def option(self, parts):
        return str(parts[0]), str(parts[1]).strip('"')

    def line(self, parts):
        arguments = [part for part in parts[1:] if not isinstance(part, tuple)]
        options = dict(part for part in parts[1:] if isinstance(part, tuple))
        return Command(
            str(parts[0]),
            tuple(str(argument).strip('"') for argument in arguments),
            options,
            parts[0].line,
        )

    def start(self, commands):
        return tuple(commands)


def read_scenario(path: pathlib.Path) -> Scenario:
    """Read a scenario file.

    :raises AssertionError: if the first command is not ``proves NAME``.
    """
    text = path.read_text('utf-8').rstrip() + '\n'
    header, *commands = _Builder().transform(_parser.parse(text))
    assert header.verb == 'proves', path
    return Scenario(path.stem, header.arguments[0], tuple(commands))


def read_all_scenarios() -> list[Scenario]:
    """Return the scenarios of this folder, sorted by file name."""
    folder = pathlib.Path(__file__).parent
    return [read_scenario(path) for path in sorted(folder.glob('*.scenario'))]
