"""Checks that requests are answered by the time of their route."""

from __future__ import annotations

import asyncio
import time

# The half second that the rule adds to the time-out of a route.
_GRACE_S = 0.5
_LEAST = 8


class TimedSends:
    """Requests that are not idempotent, sent at a steady rate."""

    def __init__(self, world, record, client, timeout_s, deadline_s) -> None:
        """Create without requests.

        :param timeout_s: time-out of their route.
        :param deadline_s: time for which clients wait.
        """
        self._timeout_s = timeout_s
        self._deadline_ms = int(deadline_s * 1_000)
        self._world = world
        self._record = record
        self._client = client
        self._tasks = set()
        self.results = []

    async def run(self, daemon, seconds, per_s) -> None:
        """Send requests to one daemon and wait for the last answer."""
        last_s = time.monotonic() + seconds
        while time.monotonic() < last_s:
            self._tasks.add(asyncio.create_task(self._send(daemon)))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*self._tasks)
        self._tasks.clear()

    async def _send(self, daemon) -> None:
        started_s = time.monotonic()
        answer = await self._client.attempt(
            'sends', self._deadline_ms, daemon=daemon
        )
        took_s = time.monotonic() - started_s
        is_answered = bool(answer['status']) and answer['is_whole']
        has_run = any(
            attempt_id == answer['id']
            for target in self._world.targets
            for _, attempt_id in target.runs
        )
        self.results.append((daemon.name, is_answered, took_s, has_run))
        self._record.line(
            f'client {answer["id"]} sends at {daemon.name}: status '
            f'{answer["status"]} after {took_s:.3f} s, has run: {has_run}'
        )

    def is_late(self, daemon) -> bool:
        """Return whether the rule is broken at a daemon, and record why."""
        own = [each for each in self.results if each[0] == daemon.name]
        unanswered = [
            each for each in own if not each[1] or each[2] > self._timeout_s
        ]
        late = [
            each
            for each in unanswered
            if not each[1] or each[2] > self._timeout_s + _GRACE_S
        ]
        never = [each for each in own if not each[1]]
        lost = [each for each in never if each[3]]
        self._record.line(
            f'{daemon.name}: {len(own)} sent, {len(unanswered)} without an '
            f'answer after {self._timeout_s} s, {len(late)} without one '
            f'{_GRACE_S} s later; {len(never)} never answered, '
            f'{len(lost)} of these have run'
        )
        return len(unanswered) >= _LEAST and 2 * len(late) > len(unanswered)
