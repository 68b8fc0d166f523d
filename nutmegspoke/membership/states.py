"""Values of the target directory: sources, leaving marks, state changes."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nutmegspoke.targets import TargetState


class Source(enum.StrEnum):
    """Source of information about a target."""

    HOST_LIST = 'host_list'
    REFUSAL = 'refusal'
    LOAD_REPORT = 'load_report'
    OPERATOR = 'operator'
    PEER = 'peer'
    CONNECTION = 'connection'


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingMark:
    """Report that a target is leaving.

    :param source: the first source that reported it.
    :param since_s: when it was reported, on this daemon's clock.
    :param start_id: start of the target that is leaving; may be empty.
    """

    source: Source
    since_s: float
    start_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingNote:
    """Report of a leaving target from one daemon to another.

    :param address: ``IP:PORT`` of the target.
    :param start_id: start of the target that is leaving; may be empty.
    :param age_s: time since a daemon first learned it from a source other than
        a peer.
    """

    address: str
    start_id: str
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StateChange:
    """Change of the state of a target.

    :param address: ``IP:PORT`` of the target.
    :param state: its new state.
    :param source: source that caused the change.
    :param start_id: start of a leaving target; empty if unknown.
    """

    address: str
    state: TargetState
    source: Source
    start_id: str = ''
