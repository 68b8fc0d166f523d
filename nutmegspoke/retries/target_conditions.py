"""What targets say of themselves: pauses, limits on requests, departures."""

from __future__ import annotations

from nutmegspoke.retries.target_departures import TargetDepartures
from nutmegspoke.retries.target_limits import TargetLimits
from nutmegspoke.retries.target_pauses import TargetPauses


class TargetConditions:
    """Conditions under which targets may be sent requests.

    :ivar pauses: targets that have asked this host for a pause.
    :ivar limits: limits that targets have named to this host or others.
    :ivar departures: targets that have said to any host that they leave.
    """

    def __init__(self) -> None:
        """Start without conditions."""
        self.pauses = TargetPauses()
        self.limits = TargetLimits()
        self.departures = TargetDepartures()

    def sent(self, target: str, now_s: float) -> None:
        """Count a request that is sent to a target."""
        self.pauses.sent(target)
        self.limits.sent(target, now_s)
