"""The daemon, ``nutmegspoked``."""

from __future__ import annotations
