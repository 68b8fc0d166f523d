"""A router for model pipelines and record services over mixed accelerators.

Two daemons share the packages that decide. ``nutmegspoked``, whose input and
output are in ``border``, is configured by tables of routes and pools. The
entry-host daemon, in ``edge`` with ``platform`` as its adapter, runs on the
users' platform.
"""

from __future__ import annotations

__version__ = '0.1.0'
