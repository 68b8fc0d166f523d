"""Drafts sent to daemons in a closed or open loop, with what came of them."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random
import time
from typing import TYPE_CHECKING

import aiohttp

if TYPE_CHECKING:
    from collections.abc import Sequence

_PATH = '/v1/completions'
_HTTP_OK = 200
_WORDS = ('club', 'notes', 'band', 'tour', 'issue', 'robot', 'kit', 'class')
_TOKEN_LINE = b'data: {'
_CALL_TIMEOUT_S = 600.0
_FAILED_PAUSE_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class DraftSizes:
    """Sizes of uneven drafts.

    :param prompt_words: choices of prompt lengths.
    :param max_tokens: choices of answer lengths.
    """

    prompt_words: tuple[int, ...] = (2, 4, 8, 16)
    max_tokens: tuple[int, ...] = (4, 8, 16, 48)

    def mean_work(self) -> float:
        """Return the mean number of positions of a draft."""
        prompt = sum(self.prompt_words) / len(self.prompt_words)
        return prompt + sum(self.max_tokens) / len(self.max_tokens)


@dataclasses.dataclass(slots=True)
class DraftResult:
    """What came of a draft.

    :param team: team that sent it.
    :param sent_s: when it was sent.
    :param ended_s: when its answer ended.
    :param status: HTTP status.
    :param prompt_words: length of the prompt.
    :param max_tokens: length of the whole answer.
    :param token_times_s: when each token came.
    :param is_whole: all tokens came.
    """

    team: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    prompt_words: int = 0
    max_tokens: int = 0
    token_times_s: list[float] = dataclasses.field(default_factory=list)
    is_whole: bool = False

    @property
    def work(self) -> int:
        """Return the positions that a whole answer takes."""
        return self.prompt_words + self.max_tokens

    @property
    def latency_s(self) -> float:
        """Return the time to the end of the answer."""
        return self.ended_s - self.sent_s

    def positions_between(self, start_s: float, end_s: float) -> int:
        """Return the positions run in a span; the prompt counts at once."""
        inside = [start_s <= each < end_s for each in self.token_times_s]
        count = sum(inside)
        if inside and inside[0]:
            count += self.prompt_words
        return count


class DraftLoad:
    """Sends drafts to daemons in turn."""

    def __init__(
        self,
        urls: Sequence[str],
        seed: int,
        sizes: DraftSizes,
    ) -> None:
        """Prepare a load.

        :param urls: URLs of the callers' ports.
        :param seed: seed of sizes and arrivals.
        :param sizes: sizes of the drafts.
        """
        self.drafts: list[DraftResult] = []
        self._urls = urls
        self._random = random.Random(seed)
        self._sizes = sizes
        self._sent = 0

    async def closed_loop(
        self,
        team: str,
        callers: int,
        seconds: float,
    ) -> None:
        """Let callers send one draft after another for a time.

        Drafts that have not ended by then are dropped.
        """
        async with _session() as session:
            tasks = [
                asyncio.create_task(self._repeat(session, team))
                for _ in range(callers)
            ]
            await asyncio.sleep(seconds)
            await _drop(tasks)

    async def open_loop(
        self,
        team: str,
        drafts_per_s: float,
        seconds: float,
    ) -> None:
        """Send drafts at random times, whatever becomes of earlier ones.

        Drafts that have not ended after the time are dropped.
        """
        end_s = time.monotonic() + seconds
        next_s = time.monotonic()
        tasks: list[asyncio.Task[None]] = []
        async with _session() as session:
            while next_s < end_s:
                await asyncio.sleep(max(0.0, next_s - time.monotonic()))
                tasks.append(asyncio.create_task(self._send(session, team)))
                next_s += self._random.expovariate(drafts_per_s)
            await _drop(tasks)

    async def _repeat(
        self,
        session: aiohttp.ClientSession,
        team: str,
    ) -> None:
        while True:
            await self._send(session, team)

    async def _send(self, session: aiohttp.ClientSession, team: str) -> None:
        words = self._random.choice(self._sizes.prompt_words)
        max_tokens = self._random.choice(self._sizes.max_tokens)
        self._sent += 1
        url = self._urls[self._sent % len(self._urls)]
        prompt = ' '.join(self._random.choices(_WORDS, k=words))
        body = {
            'model': 'fanletter',
            'prompt': prompt,
            'max_tokens': max_tokens,
            'stream': True,
        }
        result = DraftResult(
            team,
            time.monotonic(),
            prompt_words=words,
            max_tokens=max_tokens,
        )
        self.drafts.append(result)
        pause_s = _FAILED_PAUSE_S
        try:
            async with session.post(
                f'{url}{_PATH}',
                data=json.dumps(body),
                headers={'Nutmegspoke-Team': team},
            ) as response:
                result.status = response.status
                pause_s = float(response.headers.get('Retry-After', '0'))
                await _read_tokens(response, result)
        except (aiohttp.ClientError, TimeoutError, OSError):
            result.status = result.status or -1
        result.ended_s = time.monotonic()
        got = len(result.token_times_s)
        result.is_whole = result.status == _HTTP_OK and got == max_tokens
        if result.status != _HTTP_OK:
            await asyncio.sleep(pause_s)


async def _drop(tasks: Sequence[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _read_tokens(
    response: aiohttp.ClientResponse,
    result: DraftResult,
) -> None:
    async for line in response.content:
        if response.status == _HTTP_OK and line.startswith(_TOKEN_LINE):
            result.token_times_s.append(time.monotonic())


def _session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S),
    )
