"""Create the step carrier that the settings name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.border.engine_client import RelayCarrier
from nutmegspoke.border.http_sessions import NAME as SESSIONS
from nutmegspoke.border.http_sessions import HttpSessions
from nutmegspoke.border.pass_on import PassOnCarrier

if TYPE_CHECKING:
    from nutmegspoke.application import Application
    from nutmegspoke.pipelines.carrier import StepCarrier


def new_carrier(app: Application) -> StepCarrier:
    """Return a new carrier: ``pass_on``, or ``relay`` by default."""
    sessions = app.kernel.find(SESSIONS, HttpSessions)
    if app.settings.routing.carrier == 'pass_on':
        return PassOnCarrier(sessions.targets, sessions.fresh)
    return RelayCarrier(sessions.targets, sessions.fresh)
