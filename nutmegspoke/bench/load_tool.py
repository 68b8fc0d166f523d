"""Load generator that sends drafts in an open or a closed loop."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
import time
from typing import TYPE_CHECKING

import aiohttp
import msgspec
from hdrh.histogram import HdrHistogram

from nutmegspoke.bench.arrivals import Pattern, arrival_times_s

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

_MAX_TIME_US = 120_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_S = 1_000_000
_REQUEST_TIMEOUT_S = 120.0
_HTTP_OK = 200
_EVENT_PREFIX = b'data: {'
_DONE_LINE = b'data: [DONE]'


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """Parameters of a load run.

    :param urls: URLs of the callers' ports, used round-robin.
    :param duration_s: time during which requests are sent.
    :param rate_per_s: request rate of an open loop; 0 for a closed loop.
    :param concurrency: number of callers of a closed loop.
    :param pattern: arrival pattern of an open loop.
    :param model: model that the drafts name.
    :param teams: names of teams, each repeated according to its share.
    :param token_counts: answer lengths in tokens, drawn uniformly.
    :param prompt_words: prompt lengths in words, drawn uniformly.
    :param seed: seed of the random number generator.
    :param comes_back: whether a refused caller retries after the time in
        ``Retry-After``.
    """

    urls: tuple[str, ...]
    duration_s: float = 10.0
    rate_per_s: float = 0.0
    concurrency: int = 8
    pattern: Pattern = Pattern.POISSON
    model: str = 'fanletter'
    teams: tuple[str, ...] = ('',)
    token_counts: tuple[int, ...] = (8, 16, 32, 64)
    prompt_words: tuple[int, ...] = (4, 16, 64)
    seed: int = 1
    comes_back: bool = False


class TimeHistogram:
    """Histogram of durations with three significant digits."""

    def __init__(self) -> None:
        """Create an empty histogram."""
        self._histogram = HdrHistogram(1, _MAX_TIME_US, _SIGNIFICANT_DIGITS)

    def record(self, time_s: float) -> None:
        """Add a duration in seconds."""
        self._histogram.record_value(max(1, round(time_s * _US_PER_S)))

    def percentile_s(self, percent: float) -> float:
        """Return a percentile in seconds.

        :param percent: percentile, from 0 to 100.
        """
        value_us = self._histogram.get_value_at_percentile(percent)
        return value_us / _US_PER_S

    @property
    def count(self) -> int:
        """Return the number of recorded durations."""
        return self._histogram.get_total_count()


class TimesReport(msgspec.Struct):
    """Count and percentiles of a histogram, in seconds."""

    count: int
    p50_s: float
    p95_s: float
    p99_s: float

    @classmethod
    def from_histogram(cls, times: TimeHistogram) -> TimesReport:
        """Return the percentiles of a histogram."""
        return cls(
            times.count,
            times.percentile_s(50),
            times.percentile_s(95),
            times.percentile_s(99),
        )


class TeamReport(msgspec.Struct):
    """Outcome of the requests of one team."""

    complete: int
    refused: int
    total_s: TimesReport


class LoadReport(msgspec.Struct):
    """Report of a load run.

    :param sent: number of requests sent, retries included.
    :param complete: number of complete answers.
    :param refused: number of refusals by reason.
    :param incomplete: number of answers that failed or were cut short.
    :param tokens: number of tokens in complete answers.
    :param elapsed_s: time until the last answer.
    :param tokens_per_s: ``tokens`` divided by ``elapsed_s``.
    :param first_token_s: time to the first token.
    :param token_gap_s: time between consecutive tokens.
    :param total_s: duration of complete answers.
    :param teams: outcome by team.
    """

    sent: int
    complete: int
    refused: dict[str, int]
    incomplete: int
    tokens: int
    elapsed_s: float
    tokens_per_s: float
    first_token_s: TimesReport
    token_gap_s: TimesReport
    total_s: TimesReport
    teams: dict[str, TeamReport]


@dataclasses.dataclass(slots=True)
class _TeamTally:
    complete: int = 0
    refused: int = 0
    total: TimeHistogram = dataclasses.field(default_factory=TimeHistogram)

    def report(self) -> TeamReport:
        return TeamReport(
            self.complete,
            self.refused,
            TimesReport.from_histogram(self.total),
        )


class LoadTally:
    """Counters and histograms of a load run."""

    def __init__(self) -> None:
        """Create counters at zero and empty histograms."""
        self.sent = 0
        self.complete = 0
        self.incomplete = 0
        self.tokens = 0
        self.refused: collections.Counter[str] = collections.Counter()
        self.first_token = TimeHistogram()
        self.token_gap = TimeHistogram()
        self.total = TimeHistogram()
        self.teams: dict[str, _TeamTally] = {}

    def get_team_tally(self, name: str) -> _TeamTally:
        """Return the counters of a team; create them if needed."""
        return self.teams.setdefault(name, _TeamTally())

    def count_complete(self, team: str, tokens: int, total_s: float) -> None:
        """Count a complete answer."""
        self.complete += 1
        self.tokens += tokens
        self.total.record(total_s)
        tally = self.get_team_tally(team)
        tally.complete += 1
        tally.total.record(total_s)

    def count_refused(self, team: str, reason: str) -> None:
        """Count a refused request."""
        self.refused[reason] += 1
        self.get_team_tally(team).refused += 1

    def report(self, elapsed_s: float) -> LoadReport:
        """Return a report of the counters.

        :param elapsed_s: duration of the run.
        """
        return LoadReport(
            sent=self.sent,
            complete=self.complete,
            refused=dict(self.refused),
            incomplete=self.incomplete,
            tokens=self.tokens,
            elapsed_s=elapsed_s,
            tokens_per_s=self.tokens / elapsed_s,
            first_token_s=TimesReport.from_histogram(self.first_token),
            token_gap_s=TimesReport.from_histogram(self.token_gap),
            total_s=TimesReport.from_histogram(self.total),
            teams={name: each.report() for name, each in self.teams.items()},
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Draft:
    url: str
    team: str
    tokens: int
    body: bytes


class LoadRun:
    """A run of the load generator."""

    def __init__(
        self,
        plan: LoadPlan,
        on_progress: Callable[[float, LoadTally], None] | None = None,
    ) -> None:
        """Prepare a run.

        :param plan: parameters of the run.
        :param on_progress: called each second with the elapsed seconds and
            the counters.
        """
        self.tally = LoadTally()
        self._plan = plan
        self._on_progress = on_progress
        self._random = random.Random(plan.seed)
        self._draft_count = 0

    async def run(self) -> LoadReport:
        """Send all requests, wait for the answers and return the report."""
        start_s = time.monotonic()
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            progress = asyncio.create_task(self._report_progress(start_s))
            if self._plan.rate_per_s:
                await self._run_open_loop(session)
            else:
                await self._run_closed_loop(session)
            progress.cancel()
        return self.tally.report(time.monotonic() - start_s)

    async def send_one(self, session: aiohttp.ClientSession) -> None:
        """Generate one draft, send it and count its outcome."""
        await self._send(session, self._draw_draft())

    async def _run_open_loop(self, session: aiohttp.ClientSession) -> None:
        times_s = arrival_times_s(
            self._plan.pattern,
            self._plan.rate_per_s,
            self._plan.duration_s,
            self._random,
        )
        start_s = time.monotonic()
        tasks: list[Awaitable[None]] = []
        for time_s in times_s:
            await asyncio.sleep(start_s + time_s - time.monotonic())
            draft = self._draw_draft()
            tasks.append(asyncio.create_task(self._send(session, draft)))
        await asyncio.gather(*tasks)

    async def _run_closed_loop(self, session: aiohttp.ClientSession) -> None:
        end_s = time.monotonic() + self._plan.duration_s

        async def run_caller() -> None:
            while time.monotonic() < end_s:
                await self.send_one(session)

        callers = [run_caller() for _ in range(self._plan.concurrency)]
        await asyncio.gather(*callers)

    def _draw_draft(self) -> _Draft:
        plan = self._plan
        self._draft_count += 1
        tokens = self._random.choice(plan.token_counts)
        word_count = self._random.choice(plan.prompt_words)
        prompt = ' '.join(
            f'w{self._random.randrange(1000)}' for _ in range(word_count)
        )
        body = {
            'model': plan.model,
            'prompt': prompt,
            'max_tokens': tokens,
            'stream': True,
        }
        return _Draft(
            url=plan.urls[self._draft_count % len(plan.urls)],
            team=self._random.choice(plan.teams),
            tokens=tokens,
            body=msgspec.json.encode(body),
        )

    async def _send(
        self,
        session: aiohttp.ClientSession,
        draft: _Draft,
    ) -> None:
        retry_after_s = await self._send_once(session, draft)
        while retry_after_s and self._plan.comes_back:
            await asyncio.sleep(retry_after_s)
            retry_after_s = await self._send_once(session, draft)

    async def _send_once(
        self,
        session: aiohttp.ClientSession,
        draft: _Draft,
    ) -> float:
        """Send a draft; return the retry delay of a refusal, otherwise 0."""
        self.tally.sent += 1
        sent_s = time.monotonic()
        try:
            async with session.post(
                f'{draft.url}/v1/completions',
                data=draft.body,
                headers={'Nutmegspoke-Team': draft.team},
                timeout=aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S),
            ) as response:
                return await self._read_answer(response, draft, sent_s)
        except (aiohttp.ClientError, OSError):
            self.tally.incomplete += 1
            return 0.0

    async def _read_answer(
        self,
        response: aiohttp.ClientResponse,
        draft: _Draft,
        sent_s: float,
    ) -> float:
        if response.status != _HTTP_OK:
            reason = response.headers.get('Nutmegspoke-Reason', 'none')
            self.tally.count_refused(draft.team, reason)
            return float(response.headers.get('Retry-After', '0'))
        tokens = await self._read_events(response, sent_s)
        if tokens == draft.tokens:
            self.tally.count_complete(
                draft.team,
                tokens,
                time.monotonic() - sent_s,
            )
        else:
            self.tally.incomplete += 1
        return 0.0

    async def _read_events(
        self,
        response: aiohttp.ClientResponse,
        sent_s: float,
    ) -> int:
        tokens = 0
        last_s = sent_s
        is_done = False
        async for line in response.content:
            is_done = is_done or line.startswith(_DONE_LINE)
            if not line.startswith(_EVENT_PREFIX):
                continue
            now_s = time.monotonic()
            times = self.tally.token_gap if tokens else self.tally.first_token
            times.record(now_s - last_s)
            last_s = now_s
            tokens += 1
        return tokens if is_done else 0

    async def _report_progress(self, start_s: float) -> None:
        while True:
            await asyncio.sleep(1)
            if self._on_progress is not None:
                self._on_progress(time.monotonic() - start_s, self.tally)


def run_load(
    plan: LoadPlan,
    on_progress: Callable[[float, LoadTally], None] | None = None,
) -> LoadReport:
    """Run a plan in a new event loop.

    :param plan: parameters of the run.
    :param on_progress: called each second with the elapsed seconds and the
        counters.
    """
    return asyncio.run(LoadRun(plan, on_progress).run())


def format_report(report: LoadReport) -> Sequence[str]:
    """Return a report as human-readable lines."""
    refused = ', '.join(
        f'{reason} {count}' for reason, count in report.refused.items()
    )
    return (
        f'sent {report.sent}, complete {report.complete}, '
        f'incomplete {report.incomplete}, refused: {refused or "none"}',
        f'{report.tokens_per_s:.0f} tokens/s over {report.elapsed_s:.1f} s',
        _format_times('first token', report.first_token_s),
        _format_times('token gap', report.token_gap_s),
        _format_times('whole answer', report.total_s),
    )


def _format_times(name: str, times: TimesReport) -> str:
    return (
        f'{name}: p50 {times.p50_s * 1000:.1f} ms, '
        f'p95 {times.p95_s * 1000:.1f} ms, p99 {times.p99_s * 1000:.1f} ms'
    )
