"""Tests of nutmegspoke."""

from __future__ import annotations

import logging

logging.getLogger().addHandler(logging.NullHandler())
