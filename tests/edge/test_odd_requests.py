"""Tests of callers' requests and targets' rows with odd contents."""

from __future__ import annotations

from tests.edge.test_daemon import DaemonCase


class OddRequestsTest(DaemonCase):
    """Requests and answers with odd numbers are served."""

    async def test_numbers_that_overflow(self) -> None:
        """Guards against an error in place of an answer.

        Huge or infinite numbers in the headers of a draft raised errors.
        """
        await self._start_chain()
        for changes in (
            {'Token-Counts': '9' * 5_000 + ',300'},
            {'Token-Counts': '9' * 400 + ',300'},
            {'Token-Counts': '700,0', 'Length-Hint': 'inf'},
            {'Deadline-Ms': 'nan'},
        ):
            with self.subTest(str(changes)[:30]):
                answer = await self.deployment.call('/drafts/1', **changes)
                self.assertEqual(answer.status, 200)
                self.assertTrue(answer.is_whole)
