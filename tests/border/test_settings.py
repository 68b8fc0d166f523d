"""Tests of the daemon's settings."""

from __future__ import annotations

import pathlib
import tempfile
import unittest

from nutmegspoke.border.settings import Settings, read_secret
from nutmegspoke.errors import SettingsError

_VALID_FILE = """\
[daemon]
name = d1
availability_zone = pnw-a
host_address = 127.0.0.1
callers_port = 8000
operators_port = 8001
peers_port = 8002
[platform]
table_service_url = http://127.0.0.1:9000
object_store_url = http://127.0.0.1:9000
host_list_url = http://127.0.0.1:9000
weight_store_url = http://127.0.0.1:9000
[secrets]
operators_token = env:TOKEN
peers_key = env:KEY
"""
_BROKEN_FILES = (
    ('name = d1', 'name = d 1', '[daemon] name: '),
    ('host_address = 127.0.0.1', 'host_address = here', 'IPv4 or IPv6'),
    ('callers_port = 8000', 'callers_port = 0', 'greater than or equal to 1'),
    ('peers_port = 8002', 'peers_port = many', 'valid integer'),
    ('name = d1\n', '', '[daemon] name: missing key'),
    ('[secrets]', '[secret]', '[secret]: unknown section'),
    ('peers_key = env:KEY', 'peers_key = sesame', "pattern '^(env|file):"),
    ('[platform]', '[platform]\nretries = 3', 'retries: unknown key'),
    ('[platform]', '[platform]\ntimeout_s = 0', 'greater than 0'),
    (
        'host_list_url = http://127.0.0.1:9000',
        'host_list_url = ftp',
        '[platform] host_list_url: ',
    ),
    ('[secrets]', '[stop]\nnotice_s = -1\n[secrets]', 'notice_s: '),
    ('[secrets]', '[log]\nlevel = LOUD\n[secrets]', "'DEBUG', 'INFO'"),
    ('[secrets]', '[routing]\npolicy = best\n[secrets]', "'flow', 'random'"),
)


def _load(text: str) -> Settings:
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory, 'daemon.ini')
        path.write_text(text, 'utf-8')
        return Settings.from_file(path)


class SettingsTest(unittest.TestCase):
    """Each fault is reported with section, key and allowed values."""

    def test_takes_a_good_file(self) -> None:
        """Optional sections have defaults."""
        settings = _load(_VALID_FILE)
        self.assertEqual(settings.daemon.callers_port, 8000)
        self.assertEqual(settings.log.level, 'INFO')

    def test_names_each_fault(self) -> None:
        """Each broken file has one fault."""
        for old, new, message in _BROKEN_FILES:
            with (
                self.subTest(message),
                self.assertRaises(SettingsError) as context,
            ):
                _load(_VALID_FILE.replace(old, new))
            self.assertIn(message, str(context.exception))
            self.assertIn('daemon.ini', str(context.exception))

    def test_names_all_faults_in_one_message(self) -> None:
        """An operator can correct a file in one pass."""
        broken = _VALID_FILE.replace('8000', 'x').replace('8001', 'y')
        with self.assertRaises(SettingsError) as context:
            _load(broken)
        self.assertEqual(len(context.exception.faults), 2)

    def test_refuses_a_file_that_is_missing_or_no_ini(self) -> None:
        """The message names the file."""
        with self.assertRaisesRegex(SettingsError, 'nowhere.ini'):
            Settings.from_file(pathlib.Path('nowhere.ini'))
        with self.assertRaisesRegex(SettingsError, 'no section headers'):
            _load('name = d1')

    def test_two_ports_may_not_be_the_same(self) -> None:
        """Two servers can't listen on the same port."""
        with self.assertRaisesRegex(SettingsError, 'ports must differ'):
            _load(_VALID_FILE.replace('8001', '8000'))

    def test_operators_page_names_every_key(self) -> None:
        """Guards against undocumented settings."""
        page = pathlib.Path(__file__).parents[2] / 'docs' / 'operators.md'
        text = page.read_text('utf-8')
        for section, field in Settings.model_fields.items():
            self.assertIn(f'`{section}`', text)
            for key in field.annotation.model_fields:
                self.assertIn(f'`{key}`', text)

    def test_secret_never_shows_in_an_error(self) -> None:
        """A short secret is refused without being shown."""
        with tempfile.NamedTemporaryFile('w', suffix='.key') as file:
            file.write('sesame')
            file.flush()
            with self.assertRaises(SettingsError) as context:
                read_secret(f'file:{file.name}')
        self.assertNotIn('sesame', str(context.exception))
