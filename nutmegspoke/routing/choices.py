"""Queries and results of the routing policies."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from nutmegspoke.layers import Chain
    from nutmegspoke.targets import Target


class RandomSource(Protocol):
    """A seeded source of random numbers, such as ``random.Random``."""

    def random(self) -> float:
        """Return a number in ``[0, 1)``."""


class NoChoiceReason(enum.StrEnum):
    """Reason why a policy found no chain or target."""

    NO_TARGET = 'no_target'
    LAYER_GAP = 'layer_gap'
    AVOIDED = 'avoided'
    IN_FLIGHT_LIMIT = 'in_flight_limit'


@dataclasses.dataclass(frozen=True, slots=True)
class ChainQuery:
    """Properties of a request by which a policy chooses a chain.

    :param request_id: id of the request.
    :param layer_count: layers of the model.
    :param max_in_flight: requests in flight on one target at most.
    :param work_tokens: number of prompt and generated tokens to run.
    :param prefix_key: digest of the prompt's prefix; empty for no affinity.
    :param availability_zone: zone of the daemon; empty if not known.
    :param avoided: names of targets that must not be used.
    :param limits: adapted in-flight limits by target, below the common one.
    :param is_first: prefer the fastest chain, for example because the team of
        the request runs less than its share.
    """

    request_id: str
    layer_count: int
    max_in_flight: int
    work_tokens: int = 1
    prefix_key: str = ''
    availability_zone: str = ''
    avoided: frozenset[str] = frozenset()
    limits: tuple[TargetLimit, ...] = ()
    is_first: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLimit:
    """Adapted in-flight limit of one target.

    :param target: name of the target.
    :param max_in_flight: the limit.
    """

    target: str
    max_in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChainChoice:
    """Chain chosen for a request.

    :param chain: stages that cover every layer once, in order.
    :param reason: why this chain was chosen, for the log line.
    :param work_tokens: work of the request at each stage, in tokens.
    """

    chain: Chain
    reason: str
    work_tokens: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class NoChain:
    """No chain is available for the request now.

    :param reason: why there is no chain.
    :param layer: first layer without a usable target; -1 if there is none.
    """

    reason: NoChoiceReason
    layer: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class TargetQuery:
    """Properties of a call by which a policy chooses a target.

    :param request_id: id of the request.
    :param max_in_flight: calls in flight on one target at most.
    :param availability_zone: zone of the daemon; empty if not known.
    :param avoided: names of targets that must not be used.
    :param limits: adapted in-flight limits by target, below the common one.
    """

    request_id: str
    max_in_flight: int
    availability_zone: str = ''
    avoided: frozenset[str] = frozenset()
    limits: tuple[TargetLimit, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TargetChoice:
    """Target chosen for a call.

    :param target: the target.
    :param reason: why this target was chosen, for the log line.
    """

    target: Target
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoTarget:
    """No target is available for the call now."""

    reason: NoChoiceReason


class ChainPolicy(Protocol):
    """Policy that chooses chains of engines."""

    def choose(
        self,
        query: ChainQuery,
        targets: Sequence[Target],
        now_s: float,
    ) -> ChainChoice | NoChain:
        """Choose a chain.

        :param query: the request.
        :param targets: targets that accept new work.
        :param now_s: current time, in seconds.
        """

    def finish(self, choice: ChainChoice) -> None:
        """Record that the request of a choice has ended."""


class TargetPolicy(Protocol):
    """Policy that chooses single targets of plain services."""

    def choose(
        self,
        query: TargetQuery,
        targets: Sequence[Target],
        now_s: float,
    ) -> TargetChoice | NoTarget:
        """Choose a target.

        :param query: the call.
        :param targets: targets that accept new work.
        :param now_s: current time, in seconds.
        """
