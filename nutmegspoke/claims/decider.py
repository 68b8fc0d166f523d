"""Decides who may run a call that must not run twice."""

from __future__ import annotations

import dataclasses
import logging

from nutmegspoke import metadata_store, outcomes
from nutmegspoke.claims import replies, rows
from nutmegspoke.claims.held import HeldClaim, Phase
from nutmegspoke.claims.pending import PendingWrites
from nutmegspoke.claims.share import ShareSettings, WriteShare
from nutmegspoke.claims.steps import (
    Answer,
    ClaimRequest,
    CommitClaim,
    Holders,
    Proceed,
    ReadClaim,
    Step,
)
from nutmegspoke.errors import BrokenInvariantError

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimLimits:
    """Bounds of the claim decider.

    :param max_age_s: a claim older than this is not dispatched.
    :param max_inserts: inserts of one claim that are in doubt, at most.
    :param max_open: claims that this daemon works on, at most.
    :param max_body_bytes: a larger answer is not kept.
    :param retry_s: first wait between two background writes of a claim.
    :param max_retry_s: longest wait between two background writes.
    :param share: bounds of the writes for claims.
    """

    max_age_s: float = 10.0
    max_inserts: int = 3
    max_open: int = 4096
    max_body_bytes: int = 65_536
    retry_s: float = 0.2
    max_retry_s: float = 5.0
    share: ShareSettings = ShareSettings()


