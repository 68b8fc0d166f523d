"""Typed messages to and from the claim decider."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from nutmegspoke.outcomes import Outcome
    from nutmegspoke.metadata_store import Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A call that needs a claim.

    :param key: key of its claim row.
    :param fingerprint: digest of the call.
    :param request_id: id of the request.
    :param nonce: unique text that names this attempt at the claim.
    :param started_s: when the request came, on the daemon's clock.
    :param run_limit_s: the longest time that a call of this route can run.
    :param wall_s: present time for people to read.
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
    """Commit this transaction and report its result.

    :param key: key of the claim row.
    :param transaction: the conditional write.
    """

    key: str
    transaction: Transaction


@dataclasses.dataclass(frozen=True, slots=True)
class ReadClaim:
    """Read the claim row and report it.

    :param key: key of the claim row.
    """

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Proceed:
    """The claim is held and fresh: the next step may be taken."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Answer the caller; the call does not leave the daemon.

    :param outcome: what the caller is told.
    """

    outcome: Outcome


Step = CommitClaim | ReadClaim | Proceed | Answer


class DaemonLiveness(Protocol):
    """Knows which daemons live."""

    def is_gone(self, daemon: str, now_s: float) -> bool:
        """Tell whether a daemon is known to have ended."""

    def daemon_count(self, now_s: float) -> int:
        """Return how many daemons share the table service, with this one."""


class UnknownLiveness:
    """Knows nothing of other daemons."""

    def is_gone(self, daemon: str, now_s: float) -> bool:
        """Return ``False``: no daemon is known to have ended."""
        return False

    def daemon_count(self, now_s: float) -> int:
        """Return 1: this daemon."""
        return 1
