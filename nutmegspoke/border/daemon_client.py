"""Asks daemons for their status over their operators' port."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

import aiohttp
import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence

_STATUS_PATH = '/status'
_TIMEOUT_S = 2.0
_HTTP_OK = 200
_HTTP_UNAUTHORIZED = 401


class DaemonStatus(msgspec.Struct, frozen=True):
    """What a daemon says of itself; further fields are ignored.

    :param daemon: name of the daemon.
    :param availability_zone: where it is.
    :param revision: revision of the tables in force.
    :param is_ready: whether it takes requests.
    :param is_stopping: whether it is on its way to stop.
    :param in_flight: requests in work.
    """

    daemon: str
    availability_zone: str
    revision: int
    is_ready: bool
    is_stopping: bool = False
    in_flight: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StatusUnavailable:
    """A daemon gave no status.

    :param reason: what went wrong.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonReply:
    """The answer of one daemon.

    :param url: URL of its operators' port.
    :param status: what it said.
    """

    url: str
    status: DaemonStatus | StatusUnavailable

    def has_revision(self, revision: int) -> bool:
        """Tell whether the daemon has the revision or a higher one."""
        return (
            isinstance(self.status, DaemonStatus)
            and self.status.revision >= revision
        )


async def fetch_statuses(
    urls: Sequence[str], token: str
) -> tuple[DaemonReply, ...]:
    """Ask several daemons at the same time.

    :param urls: URLs of their operators' ports.
    :param token: the operators' token.
    """
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    headers = {'Authorization': f'Bearer {token}'}
    async with aiohttp.ClientSession(
        timeout=timeout,
        headers=headers,
    ) as session:
        statuses = await asyncio.gather(*(_ask(session, url) for url in urls))
    return tuple(map(DaemonReply, urls, statuses))


async def _ask(
    session: aiohttp.ClientSession,
    url: str,
) -> DaemonStatus | StatusUnavailable:
    try:
        async with session.get(f'{url.rstrip("/")}{_STATUS_PATH}') as response:
            status = response.status
            body = await response.read()
    except (aiohttp.ClientError, OSError, ValueError) as error:
        return StatusUnavailable(f'{type(error).__name__}: {error}')
    if status == _HTTP_UNAUTHORIZED:
        return StatusUnavailable('the token is wrong')
    if status != _HTTP_OK:
        return StatusUnavailable(f'status {status}')
    try:
        return msgspec.json.decode(body, type=DaemonStatus)
    except msgspec.MsgspecError as error:
        return StatusUnavailable(str(error))
