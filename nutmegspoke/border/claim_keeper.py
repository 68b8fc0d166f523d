"""Apply the steps of the claim decider to the table service.

A claim is a row in the table service that lets one daemon run a call that must
not run twice.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
import uuid
from typing import TYPE_CHECKING

from nutmegspoke.border.group_commit import GroupCommitter
from nutmegspoke.claims import rows, steps

if TYPE_CHECKING:
    from nutmegspoke.border.clock import Clock
    from nutmegspoke.claims.decider import ClaimDecider
    from nutmegspoke.outcomes import Outcome
    from nutmegspoke.metadata_store import TableService
    from nutmegspoke.requests import CallRequest

logger = logging.getLogger(__name__)

_DRAIN_POLL_S = 0.02


class ClaimKeeper:
    """Keeper of claims; writes the outcomes of calls in the background.

    It applies the steps of the decider, which decides on claims without I/O.
    """

    def __init__(
        self,
        clock: Clock,
        tables: TableService,
        decider: ClaimDecider,
    ) -> None:
        """Create a keeper without claims.

        :param clock: the process's clock.
        :param tables: the platform's table service.
        :param decider: decides on claims.
        """
        self._clock = clock
        self._tables = tables
        self._commits = GroupCommitter(tables)
        self._decider = decider
        self._wake_writer = asyncio.Event()
        self._writer: asyncio.Task[None] | None = None
        self._writes: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start the task that writes outcomes."""
        self._writer = asyncio.create_task(self._write_outcomes())

    async def stop(self, limit_s: float) -> None:
        """Wait until all outcomes are written, then stop the writer.

        :param limit_s: timeout of the wait; outcomes not written by then are
            logged.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._drain()
        if self._decider.open_count:
            logger.warning(
                'claims: outcomes were not written count=%d',
                self._decider.open_count,
            )
        if self._writer is not None:
            self._writer.cancel()
            await asyncio.gather(
                self._writer,
                *self._writes,
                return_exceptions=True,
            )

    async def acquire(self, request: CallRequest) -> str | Outcome:
        """Claim a call.

        :param request: the call.
        :returns: the key of the claim, or the outcome if the call must not run.
        """
        claim = self._claim_request(request)
        step = self._decider.begin(claim, self._clock.now_s())
        while not isinstance(step, steps.Proceed):
            match step:
                case steps.Answer(outcome):
                    self._wake_writer.set()
                    return outcome
                case steps.CommitClaim(key, transaction):
                    commit = await self._commits.commit(transaction)
                    now_s = self._clock.now_s()
                    step = self._decider.handle_insert_result(
                        key, commit, now_s
                    )
                case steps.ReadClaim(key):
                    found = await self._tables.read(key)
                    now_s = self._clock.now_s()
                    step = self._decider.handle_row(key, found, now_s)
        return claim.key

    def dispatch(self, key: str) -> steps.Step:
        """Decide whether the call of a claim may be sent now."""
        return self._decider.dispatch(key, self._clock.now_s())

    def finish(self, key: str, outcome: Outcome) -> None:
        """Queue the outcome of a call for the writer."""
        self._decider.finish(key, outcome, self._clock.now_s())
        self._wake_writer.set()

    def _claim_request(self, request: CallRequest) -> steps.ClaimRequest:
        return steps.ClaimRequest(
            key=rows.claim_key(
                request.team,
                request.route.name,
                request.idempotency_key,
            ),
            fingerprint=rows.call_fingerprint(
                request.method,
                request.path,
                request.body,
            ),
            request_id=request.request_id,
            nonce=uuid.uuid4().hex,
            started_s=self._clock.now_s(),
            run_limit_s=request.route.timeout_s,
            wall_s=self._clock.wall_s(),
        )

    async def _write_outcomes(self) -> None:
        while True:
            await self._wait_until_due()
            for write in self._decider.due_writes(self._clock.now_s()):
                task = asyncio.create_task(self._write(write))
                self._writes.add(task)
                task.add_done_callback(self._on_written)

    async def _wait_until_due(self) -> None:
        self._wake_writer.clear()
        # The time is infinite while the result of each write is awaited.
        next_due_s = self._decider.next_due_s()
        if next_due_s is None or math.isinf(next_due_s):
            await self._wake_writer.wait()
            return
        wait_s = next_due_s - self._clock.now_s()
        if wait_s > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake_writer.wait(), wait_s)

    async def _write(self, write: steps.CommitClaim) -> None:
        commit = await self._commits.commit(write.transaction)
        self._decider.handle_write_result(
            write.key, commit, self._clock.now_s()
        )

    def _on_written(self, task: asyncio.Task[None]) -> None:
        self._writes.discard(task)
        self._wake_writer.set()
        if not task.cancelled():
            # Raise the exception of a failed write.
            task.result()

    async def _drain(self) -> None:
        while self._decider.open_count:
            await asyncio.sleep(_DRAIN_POLL_S)
