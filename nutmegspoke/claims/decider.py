"""Decides which daemon may run a call that must not run twice.

A daemon claims a call by inserting a row into the table service, on the
condition that the row is absent or released. Only the daemon whose insert took
effect runs the call. It then replaces the row by one with the outcome, or
releases it if the call did not run.
"""

from __future__ import annotations

import dataclasses
import logging

from nutmegspoke import metadata_store, outcomes
from nutmegspoke.claims import replies, rows
from nutmegspoke.claims.held import OpenClaim, Phase
from nutmegspoke.claims.pending import PendingWrites
from nutmegspoke.claims.share import ShareSettings, WriteShare
from nutmegspoke.claims.steps import (
    Answer,
    ClaimRequest,
    CommitClaim,
    DaemonLiveness,
    Proceed,
    ReadClaim,
    Step,
)
from nutmegspoke.errors import BrokenInvariantError

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimLimits:
    """Limits of the claim decider.

    :param max_age_s: age in seconds, counted from the receipt of the request,
        above which the claim is not inserted and the call is not sent.
    :param max_inserts: maximum number of attempts to insert a claim row.
    :param max_open: largest number of open claims of this daemon.
    :param max_body_bytes: size in bytes above which an answer is not stored.
    :param retry_s: first wait between two background writes of a claim, in
        seconds; it doubles with each write.
    :param max_retry_s: longest wait between two background writes of a
        claim, in seconds.
    :param write_limit: limits of the writes for claims.
    """

    max_age_s: float = 10.0
    max_inserts: int = 3
    max_open: int = 4096
    max_body_bytes: int = 65_536
    retry_s: float = 0.2
    max_retry_s: float = 5.0
    write_limit: ShareSettings = ShareSettings()


