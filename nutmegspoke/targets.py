"""What a daemon knows of one target."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from nutmegspoke.layers import LayerRange


class TargetState(enum.StrEnum):
    """Whether a target may get new work."""

    LIVE = 'live'
    LEAVING = 'leaving'
    SUSPECT = 'suspect'
    GONE = 'gone'


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A target as a daemon sees it now.

    :param name: name in the host list or ``IP:PORT`` if listed by hand.
    :param address: ``IP:PORT``.
    :param pool: name of its pool.
    :param availability_zone: where it is; empty if not known.
    :param state: whether it may get new work.
    :param layers: layers that it holds; ``None`` for a service.
    :param model: model that it holds.
    :param version: version of the model.
    :param layer_tokens_per_s: layers times tokens that it runs in a second.
    :param link_bytes_per_s: rate of its link; 0 if not known.
    :param activation_bytes: bytes of a position between two stages.
    :param reported_in_flight: work in flight by its last report.
    :param reported_at_s: when the daemon got that report.
    :param sent_since_report: work sent by this daemon after that report.
    :param own_in_flight: work of this daemon in flight on it.
    """

    name: str
    address: str
    pool: str
    availability_zone: str = ''
    state: TargetState = TargetState.LIVE
    layers: LayerRange | None = None
    model: str = ''
    version: str = ''
    layer_tokens_per_s: float = 0.0
    link_bytes_per_s: float = 0.0
    activation_bytes: int = 0
    reported_in_flight: int = 0
    reported_at_s: float = 0.0
    sent_since_report: int = 0
    own_in_flight: int = 0


class TargetDirectory(Protocol):
    """Knows the targets of each pool."""

    def usable(self, pool: str, now_s: float) -> tuple[Target, ...]:
        """Return the targets of a pool that may get new work."""
