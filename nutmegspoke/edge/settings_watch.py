"""Reads the settings again when they change, with or without a signal."""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegspoke.border.periodic import Periodic
from nutmegspoke.errors import SettingsError
from nutmegspoke.membership.host_changes import compare_hosts

if TYPE_CHECKING:
    from collections.abc import Callable

    from nutmegspoke.edge.decision_log import DecisionLog
    from nutmegspoke.edge.view import View
    from nutmegspoke.entry_host import EntryHost

# A file that changes without a signal is read within half of the shortest
# time that the deployments give a change to take effect (2 s).
_LOOK_S = 1.0


class SettingsWatch:
    """Applies changes of the settings to the view.

    :param read: reads the host's description anew.
    :param took: called with each description that is applied.
    """

    def __init__(
        self,
        read: Callable[[], EntryHost],
        view: View,
        took: Callable[[EntryHost], None],
        log: DecisionLog,
    ) -> None:
        """Take the view's host as the description in force."""
        self._read = read
        self._view = view
        self._took = took
        self._log = log
        self._described = view.host
        self._problem = ''
        self._periodic = Periodic('settings', _LOOK_S, self._look)

    def start(self) -> None:
        """Begin to look."""
        self._periodic.start()

    async def stop(self) -> None:
        """Look no more."""
        await self._periodic.stop()

    def reload(self) -> None:
        """Read the settings because a signal asks for it."""
        if not self._take('signal'):
            self._note('signal', 'unchanged')

    async def _look(self) -> None:
        self._take('file')

    def _take(self, cause: str) -> bool:
        """Read and apply; ``False`` if there is nothing new to tell."""
        try:
            described = self._read()
        except SettingsError as error:
            return self._failed(cause, str(error))
        self._problem = ''
        if described == self._described:
            return False
        self._described = described
        changes = compare_hosts(self._view.host, described)
        self._view.take_host(changes.host)
        self._took(changes.host)
        self._log.decided(
            'reload',
            cause=cause,
            outcome='applied' if changes.applied else 'needs a restart',
            applied=changes.applied,
            after_restart=changes.deferred,
        )
        return True

    def _failed(self, cause: str, problem: str) -> bool:
        """Keep the settings in force; tell each problem once."""
        if problem == self._problem and cause != 'signal':
            return False
        self._problem = problem
        self._note(cause, 'unreadable, kept as they are', problem)
        return True

    def _note(self, cause: str, outcome: str, reason: str = '') -> None:
        self._log.decided(
            'reload',
            cause=cause,
            outcome=outcome,
            reason=reason,
        )