class ClaimDecider:
    """State machine that claims calls and stores their outcomes.

    The decider does no I/O. It returns steps; the code that uses it carries
    out each one and reports the result: that of a ``CommitClaim`` to
    :meth:`handle_insert_result`, that of a ``ReadClaim`` to
    :meth:`handle_row`. The claim is decided when a step is ``Proceed`` or
    ``Answer``.
    """

    def __init__(
        self,
        daemon: str,
        liveness: DaemonLiveness,
        limits: ClaimLimits,
    ) -> None:
        """Create a decider without claims.

        :param daemon: name of this process in its claim rows; no earlier
            process may have used it.
        :param liveness: reports which daemons are alive.
        :param limits: limits of the decider.
        """
        self._share = WriteShare(limits.write_limit)
        self._daemon = daemon
        self._liveness = liveness
        self._limits = limits
        self._open: dict[str, OpenClaim] = {}
        self._pending = PendingWrites(limits.retry_s, limits.max_retry_s)
        self._reader = replies.RowReader(daemon, liveness)

    @property
    def open_count(self) -> int:
        """Return the number of open claims of this daemon."""
        return len(self._open)

    def begin(self, request: ClaimRequest, now_s: float) -> Step:
        """Return the first step of claiming a call.

        :param request: the call.
        :param now_s: current time on the daemon's clock, in seconds.
        """
        claim = self._open.get(request.key)
        if claim is not None:
            return Answer(replies.reply_for_open_claim(claim, request))
        # A claim that may have been written stays open until its outcome or
        # its release is stored, so open claims accumulate if the table
        # service does not answer.
        if len(self._open) >= self._limits.max_open:
            return Answer(replies.store_unavailable())
        self._share.set_daemon_count(self._liveness.daemon_count(now_s))
        refusal = self._share.refusal(now_s)
        if refusal is not None:
            return Answer(refusal)
        claim = OpenClaim.from_request(request, self._daemon)
        self._open[request.key] = claim
        return self._insert(claim, now_s)

    def handle_insert_result(
        self,
        key: str,
        commit: metadata_store.CommitResult,
        now_s: float,
    ) -> Step:
        """Process the result of an insert and return the next step.

        :param key: key of the claim row.
        :param commit: result that the table service returned.
        :param now_s: current time on the daemon's clock, in seconds.
        """
        claim = self._find(key, Phase.INSERTING)
        match commit:
            case metadata_store.Committed():
                claim.may_be_written = True
                written = metadata_store.find_row(key, commit.rows)
                if written is None:
                    return ReadClaim(key)
                return self._mark_held(claim, written.version)
            case metadata_store.Conflict():
                found = metadata_store.find_row(key, commit.rows)
                if found is None:
                    return ReadClaim(key)
                return self._handle_found_row(claim, found, now_s)
            case metadata_store.InDoubt():
                claim.may_be_written = True
                return ReadClaim(key)
            case metadata_store.Unavailable():
                return self._refuse(claim, replies.store_unavailable(), now_s)

    def handle_row(
        self,
        key: str,
        found: metadata_store.StoredRow | metadata_store.Unavailable,
        now_s: float,
    ) -> Step:
        """Process the row that was read after an insert.

        The row is read if the insert is in doubt, or if its result, a commit
        or a conflict, does not include the row. If the row still has the version from before the insert, the insert
        may be delayed and take effect later. It is sent again with the same
        condition, so that at most one of the two takes effect.

        :param key: key of the claim row.
        :param found: the row, or ``Unavailable`` if it could not be read.
        :param now_s: current time on the daemon's clock, in seconds.
        """
        claim = self._find(key, Phase.INSERTING)
        if isinstance(found, metadata_store.Unavailable):
            return self._refuse(claim, replies.store_unavailable(), now_s)
        if found.version == claim.version:
            return self._insert(claim, now_s)
        return self._handle_found_row(claim, found, now_s)

    def dispatch(self, key: str, now_s: float) -> Step:
        """Permit sending the call to the target, unless its claim is too old.

        If permitted, the claim enters the phase ``DISPATCHED``.

        :param key: key of the claim row.
        :param now_s: current time in seconds, read after the connection to
            the target is open.
        :returns: ``Proceed``, or ``Answer`` if the claim is too old.
        """
        claim = self._find(key, Phase.HELD, Phase.DISPATCHED)
        if claim.age_s(now_s) > self._limits.max_age_s:
            return Answer(replies.claim_stale())
        claim.phase = Phase.DISPATCHED
        return Proceed()

    def finish(
        self,
        key: str,
        outcome: outcomes.Outcome,
        now_s: float,
    ) -> None:
        """Record the outcome of the call; its write becomes due.

        The claim of a call that did not run is released.

        :param key: key of the claim row.
        :param outcome: outcome that the caller receives.
        :param now_s: current time on the daemon's clock, in seconds.
        """
        claim = self._find(key, Phase.HELD, Phase.DISPATCHED)
        if isinstance(outcome, outcomes.NotRun):
            self._release(claim, now_s)
            return
        stored = rows.to_stored(outcome, self._limits.max_body_bytes)
        claim.save(outcome, stored, now_s)
        self._pending.add(claim)

    def due_writes(self, now_s: float) -> tuple[CommitClaim, ...]:
        """Return the outcome writes and releases to send now.

        The result of each must be reported to :meth:`handle_write_result`;
        until then it is not due again.
        """
        pending = self._pending.due(now_s)
        for _ in pending:
            self._share.spend(now_s)
        return pending

    def next_due_s(self) -> float | None:
        """Return the time of the next due write in seconds; ``None`` for never."""
        return self._pending.next_due_s()

    def handle_write_result(
        self,
        key: str,
        commit: metadata_store.CommitResult,
        now_s: float,
    ) -> None:
        """Process the result of an outcome write or a release.

        :param key: key of the claim row.
        :param commit: result that the table service returned.
        :param now_s: current time on the daemon's clock, in seconds.
        """
        if self._pending.settle(key, commit, now_s):
            self._open.pop(key)

    def _insert(self, claim: OpenClaim, now_s: float) -> Step:
        is_too_old = claim.age_s(now_s) > self._limits.max_age_s
        if is_too_old or claim.insert_count >= self._limits.max_inserts:
            return self._refuse(claim, replies.store_unavailable(), now_s)
        claim.insert_count += 1
        self._share.spend(now_s)
        return claim.write()

    def _handle_found_row(
        self,
        claim: OpenClaim,
        found: metadata_store.StoredRow,
        now_s: float,
    ) -> Step:
        row = rows.decode_claim(found.body) if found.version else None
        if row is not None and row.nonce == claim.row.nonce:
            return self._handle_own_row(claim, row, found.version, now_s)
        if found.version == metadata_store.ABSENT_VERSION or (
            row is not None and row.state is rows.ClaimState.RELEASED
        ):
            # If the version has changed, the condition of earlier inserts can
            # no longer hold, so they can't take effect.
            claim.may_be_written &= claim.version == found.version
            claim.version = found.version
            return self._insert(claim, now_s)
        self._remove(claim)
        return Answer(self._reader.reply(claim.request, row, now_s))

    def _handle_own_row(
        self,
        claim: OpenClaim,
        row: rows.ClaimRow,
        version: int,
        now_s: float,
    ) -> Step:
        if row.state is rows.ClaimState.INSERTED:
            return self._mark_held(claim, version)
        self._remove(claim)
        return Answer(self._reader.reply(claim.request, row, now_s))

    def _mark_held(self, claim: OpenClaim, version: int) -> Step:
        claim.version = version
        claim.phase = Phase.HELD
        logger.info(
            'claims: claim inserted request=%s key=%s',
            claim.request.request_id,
            claim.request.key,
        )
        return Proceed()

    def _refuse(
        self,
        claim: OpenClaim,
        refusal: outcomes.NotRun,
        now_s: float,
    ) -> Step:
        if claim.may_be_written:
            self._release(claim, now_s)
        else:
            self._remove(claim)
        logger.info(
            'claims: call refused request=%s reason=%s',
            claim.request.request_id,
            refusal.reason,
        )
        return Answer(refusal)

    def _release(self, claim: OpenClaim, now_s: float) -> None:
        claim.release(now_s)
        self._pending.add(claim)

    def _remove(self, claim: OpenClaim) -> None:
        self._open.pop(claim.request.key)

    def _find(self, key: str, *phases: Phase) -> OpenClaim:
        claim = self._open.get(key)
        if claim is None or claim.phase not in phases:
            raise BrokenInvariantError(f'claim {key} is not in phase {phases}')
        return claim
