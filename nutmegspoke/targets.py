"""The state of targets as known to a daemon."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from nutmegspoke.layers import LayerRange


class TargetState(enum.StrEnum):
    """State of a target, which decides whether it may get new work."""

    LIVE = 'live'
    LEAVING = 'leaving'
    SUSPECT = 'suspect'
    GONE = 'gone'


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A target in its current state as known to a daemon.

    :param name: name in the host list, or ``IP:PORT`` if listed explicitly in
        the pool.
    :param address: ``IP:PORT``.
    :param pool: name of its pool.
    :param availability_zone: availability zone; empty if unknown.
    :param state: whether it may get new work.
    :param layers: layers that it holds; ``None`` for a service.
    :param model: model that it holds.
    :param version: version of the model.
    :param layer_tokens_per_s: throughput in layers times tokens per second.
    :param link_bytes_per_s: bandwidth of its network link; 0 if unknown.
    :param activation_bytes: bytes sent between two stages for one position.
    :param reported_in_flight: work in flight according to its last report.
    :param reported_at_s: time at which the daemon received that report.
    :param sent_since_report: work sent by this daemon since that report.
    :param own_in_flight: work sent by this daemon that is in flight.
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
    """Directory of the targets of each pool."""

    def usable(self, pool: str, now_s: float) -> tuple[Target, ...]:
        """Return the targets of a pool that may get new work."""
