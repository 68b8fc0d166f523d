"""Exceptions of nutmegspoke."""

from __future__ import annotations


class NutmegspokeError(Exception):
    """Base class of all exceptions that nutmegspoke raises."""


class BrokenInvariantError(NutmegspokeError):
    """An internal invariant is broken. The error stops the process."""


class SettingsError(NutmegspokeError):
    """The settings are missing or invalid.

    :param faults: a sentence for each fault, with section and key.
    """

    def __init__(self, faults: tuple[str, ...]) -> None:
        """Join the faults into one message, a line for each."""
        super().__init__('\n'.join(faults))
        self.faults = faults


class ServiceNameError(NutmegspokeError):
    """A service name is unknown or registered twice."""
