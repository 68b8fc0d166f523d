"""Fetches the status of daemons from their operators' ports."""

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
    """Status that a daemon reports; unknown fields are ignored.

    :param daemon: name of the daemon.
    :param availability_zone: availability zone of the daemon.
    :param revision: revision of the tables in force.
    :param is_ready: whether it accepts requests.
    :param is_stopping: whether a planned stop has begun.
    :param in_flight: number of requests in flight.
    """

    daemon: str
    availability_zone: str
    revision: int
    is_ready: bool
    is_stopping: bool = False
    in_flight: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StatusUnavailable:
    """The status of a daemon could not be fetched.

    :param reason: description of the failure.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonReply:
    """Result of the status request to one daemon.

    :param url: URL of its operators' port.
    :param status: the status, or why there is none.
    """

    url: str
    status: DaemonStatus | StatusUnavailable

    def has_revision(self, revision: int) -> bool:
        """Return whether the daemon has the revision or a higher one."""
        return (
            isinstance(self.status, DaemonStatus)
            and self.status.revision >= revision
        )


async def fetch_statuses(
    urls: Sequence[str], token: str
) -> tuple[DaemonReply, ...]:
    """Fetch the statuses of several daemons concurrently.

    :param urls: URLs of their operators' ports.
    :param token: the operators' token.
    :returns: one reply per URL, in the same order.
    """
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    headers = {'Authorization': f'Bearer {token}'}
    async with aiohttp.ClientSession(
        timeout=timeout,
        headers=headers,
    ) as session:
        statuses = await asyncio.gather(
            *(_fetch_status(session, url) for url in urls)
        )
    return tuple(map(DaemonReply, urls, statuses))


async def _fetch_status(
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
        return StatusUnavailable('invalid operators token')
    if status != _HTTP_OK:
        return StatusUnavailable(f'status {status}')
    try:
        return msgspec.json.decode(body, type=DaemonStatus)
    except msgspec.MsgspecError as error:
        return StatusUnavailable(str(error))
