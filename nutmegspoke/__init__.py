"""A router for model pipelines and record services over mixed accelerators."""

from __future__ import annotations

__version__ = '0.1.0'
