"""Tests of whole draft sessions against approved files."""

from __future__ import annotations

import logging
from typing import Any

from approvaltests import Options, verify
from approvaltests.reporters import PythonNativeReporter

from nutmegspoke.border import completions
from nutmegspoke.border.drafts import DraftToken
from nutmegspoke.pipelines.resume import ResumePoint
from tests import builders_pipelines as build
from tests.border import test_drafts

_CALL = completions.CompletionCall('fanletter', build.PROMPT, 8, 7, True, False)


class _SessionHandler(logging.Handler):
    """Logging handler that appends log lines to a session."""

    def __init__(self, session: list[str]) -> None:
        super().__init__(logging.INFO)
        self._session = session

    def emit(self, record: logging.LogRecord) -> None:
        """Append a line."""
        self._session.append(f'log     {record.getMessage()}')


class DraftSessionTest(test_drafts.DraftCase):
    """Sessions: request, log lines, events with decoded ids, outcome."""

    def setUp(self) -> None:
        """Add the log handler."""
        super().setUp()
        self.session: list[str] = []
        handler = _SessionHandler(self.session)
        root = logging.getLogger('nutmegspoke')
        root.addHandler(handler)
        root.setLevel(logging.INFO)
        self.addCleanup(root.removeHandler, handler)

    def note_event(self, request_id: str, item: Any) -> None:
        """Append an event or the outcome to the session."""
        if not isinstance(item, DraftToken):
            self.session.append(f'outcome {item}')
            return
        event = completions.token_event(
            _CALL, request_id, item.text, 'ID'
        ).decode()
        point = self.signer.read(item.event_id)
        data = event.strip().replace('id: ID\n', '')
        self.session.append(f'event   {data} after {_describe_point(point)}')

    async def serve(self, request_id: str, **changes: Any) -> Any:
        """Run a draft and append it to the session."""
        request = build.draft_request(request_id=request_id, **changes)
        self.session.append(
            f'request {request_id} {request.prompt!r} seed={request.seed} '
            f'tokens={request.max_tokens} '
            f'resumes={bool(request.resume_from)}',
        )
        items = []
        async for item in self.drafts.stream(request):
            self.note_event(request_id, item)
            items.append(item)
        await self.drafts.stop()
        return items

    async def test_stage_death_then_resume(self) -> None:
        """A stage crashes; later the caller resumes after the sixth token."""
        self.carrier.script = ['ok'] * 10 + ['dead']
        items = await self.serve('r1')
        await self.serve('r2', resume_from=items[5].event_id)
        self.check()

    async def test_nothing_ran(self) -> None:
        """All connections are refused."""
        self.carrier.dead = set('abcdef')
        await self.serve('r1')
        self.check()

    def check(self) -> None:
        """Compare the session with its approved file."""
        verify(
            '\n'.join(self.session),
            options=Options().with_reporter(PythonNativeReporter()),
        )


def _describe_point(point: ResumePoint) -> str:
    return (
        f'(stream={point.stream_id} attempt={point.attempt} '
        f'position={point.position} count={point.count} '
        f'token={point.last_token} digest={point.digest})'
    )
