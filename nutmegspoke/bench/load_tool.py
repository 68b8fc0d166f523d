"""The load tool: sends drafts in an open or a closed loop and counts them."""

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

_HIGHEST_US = 120_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_S = 1_000_000
_REQUEST_LIMIT_S = 120.0
_HTTP_OK = 200
_EVENT = b'data: {'
_DONE = b'data: [DONE]'


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """What a run sends.

    :param urls: callers' ports, used in turn.
    :param duration_s: how long requests are sent.
    :param rate_per_s: rate of an open loop; 0 for a closed one.
    :param concurrency: callers of a closed loop.
    :param pattern: how the requests of an open loop arrive.
    :param model: model of the drafts.
    :param teams: names of teams, each as often as its share.
    :param token_counts: lengths of answers, drawn evenly.
    :param prompt_words: lengths of prompts, drawn evenly.
    :param seed: seed of everything that is drawn.
    :param comes_back: whether a refused caller comes back when told.
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


class Times:
    """A histogram of times."""

    def __init__(self) -> None:
        """Create an empty histogram."""
        self._histogram = HdrHistogram(1, _HIGHEST_US, _SIGNIFICANT_DIGITS)

    def record(self, seconds_s: float) -> None:
        """Count a time."""
        self._histogram.record_value(max(1, round(seconds_s * _US_PER_S)))

    def at(self, percent: float) -> float:
        """Return the time in seconds that a share of all is below."""
        value_us = self._histogram.get_value_at_percentile(percent)
        return value_us / _US_PER_S

    @property
    def count(self) -> int:
        """Return the number of times counted."""
        return self._histogram.get_total_count()


class TimesReport(msgspec.Struct):
    """Percentiles of a histogram, in seconds."""

    count: int
    p50_s: float
    p95_s: float
    p99_s: float

    @classmethod
    def from_times(cls, times: Times) -> TimesReport:
        """Return the percentiles of a histogram."""
        return cls(times.count, times.at(50), times.at(95), times.at(99))


class TeamReport(msgspec.Struct):
    """What one team got."""

    complete: int
    refused: int
    total_s: TimesReport


class LoadReport(msgspec.Struct):
    """What a run saw.

    :param sent: requests sent.
    :param complete: answers that came whole.
    :param refused: refusals by reason.
    :param incomplete: answers that broke off or failed.
    :param tokens: tokens of complete answers.
    :param elapsed_s: time until the last answer.
    :param tokens_per_s: tokens of complete answers by that time.
    :param first_token_s: time to the first token.
    :param token_gap_s: time between tokens.
    :param total_s: time of a complete answer.
    :param teams: the same by team.
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
    total: Times = dataclasses.field(default_factory=Times)

    def report(self) -> TeamReport:
        return TeamReport(
            self.complete,
            self.refused,
            TimesReport.from_times(self.total),
        )


