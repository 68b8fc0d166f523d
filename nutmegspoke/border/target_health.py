"""Tracks the health of targets from the results of attempts."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Protocol

from nutmegspoke.border import service_client
from nutmegspoke.retries.outliers import Outliers, OutlierSettings

if TYPE_CHECKING:
    from collections.abc import Sequence

    from nutmegspoke.border.clock import Clock
    from nutmegspoke.border.quarantine import QuarantineService
    from nutmegspoke.targets import Target

logger = logging.getLogger(__name__)

_MIN_ERROR_STATUS = 500


class TargetReports(Protocol):
    """Receiver of reports about targets, by address."""

    def refused_as_leaving(self, address: str) -> None:
        """Record that a target refused work because it is leaving."""

    def connection_failed(self, address: str, *, refused: bool) -> None:
        """Record a connection that was refused or reset."""

    def connection_silent(self, address: str, *, is_new: bool) -> None:
        """Record a connection on which a call timed out.

        :param address: address of the target.
        :param is_new: whether the connection was opened for the call.
        """


class TargetHealth:
    """Detects crashed, failing and leaving targets from attempts."""

    def __init__(
        self,
        clock: Clock,
        client: service_client.ServiceClient,
        quarantine: QuarantineService,
        reports: TargetReports,
    ) -> None:
        """Start without any recorded attempts.

        :param clock: the process's clock.
        :param client: checks whether a target still listens.
        :param quarantine: receives the ends of attempts and the crashes.
        :param reports: receives reports of targets that leave or fail.
        """
        self._reports = reports
        self._clock = clock
        self._client = client
        self._quarantine = quarantine
        self._outliers = Outliers(OutlierSettings())
        self._fresh_until_s: dict[str, float] = {}

    def usable(self, targets: Sequence[Target]) -> tuple[Target, ...]:
        """Return the targets of a pool that are not ejected."""
        return self._outliers.usable(targets, self._clock.now_s())

    def needs_fresh_connection(self, target: Target) -> bool:
        """Return whether pooled connections may be unresponsive."""
        until_s = self._fresh_until_s.get(target.name)
        if until_s is None:
            return False
        if self._clock.now_s() < until_s:
            return True
        self._fresh_until_s.pop(target.name)
        return False

    def note_silent_connection(self, target: Target) -> None:
        """Record that a new connection worked after a pooled one timed out.

        No pooled connection is used until all of them have been closed as
        idle.
        """
        now_s = self._clock.now_s()
        idle_s = service_client.POOLED_IDLE_S
        self._fresh_until_s[target.name] = now_s + idle_s
        logger.warning(
            'calls: connections went silent target=%s, the target lives',
            target.name,
        )

    async def note(
        self,
        fingerprint: str,
        target: Target,
        attempt: service_client.Attempt,
        *,
        is_fresh: bool,
    ) -> None:
        """Record the result of an attempt.

        A pooled connection that breaks may have been closed long before, so
        it does not count as an error of a target that still listens.

        :param fingerprint: digest that identifies repeated requests.
        :param target: target of the attempt.
        :param attempt: result of the attempt.
        :param is_fresh: whether it used a new connection.
        """
        has_crashed = await self._has_crashed(target, attempt)
        self._report(target, attempt, has_crashed=has_crashed)
        if isinstance(attempt, service_client.Answered):
            self._quarantine.completed(fingerprint, (target.name,))
        if isinstance(attempt, service_client.NotSent):
            self._quarantine.ended(fingerprint, (target.name,))
        if has_crashed:
            self._quarantine.crashed(target.name)
        self._quarantine.ended(fingerprint, (target.name,))
        is_stale = _is_broken(attempt) and not (is_fresh or has_crashed)
        if not (is_stale or isinstance(attempt, service_client.Withheld)):
            self._outliers.record_result(
                target.name,
                self._clock.now_s(),
                is_error=_is_error(attempt),
            )

    def _report(
        self,
        target: Target,
        attempt: service_client.Attempt,
        *,
        has_crashed: bool,
    ) -> None:
        address = target.address
        match attempt:
            case service_client.Declined(is_leaving=True):
                self._reports.refused_as_leaving(address)
            case service_client.Lost(kind=service_client.LossKind.SILENT):
                self._reports.connection_silent(address, is_new=True)
            case service_client.NotSent():
                self._reports.connection_failed(address, refused=has_crashed)
            case _ if has_crashed:
                self._reports.connection_failed(address, refused=True)

    async def _has_crashed(
        self,
        target: Target,
        attempt: service_client.Attempt,
    ) -> bool:
        if isinstance(attempt, service_client.NotSent):
            return attempt.is_refused
        return _is_broken(attempt) and await self._client.is_gone(target)


def _is_broken(attempt: service_client.Attempt) -> bool:
    return (
        isinstance(attempt, service_client.Lost)
        and attempt.kind is service_client.LossKind.BROKEN
    )


def _is_error(attempt: service_client.Attempt) -> bool:
    match attempt:
        case service_client.Answered(status):
            return status >= _MIN_ERROR_STATUS
        case _:
            return True
