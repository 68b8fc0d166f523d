"""Types that the claim decider and the code that uses it exchange."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from nutmegspoke.metadata_store import Transaction
    from nutmegspoke.outcomes import Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A call that needs a claim.

    :param key: key of its claim row.
    :param fingerprint: digest of the call.
    :param request_id: id of the request.
    :param nonce: unique text that identifies this attempt at the claim.
    :param started_s: time at which the request was received, on the daemon's
        clock, in seconds.
    :param run_limit_s: longest time that a call of this route can run, in
        seconds.
    :param wall_s: wall-clock time in seconds since the epoch, for display
        only.
    """

    key: str
    fingerprint: str
    request_id: str
    nonce: str
    started_s: float
    run_limit_s: float
    wall_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CommitClaim:
    """Step: commit this transaction and report its result.

    :param key: key of the claim row.
    :param transaction: the conditional write.
    """

    key: str
    transaction: Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class ReadClaim:
    """Step: read the claim row and report it.

    :param key: key of the claim row.
    """

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Proceed:
    """Step: go on with the call; it is claimed and the claim is not too old."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Step: answer the caller; the call is not sent to a target.

    :param outcome: outcome that the caller receives.
    """

    outcome: Outcome


Step = CommitClaim | ReadClaim | Proceed | Answer


class DaemonLiveness(Protocol):
    """Reports which daemons are alive."""

    def is_gone(self, daemon: str, now_s: float) -> bool:
        """Return whether a daemon is known to have ended."""

    def daemon_count(self, now_s: float) -> int:
        """Return the number of daemons that share the table service.

        This daemon is included.
        """


class UnknownLiveness:
    """Liveness without any information about other daemons."""

    def is_gone(self, daemon: str, now_s: float) -> bool:
        """Return ``False``, as no daemon is known to have ended."""
        return False

    def daemon_count(self, now_s: float) -> int:
        """Return 1, for this daemon."""
        return 1