class LoadTally:
    """Counts what happens in a run."""

    def __init__(self) -> None:
        """Start at zero."""
        self.sent = 0
        self.complete = 0
        self.incomplete = 0
        self.tokens = 0
        self.refused: collections.Counter[str] = collections.Counter()
        self.first_token = Times()
        self.token_gap = Times()
        self.total = Times()
        self.teams: dict[str, _TeamTally] = {}

    def team(self, name: str) -> _TeamTally:
        """Return the tally of a team."""
        return self.teams.setdefault(name, _TeamTally())

    def completed(self, team: str, tokens: int, total_s: float) -> None:
        """Count a whole answer."""
        self.complete += 1
        self.tokens += tokens
        self.total.record(total_s)
        tally = self.team(team)
        tally.complete += 1
        tally.total.record(total_s)

    def was_refused(self, team: str, reason: str) -> None:
        """Count a refusal."""
        self.refused[reason] += 1
        self.team(team).refused += 1

    def report(self, elapsed_s: float) -> LoadReport:
        """Return what was counted."""
        return LoadReport(
            sent=self.sent,
            complete=self.complete,
            refused=dict(self.refused),
            incomplete=self.incomplete,
            tokens=self.tokens,
            elapsed_s=elapsed_s,
            tokens_per_s=self.tokens / elapsed_s,
            first_token_s=TimesReport.from_times(self.first_token),
            token_gap_s=TimesReport.from_times(self.token_gap),
            total_s=TimesReport.from_times(self.total),
            teams={name: each.report() for name, each in self.teams.items()},
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Draft:
    url: str
    team: str
    tokens: int
    body: bytes


class LoadRun:
    """One run of the load tool."""

    def __init__(
        self,
        plan: LoadPlan,
        on_progress: Callable[[float, LoadTally], None] | None = None,
    ) -> None:
        """Prepare a run.

        :param on_progress: called each second with the elapsed seconds.
        """
        self.tally = LoadTally()
        self._plan = plan
        self._on_progress = on_progress
        self._random = random.Random(plan.seed)
        self._number = 0

    async def run(self) -> LoadReport:
        """Send everything and wait for all answers."""
        began_s = time.monotonic()
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            progress = asyncio.create_task(self._show_progress(began_s))
            if self._plan.rate_per_s:
                await self._open_loop(session)
            else:
                await self._closed_loop(session)
            progress.cancel()
        return self.tally.report(time.monotonic() - began_s)

    async def send_one(self, session: aiohttp.ClientSession) -> None:
        """Draw one draft, send it and count what became of it."""
        await self._send(session, self._draw())

    async def _open_loop(self, session: aiohttp.ClientSession) -> None:
        times_s = arrival_times_s(
            self._plan.pattern,
            self._plan.rate_per_s,
            self._plan.duration_s,
            self._random,
        )
        began_s = time.monotonic()
        tasks: list[Awaitable[None]] = []
        for time_s in times_s:
            await asyncio.sleep(began_s + time_s - time.monotonic())
            draft = self._draw()
            tasks.append(asyncio.create_task(self._send(session, draft)))
        await asyncio.gather(*tasks)

    async def _closed_loop(self, session: aiohttp.ClientSession) -> None:
        end_s = time.monotonic() + self._plan.duration_s

        async def caller() -> None:
            while time.monotonic() < end_s:
                await self.send_one(session)

        callers = [caller() for _ in range(self._plan.concurrency)]
        await asyncio.gather(*callers)

    def _draw(self) -> _Draft:
        plan = self._plan
        self._number += 1
        tokens = self._random.choice(plan.token_counts)
        words = self._random.choice(plan.prompt_words)
        prompt = ' '.join(
            f'w{self._random.randrange(1000)}' for _ in range(words)
        )
        body = {
            'model': plan.model,
            'prompt': prompt,
            'max_tokens': tokens,
            'stream': True,
        }
        return _Draft(
            url=plan.urls[self._number % len(plan.urls)],
            team=self._random.choice(plan.teams),
            tokens=tokens,
            body=msgspec.json.encode(body),
        )

    async def _send(
        self,
        session: aiohttp.ClientSession,
        draft: _Draft,
    ) -> None:
        wait_s = await self._send_once(session, draft)
        while wait_s and self._plan.comes_back:
            await asyncio.sleep(wait_s)
            wait_s = await self._send_once(session, draft)

    async def _send_once(
        self,
        session: aiohttp.ClientSession,
        draft: _Draft,
    ) -> float:
        """Send a draft; when to come back if it was refused, else 0."""
        self.tally.sent += 1
        sent_s = time.monotonic()
        try:
            async with session.post(
                f'{draft.url}/v1/completions',
                data=draft.body,
                headers={'Nutmegspoke-Team': draft.team},
                timeout=aiohttp.ClientTimeout(total=_REQUEST_LIMIT_S),
            ) as response:
                return await self._read(response, draft, sent_s)
        except (aiohttp.ClientError, OSError):
            self.tally.incomplete += 1
            return 0.0

    async def _read(
        self,
        response: aiohttp.ClientResponse,
        draft: _Draft,
        sent_s: float,
    ) -> float:
        if response.status != _HTTP_OK:
            reason = response.headers.get('Nutmegspoke-Reason', 'none')
            self.tally.was_refused(draft.team, reason)
            return float(response.headers.get('Retry-After', '0'))
        tokens = await self._read_events(response, sent_s)
        if tokens == draft.tokens:
            self.tally.completed(
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
            is_done = is_done or line.startswith(_DONE)
            if not line.startswith(_EVENT):
                continue
            now_s = time.monotonic()
            times = self.tally.token_gap if tokens else self.tally.first_token
            times.record(now_s - last_s)
            last_s = now_s
            tokens += 1
        return tokens if is_done else 0

    async def _show_progress(self, began_s: float) -> None:
        while True:
            await asyncio.sleep(1)
            if self._on_progress is not None:
                self._on_progress(time.monotonic() - began_s, self.tally)


def run_load(
    plan: LoadPlan,
    on_progress: Callable[[float, LoadTally], None] | None = None,
) -> LoadReport:
    """Run a plan in a loop of its own.

    :param plan: what to send.
    :param on_progress: called each second with the elapsed seconds.
    """
    return asyncio.run(LoadRun(plan, on_progress).run())


def format_report(report: LoadReport) -> Sequence[str]:
    """Return a report as lines for people."""
    refused = ', '.join(
        f'{reason} {count}' for reason, count in report.refused.items()
    )
    return (
        f'sent {report.sent}, complete {report.complete}, '
        f'incomplete {report.incomplete}, refused: {refused or "none"}',
        f'{report.tokens_per_s:.0f} tokens/s over {report.elapsed_s:.1f} s',
        _times_line('first token', report.first_token_s),
        _times_line('token gap', report.token_gap_s),
        _times_line('whole answer', report.total_s),
    )


def _times_line(name: str, times: TimesReport) -> str:
    return (
        f'{name}: p50 {times.p50_s * 1000:.1f} ms, '
        f'p95 {times.p95_s * 1000:.1f} ms, p99 {times.p99_s * 1000:.1f} ms'
    )
