"""Rows that another writer may have left among those of targets and daemons."""

from __future__ import annotations

import json
from typing import Any

_DEPTH = 100_000
_BYTES: dict[str, bytes] = {
    'empty': b'',
    'no JSON': b'hello',
    'not UTF-8': b'\xff\xfe{"ip":"\xc3"}',
    'cut short': b'{"ip": "127.0.0.1", ',
    'null': b'null',
    'list': b'[]',
    'number': b'7',
    'number too large': b'1e400',
    'deep list': b'[' * _DEPTH,
    'deep whole list': b'[' * _DEPTH + b']' * _DEPTH,
    'deep field': b'{"a":' * _DEPTH + b'1' + b'}' * _DEPTH,
}


def _changed(row: dict[str, Any], *numbers: str) -> dict[str, bytes]:
    """Return a row with one field changed or missing in each variant.

    :param numbers: names of the fields that hold numbers.
    """
    variants: dict[str, dict[str, Any]] = {
        'a list for a text': {next(iter(row)): ['x']},
        'a text that is no address': {'ip': 'nowhere', 'address': 'nowhere'},
        'an empty address': {'ip': '', 'address': ''},
        'an address of another family': {'ip': '::1', 'address': '[::1]:80'},
    }
    for port in (-1, 0, 65_536, 10**30):
        variants[f'port {port}'] = {
            'port': port,
            'address': f'127.0.0.1:{port}',
        }
    rows = {
        name: json.dumps({**row, **change}).encode()
        for name, change in variants.items()
    }
    for field in tuple(row)[:2]:
        rest = {name: text for name, text in row.items() if name != field}
        rows[f'without {field}'] = json.dumps(rest).encode()
    for field in numbers:
        encoded = json.dumps({**row, field: 'x'}).encode()
        rows[f'a number too large: {field}'] = encoded.replace(b'"x"', b'1e400')
    return rows


def odd_daemon_rows() -> dict[str, bytes]:
    """Return rows of daemons that name no address to send to."""
    row = {'ip': '127.0.0.1', 'port': 7340, 'zone': 'a'}
    return _BYTES | _changed(row, 'port')


def odd_target_rows() -> dict[str, bytes]:
    """Return rows of targets that name no engine to use."""
    row = {
        'service': 'records',
        'address': '127.0.0.1:8080',
        'zone': 'a',
        'state': 'ready',
    }
    return _BYTES | _changed(row, 'slots', 'born')
