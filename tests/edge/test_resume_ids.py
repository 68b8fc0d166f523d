"""Tests of drafts whose resume id is not a number of usual size."""

from __future__ import annotations

from tests.edge.test_daemon import DaemonCase

# More digits than int() accepts.
_LONG_ID = '9' * 5_000


class ResumeIdsTest(DaemonCase):
    """A resume id that can't be counted is forwarded."""

    async def test_an_id_of_very_many_digits_is_forwarded(self) -> None:
        """Guards against refused drafts whose resume id int() can't read."""
        await self._start_chain()
        await self.deployment.call('/drafts/1', **{'Last-Event-Id': _LONG_ID})
        (run, *_) = self.deployment.targets['x1'].caller_requests()
        self.assertEqual(run.headers['last-event-id'], _LONG_ID)
