"""Questions to and answers of the routing policies."""

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
    """Why a policy chose nothing."""

    NO_TARGET = 'no_target'
    LAYER_GAP = 'layer_gap'
    AVOIDED = 'avoided'
    IN_FLIGHT_LIMIT = 'in_flight_limit'


@dataclasses.dataclass(frozen=True, slots=True)
class ChainQuery:
    """What a policy is told of a request that needs a chain.

    :param request_id: id of the request.
    :param layer_count: layers of the model.
    :param max_in_flight: requests in flight on one target at most.
    :param work_tokens: positions to run: prompt and generated tokens.
    :param prefix_key: digest of the prompt's prefix; empty for no affinity.
    :param availability_zone: zone of the daemon; empty if not known.
    :param avoided: names of targets that must not be used.
    :param limits: adapted in-flight limits by target, below the common one.
    :param is_first: the request is to have a fast chain, such as one of a
        team that runs less than its share.
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
    """An adapted in-flight limit of one target."""

    target: str
    max_in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChainChoice:
    """A chain for a request.

    :param chain: stages that cover every layer once, in order.
    :param reason: why this chain, for the log line.
    :param work_tokens: work that the request brings to each stage.
    """

    chain: Chain
    reason: str
    work_tokens: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class NoChain:
    """No chain can take the request now.

    :param reason: why not.
    :param layer: first layer without a usable target; -1 if none is missing.
    """

    reason: NoChoiceReason
    layer: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class TargetQuery:
    """What a policy is told of a call that needs one target.

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
    """A target for a call.

    :param target: the target.
    :param reason: why this target, for the log line.
    """

    target: Target
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoTarget:
    """No target can take the call now."""

    reason: NoChoiceReason


class ChainPolicy(Protocol):
    """Chooses chains of engines."""

    def choose(
        self,
        query: ChainQuery,
        targets: Sequence[Target],
        now_s: float,
    ) -> ChainChoice | NoChain:
        """Choose a chain.

        :param query: the request.
        :param targets: targets that may get new work.
        :param now_s: present time in seconds.
        """

    def finish(self, choice: ChainChoice) -> None:
        """Note that the request of a choice has ended."""


class TargetPolicy(Protocol):
    """Chooses single targets of plain services."""

    def choose(
        self,
        query: TargetQuery,
        targets: Sequence[Target],
        now_s: float,
    ) -> TargetChoice | NoTarget:
        """Choose a target.

        :param query: the call.
        :param targets: targets that may get new work.
        :param now_s: present time in seconds.
        """
