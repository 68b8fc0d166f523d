"""Send drafts to daemons in a closed or open loop and record the results."""

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
_FAILURE_PAUSE_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class DraftSizes:
    """Sizes from which each draft is drawn uniformly.

    :param prompt_words: prompt lengths in words.
    :param max_tokens: answer lengths in tokens.
    """

    prompt_words: tuple[int, ...] = (2, 4, 8, 16)
    max_tokens: tuple[int, ...] = (4, 8, 16, 48)

    def mean_positions(self) -> float:
        """Return the mean number of prompt and answer positions."""
        prompt = sum(self.prompt_words) / len(self.prompt_words)
        return prompt + sum(self.max_tokens) / len(self.max_tokens)


@dataclasses.dataclass(slots=True)
class DraftResult:
    """Result of a draft. Times are those of the monotonic clock.

    :param team: team that sent the draft.
    :param sent_s: time at which it was sent.
    :param ended_s: time at which its answer ended.
    :param status: HTTP status; -1 if the request failed without one.
    :param prompt_words: length of the prompt in words.
    :param max_tokens: requested length of the answer in tokens.
    :param token_times_s: time at which each token was received.
    :param is_complete: whether all tokens were received.
    """

    team: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    prompt_words: int = 0
    max_tokens: int = 0
    token_times_s: list[float] = dataclasses.field(default_factory=list)
    is_complete: bool = False

    @property
    def position_count(self) -> int:
        """Return the number of positions of a complete answer."""
        return self.prompt_words + self.max_tokens

    @property
    def latency_s(self) -> float:
        """Return the time in seconds until the answer ended."""
        return self.ended_s - self.sent_s

    def count_positions(self, start_s: float, end_s: float) -> int:
        """Return the number of positions processed in a time span.

        The whole prompt counts at the time of the first token.
        """
        is_in_span = [start_s <= each < end_s for each in self.token_times_s]
        count = sum(is_in_span)
        if is_in_span and is_in_span[0]:
            count += self.prompt_words
        return count


class DraftLoad:
    """Generator of drafts for several daemons, used round-robin."""

    def __init__(
        self,
        urls: Sequence[str],
        seed: int,
        sizes: DraftSizes,
    ) -> None:
        """Prepare a load; nothing is sent yet.

        :param urls: URLs of the callers' ports.
        :param seed: seed for the sizes, prompts and arrival times.
        :param sizes: sizes of the drafts.
        """
        self.drafts: list[DraftResult] = []
        self._urls = urls
        self._random = random.Random(seed)
        self._sizes = sizes
        self._sent_count = 0

    async def run_closed_loop(
        self,
        team: str,
        callers: int,
        seconds: float,
    ) -> None:
        """Run callers that each send one draft after another.

        Drafts that have not ended after ``seconds`` are cancelled.

        :param team: team of the drafts.
        :param callers: number of concurrent callers.
        :param seconds: duration of the loop.
        """
        async with _open_session() as session:
            tasks = [
                asyncio.create_task(self._send_repeatedly(session, team))
                for _ in range(callers)
            ]
            await asyncio.sleep(seconds)
            await _cancel(tasks)

    async def run_open_loop(
        self,
        team: str,
        drafts_per_s: float,
        seconds: float,
    ) -> None:
        """Send drafts at random times, independent of earlier answers.

        Drafts that have not ended after ``seconds`` are cancelled.

        :param team: team of the drafts.
        :param drafts_per_s: mean rate of the Poisson arrivals.
        :param seconds: duration of the loop.
        """
        end_s = time.monotonic() + seconds
        next_s = time.monotonic()
        tasks: list[asyncio.Task[None]] = []
        async with _open_session() as session:
            while next_s < end_s:
                await asyncio.sleep(max(0.0, next_s - time.monotonic()))
                tasks.append(asyncio.create_task(self._send(session, team)))
                next_s += self._random.expovariate(drafts_per_s)
            await _cancel(tasks)

    async def _send_repeatedly(
        self,
        session: aiohttp.ClientSession,
        team: str,
    ) -> None:
        while True:
            await self._send(session, team)

    async def _send(self, session: aiohttp.ClientSession, team: str) -> None:
        words = self._random.choice(self._sizes.prompt_words)
        max_tokens = self._random.choice(self._sizes.max_tokens)
        self._sent_count += 1
        url = self._urls[self._sent_count % len(self._urls)]
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
        pause_s = _FAILURE_PAUSE_S
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
        token_count = len(result.token_times_s)
        result.is_complete = (
            result.status == _HTTP_OK and token_count == max_tokens
        )
        if result.status != _HTTP_OK:
            await asyncio.sleep(pause_s)


async def _cancel(tasks: Sequence[asyncio.Task[None]]) -> None:
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


def _open_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S),
    )
