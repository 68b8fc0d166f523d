"""The services that a call passes on its way to a target."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Self

from nutmegspoke.border.admission_gate import NAME as ADMISSION
from nutmegspoke.border.admission_gate import AdmissionGate
from nutmegspoke.border.quarantine import NAME as QUARANTINE
from nutmegspoke.border.quarantine import QuarantineService
from nutmegspoke.border.router import NAME as ROUTER
from nutmegspoke.border.router import Router, RouterOptions

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.kernel import Kernel
    from nutmegspoke.targets import TargetDirectory


@dataclasses.dataclass(frozen=True, slots=True)
class CallParts:
    """What decides on a call besides its claim.

    :param router: chooses the targets.
    :param gate: lets calls into their pool.
    :param quarantine: knows the requests that crash targets.
    """

    router: Router
    gate: AdmissionGate
    quarantine: QuarantineService

    @classmethod
    def from_kernel(cls, kernel: Kernel) -> Self:
        """Find the daemon's services."""
        return cls(
            kernel.find(ROUTER, Router),
            kernel.find(ADMISSION, AdmissionGate),
            kernel.find(QUARANTINE, QuarantineService),
        )

    @classmethod
    def new(cls, clock: Clock, targets: TargetDirectory) -> Self:
        """Create services that nothing else uses."""
        router = Router(clock, targets, RouterOptions())
        return cls(
            router,
            AdmissionGate(clock, router, seed=0),
            QuarantineService(clock),
        )
