"""Services that decide on a call before it is sent to a target."""

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
class CallServices:
    """Services that decide on a call, besides its claim.

    :param router: chooses the targets.
    :param gate: admits calls to their pool.
    :param quarantine: detects the requests that crash targets.
    """

    router: Router
    gate: AdmissionGate
    quarantine: QuarantineService

    @classmethod
    def from_kernel(cls, kernel: Kernel) -> Self:
        """Return the services that are registered in a kernel."""
        return cls(
            kernel.find(ROUTER, Router),
            kernel.find(ADMISSION, AdmissionGate),
            kernel.find(QUARANTINE, QuarantineService),
        )

    @classmethod
    def new(cls, clock: Clock, targets: TargetDirectory) -> Self:
        """Create new services that are not shared."""
        router = Router(clock, targets, RouterOptions())
        return cls(
            router,
            AdmissionGate(clock, router, seed=0),
            QuarantineService(clock),
        )
