"""Reloads the settings on a signal or when their file changes."""

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

# Half of the shortest time that deployments allow for a change to take effect
# (2 s), so that a file changed without a signal is read in time.
_POLL_INTERVAL_S = 1.0


class SettingsWatch:
    """Watcher that applies changes of the settings to the view.

    :param read: reads the description of the host; raises
        :exc:`~nutmegspoke.errors.SettingsError`.
    :param view: view whose host is updated.
    :param on_change: called with each description that is applied.
    :param log: log of decisions.
    """

    def __init__(
        self,
        read: Callable[[], EntryHost],
        view: View,
        on_change: Callable[[EntryHost], None],
        log: DecisionLog,
    ) -> None:
        """Create a watcher that starts from the view's description."""
        self._read = read
        self._view = view
        self._on_change = on_change
        self._log = log
        self._last_read = view.host
        self._problem = ''
        self._periodic = Periodic(
            'settings', _POLL_INTERVAL_S, self._check_file
        )

    def start(self) -> None:
        """Start to check the settings periodically."""
        self._periodic.start()

    async def stop(self) -> None:
        """Stop the periodic check."""
        await self._periodic.stop()

    def reload(self) -> None:
        """Read the settings on a signal."""
        if not self._apply('signal'):
            self._log_reload('signal', 'unchanged')

    async def _check_file(self) -> None:
        self._apply('file')

    def _apply(self, cause: str) -> bool:
        """Read and apply the settings; ``False`` if nothing was logged."""
        try:
            new_host = self._read()
        except SettingsError as error:
            return self._report_failure(cause, str(error))
        self._problem = ''
        if new_host == self._last_read:
            return False
        self._last_read = new_host
        changes = compare_hosts(self._view.host, new_host)
        self._view.apply_host(changes.host)
        self._on_change(changes.host)
        self._log.decided(
            'reload',
            cause=cause,
            outcome='applied' if changes.applied else 'needs a restart',
            applied=changes.applied,
            after_restart=changes.deferred,
        )
        return True

    def _report_failure(self, cause: str, problem: str) -> bool:
        """Log a problem; repeats are logged only on a signal.

        The current settings stay in force.
        """
        if problem == self._problem and cause != 'signal':
            return False
        self._problem = problem
        self._log_reload(cause, 'unreadable, kept as they are', problem)
        return True

    def _log_reload(self, cause: str, outcome: str, reason: str = '') -> None:
        self._log.decided(
            'reload',
            cause=cause,
            outcome=outcome,
            reason=reason,
        )
