"""Values of the target directory: sources, marks and state changes."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from nutmegspoke.targets import TargetState


class Source(enum.StrEnum):
    """Where news of a target came from."""

    HOST_LIST = 'host_list'
    REFUSAL = 'refusal'
    LOAD_REPORT = 'load_report'
    OPERATOR = 'operator'
    PEER = 'peer'
    CONNECTION = 'connection'


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingMark:
    """A target was said to be leaving.

    :param source: who said so first.
    :param since_s: when it was said, on this daemon's clock.
    :param start_id: start of the target that it was said of; may be empty.
    """

    source: Source
    since_s: float
    start_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingNote:
    """What daemons tell each other of a leaving target.

    :param address: ``IP:PORT`` of the target.
    :param start_id: start of the target that is leaving; may be empty.
    :param age_s: time since a daemon heard it from anyone but a peer.
    """

    address: str
    start_id: str
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StateChange:
    """A target changed its state.

    :param address: ``IP:PORT`` of the target.
    :param state: its new state.
    :param source: what made it change.
    :param start_id: start of a leaving target; empty if it is not known.
    """

    address: str
    state: TargetState
    source: Source
    start_id: str = ''