class ClaimDecider:
    """Takes a call from its claim to its stored outcome.

    The caller of the decider carries out each step and reports its result
    through the method of that name, until the step is ``Proceed`` or
    ``Answer``.
    """

    def __init__(
        self,
        daemon: str,
        holders: Holders,
        limits: ClaimLimits,
    ) -> None:
        """Create a decider without claims.

        :param daemon: name of this process, not used by any earlier one.
        :param holders: knows which daemons live.
        :param limits: bounds of the decider.
        """
        self._share = WriteShare(limits.share)
        self._daemon = daemon
        self._holders = holders
        self._limits = limits
        self._open: dict[str, HeldClaim] = {}
        self._pending = PendingWrites(limits.retry_s, limits.max_retry_s)
        self._reader = replies.RowReader(daemon, holders)

    @property
    def open_count(self) -> int:
        """Return the number of claims that this daemon works on."""
        return len(self._open)

    def begin(self, request: ClaimRequest, now_s: float) -> Step:
        """Start to claim a call.

        :param request: the call.
        :param now_s: present time on the daemon's clock.
        """
        held = self._open.get(request.key)
        if held is not None:
            return Answer(replies.for_local(held, request))
        if len(self._open) >= self._limits.max_open:
            return Answer(replies.store_unavailable())
        self._share.set_daemon_count(self._holders.daemon_count(now_s))
        refusal = self._share.refusal(now_s)
        if refusal is not None:
            return Answer(refusal)
        held = HeldClaim.from_request(request, self._daemon)
        self._open[request.key] = held
        return self._insert(held, now_s)

    def committed(
        self,
        key: str,
        commit: metadata_store.CommitResult,
        now_s: float,
    ) -> Step:
        """Take the result of an insert.

        :param key: key of the claim row.
        :param commit: what the table service answered.
        :param now_s: present time on the daemon's clock.
        """
        held = self._find(key, Phase.INSERTING)
        match commit:
            case metadata_store.Committed():
                held.is_doubtful = True
                written = metadata_store.find_row(key, commit.rows)
                if written is None:
                    return ReadClaim(key)
                return self._hold(held, written.version)
            case metadata_store.Conflict():
                found = metadata_store.find_row(key, commit.rows)
                if found is None:
                    return ReadClaim(key)
                return self._meet(held, found, now_s)
            case metadata_store.InDoubt():
                held.is_doubtful = True
                return ReadClaim(key)
            case metadata_store.Unavailable():
                return self._refuse(held, replies.store_unavailable(), now_s)

    def read(
        self,
        key: str,
        found: metadata_store.StoredRow | metadata_store.Unavailable,
        now_s: float,
    ) -> Step:
        """Take the row that was read after an insert in doubt.

        A row that still has the version from before the insert proves
        nothing: the write may be on its way. It is sent again with the same
        condition, so that at most one of the two takes effect.

        :param key: key of the claim row.
        :param found: the row, or that it can't be read.
        :param now_s: present time on the daemon's clock.
        """
        held = self._find(key, Phase.INSERTING)
        if isinstance(found, metadata_store.Unavailable):
            return self._refuse(held, replies.store_unavailable(), now_s)
        if found.version == held.version:
            return self._insert(held, now_s)
        return self._meet(held, found, now_s)

    def dispatch(self, key: str, now_s: float) -> Step:
        """Decide whether the call may leave now.

        :param key: key of the claim row.
        :param now_s: present time, read after the connection is there.
        :returns: ``Proceed`` or ``Answer``.
        """
        held = self._find(key, Phase.HELD, Phase.DISPATCHED)
        if held.age_s(now_s) > self._limits.max_age_s:
            return Answer(replies.claim_stale())
        held.phase = Phase.DISPATCHED
        return Proceed()

    def finish(
        self,
        key: str,
        outcome: outcomes.Outcome,
        now_s: float,
    ) -> None:
        """Take the outcome of the call; its write becomes due.

        :param key: key of the claim row.
        :param outcome: what the caller is told.
        :param now_s: present time on the daemon's clock.
        """
        held = self._find(key, Phase.HELD, Phase.DISPATCHED)
        if isinstance(outcome, outcomes.NotRun):
            self._release(held, now_s)
            return
        stored = rows.to_stored(outcome, self._limits.max_body_bytes)
        held.save(outcome, stored, now_s)
        self._pending.add(held)

    def due(self, now_s: float) -> tuple[CommitClaim, ...]:
        """Return the outcome writes and releases to send now.

        Each then waits until :meth:`settled` takes its result.
        """
        pending = self._pending.due(now_s)
        for _ in pending:
            self._share.spend(now_s)
        return pending

    def next_due_s(self) -> float | None:
        """Return when :meth:`due` has work next; ``None`` for never."""
        return self._pending.next_due_s()

    def settled(
        self,
        key: str,
        commit: metadata_store.CommitResult,
        now_s: float,
    ) -> None:
        """Take the result of an outcome write or a release.

        :param key: key of the claim row.
        :param commit: what the table service answered.
        :param now_s: present time on the daemon's clock.
        """
        if self._pending.settle(key, commit, now_s):
            self._open.pop(key)

    def _insert(self, held: HeldClaim, now_s: float) -> Step:
        too_old = held.age_s(now_s) > self._limits.max_age_s
        if too_old or held.insert_count >= self._limits.max_inserts:
            return self._refuse(held, replies.store_unavailable(), now_s)
        held.insert_count += 1
        self._share.spend(now_s)
        return held.write()

    def _meet(
        self,
        held: HeldClaim,
        found: metadata_store.StoredRow,
        now_s: float,
    ) -> Step:
        row = rows.decode_claim(found.body) if found.version else None
        if row is not None and row.nonce == held.row.nonce:
            return self._meet_own(held, row, found.version, now_s)
        if found.version == metadata_store.ABSENT_VERSION or (
            row is not None and row.state is rows.ClaimState.RELEASED
        ):
            held.is_doubtful &= held.version == found.version
            held.version = found.version
            return self._insert(held, now_s)
        self._forget(held)
        return Answer(self._reader.reply(held.request, row, now_s))

    def _meet_own(
        self,
        held: HeldClaim,
        row: rows.ClaimRow,
        version: int,
        now_s: float,
    ) -> Step:
        if row.state is rows.ClaimState.INSERTED:
            return self._hold(held, version)
        self._forget(held)
        return Answer(self._reader.reply(held.request, row, now_s))

    def _hold(self, held: HeldClaim, version: int) -> Step:
        held.version = version
        held.phase = Phase.HELD
        logger.info(
            'claims: claim inserted request=%s key=%s',
            held.request.request_id,
            held.request.key,
        )
        return Proceed()

    def _refuse(
        self,
        held: HeldClaim,
        refusal: outcomes.NotRun,
        now_s: float,
    ) -> Step:
        if held.is_doubtful:
            self._release(held, now_s)
        else:
            self._forget(held)
        logger.info(
            'claims: call refused request=%s reason=%s',
            held.request.request_id,
            refusal.reason,
        )
        return Answer(refusal)

    def _release(self, held: HeldClaim, now_s: float) -> None:
        held.release(now_s)
        self._pending.add(held)

    def _forget(self, held: HeldClaim) -> None:
        self._open.pop(held.request.key)

    def _find(self, key: str, *phases: Phase) -> HeldClaim:
        held = self._open.get(key)
        if held is None or held.phase not in phases:
            raise BrokenInvariantError(f'claim {key} is not in {phases}')
        return held
