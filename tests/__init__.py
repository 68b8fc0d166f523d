"""Tests of nutmegspoke."""

from __future__ import annotations

import logging

# Without a handler, warnings and errors would be printed to stderr.
logging.getLogger().addHandler(logging.NullHandler())
