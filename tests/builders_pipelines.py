"""Builders and fakes for tests of pipelines, and the expected answer."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

import xxhash

from nutmegspoke.layers import LayerRange, Stage
from nutmegspoke.pipelines.carrier import LossKind, StepLost
from nutmegspoke.pipelines.run import DraftInput, DraftRun
from nutmegspoke.requests import DraftRequest
from nutmegspoke.standins.streams import StreamCaches
from nutmegspoke.tables.rows import PoolKind, PoolRow, RouteRow
from nutmegspoke.targets import Target

if TYPE_CHECKING:
    from collections.abc import Sequence

    from nutmegspoke.engine_protocol import StepRefusal, StepReply, StepRequest
    from nutmegspoke.layers import Chain
    from nutmegspoke.pipelines.carrier import Lookahead

LAYER_COUNT = 6
PROMPT = 'Notes of the club: the band plays in Tacoma'
SECRET = 'a-secret-of-sixteen'
_TOKEN_SPACE = 65_521


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())


def expected_answer(
    prompt: str = PROMPT,
    seed: int = 7,
    count: int = 8,
    layer_count: int = LAYER_COUNT,
) -> list[int]:
    """Return the tokens of an answer, computed without caches or stages."""
    inputs = [
        xxhash.xxh32_intdigest(word.encode()) % _TOKEN_SPACE
        for word in prompt.split()
    ]
    prompt_length = len(inputs)
    histories = [0 for _ in range(layer_count)]
    position = 0
    while len(inputs) < prompt_length + count:
        activation = _hash(f'embed:{inputs[position]}:{position}:{seed}')
        for layer, history in enumerate(histories):
            histories[layer] = _hash(f'cache:{history}:{activation}')
            activation = _hash(f'layer:{layer}:{activation}:{history}')
        position += 1
        if position >= prompt_length:
            inputs.append(activation % _TOKEN_SPACE)
    return inputs[prompt_length:]


def stage(name: str, layers: str) -> Stage:
    """Build a stage whose address is its name.

    :param layers: layer range as ``START-STOP``.
    """
    return Stage(name, name, LayerRange.from_text(layers))


def chain(*stages: str) -> Chain:
    """Build a chain of stages given as ``NAME:START-STOP``."""
    return tuple(stage(*text.split(':')) for text in stages)


CHAIN = chain('a:0-2', 'b:2-4', 'c:4-6')
OTHER_CHAIN = chain('a:0-2', 'd:2-4', 'c:4-6')


def engines(layer_count: int = LAYER_COUNT) -> dict[str, StreamCaches]:
    """Build engines by name; several hold each layer, ``f`` holds all."""
    held = {
        'a': (0, 2),
        'b': (2, 4),
        'c': (4, layer_count),
        'd': (2, 4),
        'e': (0, 4),
        'f': (0, layer_count),
    }
    return {
        name: StreamCaches(name, *layers, layer_count)
        for name, layers in held.items()
    }


def plan(**changes: Any) -> DraftInput:
    """Build a plan of eight tokens, with some fields changed."""
    default = DraftInput(
        stream_id='s1',
        prompt=PROMPT,
        seed=7,
        layer_count=LAYER_COUNT,
        max_tokens=8,
    )
    return dataclasses.replace(default, **changes)


def run(over: Chain = CHAIN, attempt: int = 1, **changes: Any) -> DraftRun:
    """Build a run on a chain."""
    return DraftRun(plan(**changes), over, attempt)


def run_step(
    held: dict[str, StreamCaches],
    target: str,
    step: StepRequest,
) -> StepReply | StepRefusal:
    """Run a step on an engine and return its reply or refusal."""
    refusal = held[target].admit(step)
    return refusal if refusal is not None else held[target].run(step)


class TickingClock:
    """A clock that advances by 10 ms each time it is read."""

    present_s = 1000.0

    def now_s(self) -> float:
        """Advance the clock and return its time in seconds."""
        self.present_s += 0.01
        return self.present_s

    def wall_s(self) -> float:
        """Return the current time in seconds."""
        return self.present_s


class FakeTargets:
    """Directory of some engines; records reports about them in ``reports``.

    Targets reported as leaving or failed are hidden.
    """

    def __init__(self, names: Sequence[str], layer_count: int) -> None:
        """Create a directory of the engines with these names."""
        self.reports: list[tuple[str, str]] = []
        self.hidden: set[str] = set()
        self.in_flight: dict[str, int] = {}
        self._targets = [
            Target(
                name=name,
                address=name,
                pool='drafting',
                layers=LayerRange(held.first_layer, held.stop_layer),
            )
            for name, held in engines(layer_count).items()
            if name in names
        ]

    def set_address(self, name: str, address: str) -> None:
        """Set the address of a target."""
        self._targets = [
            dataclasses.replace(target, address=address)
            if target.name == name
            else target
            for target in self._targets
        ]

    def address(self, name: str) -> str:
        """Return the address of a target."""
        return next(
            target.address for target in self._targets if target.name == name
        )

    def usable(self, pool: str, now_s: float) -> tuple[Target, ...]:
        """Return the targets that are not hidden."""
        return tuple(
            target
            for target in self._targets
            if target.address not in self.hidden
        )

    def started(self, address: str) -> None:
        """Count a request in flight."""
        self.in_flight[address] = self.in_flight.get(address, 0) + 1

    def finished(self, address: str) -> None:
        """Count a request in flight less."""
        self.in_flight[address] -= 1

    def refused_as_leaving(self, address: str) -> None:
        """Record the report."""
        self._record('leaving', address)

    def connection_failed(self, address: str, *, refused: bool) -> None:
        """Record the report."""
        self._record('refused' if refused else 'reset', address)

    def connection_silent(self, address: str, *, is_new: bool) -> None:
        """Record the report."""
        self._record('silent' if is_new else 'old silent', address)

    def _record(self, what: str, address: str) -> None:
        self.reports.append((what, address))
        if what in {'leaving', 'refused', 'reset', 'silent'}:
            self.hidden.add(address)


class FakeGate:
    """Admission gate that admits every request and counts those inside."""

    def __init__(self) -> None:
        """Create a gate without requests."""
        self.inside = 0

    async def enter(self, request: DraftRequest) -> None:
        """Admit a request."""
        self.inside += 1

    def is_below_share(self, request: DraftRequest) -> bool:
        """Return ``False`` for every team."""
        return False

    def leave(self, request: DraftRequest, *, is_served: bool) -> None:
        """Remove a request."""
        self.inside -= 1


class FakeCarrier:
    """Carrier to engines in this process, with faults by a script.

    Each entry of ``script`` is the fault of the next step: ``ok``; a value of
    :class:`LossKind` (the step does not run); ``lost_reply`` (the step runs);
    ``twice`` (the step arrives twice); ``old`` (the first reply of all is
    returned); ``crossed`` (a reply of another stream is returned); ``empty``
    (the engine has restarted without caches); ``dead`` (the target is gone).

    A prompt that contains ``poison`` makes each engine that gets it ``dead``.
    """

    def __init__(self, held: dict[str, StreamCaches]) -> None:
        """Create a carrier to these engines, without faults."""
        self.held = held
        self.script: list[str] = []
        self.poison = ''
        self.dead: set[str] = set()
        self.cancelled: list[str] = []
        self._replies: list[StepReply] = []
        self._other_replies: list[StepReply] = []

    async def carry(
        self,
        stage: Stage,
        step: StepRequest,
        progress_timeout_s: float,
        lookahead: Lookahead | None = None,
    ) -> StepReply | StepRefusal | StepLost:
        """Run a step on its engine, or simulate the next fault."""
        fault = self.script.pop(0) if self.script else 'ok'
        if self.poison and self.poison in step.prompt:
            fault = 'dead' if stage.target not in self.dead else fault
        if fault == 'dead':
            self.dead.add(stage.target)
            return StepLost(LossKind.RESET)
        if stage.target in self.dead:
            return StepLost(LossKind.UNREACHABLE)
        if fault in set(LossKind):
            return StepLost(LossKind(fault))
        if fault == 'empty':
            held = self.held[stage.target]
            held.load(held.first_layer, held.stop_layer)
        reply = run_step(self.held, stage.target, step)
        if fault == 'lost_reply':
            return StepLost(LossKind.CONNECTION_SILENT)
        if fault == 'twice':
            reply = run_step(self.held, stage.target, step)
        return self._pick_reply(fault, reply)

    async def cancel(self, stage: Stage, stream_id: str, attempt: int) -> None:
        """Cancel a stream at an engine."""
        self.cancelled.append(stage.target)
        self.held[stage.target].cancel(stream_id, attempt)

    def _pick_reply(self, fault: str, reply: Any) -> Any:
        self._replies.append(reply)
        if fault == 'old':
            return self._replies[0]
        if fault == 'crossed':
            return self._other_replies.pop()
        return reply

    def cross(self, reply: Any) -> None:
        """Add a reply of another stream, for the fault ``crossed``."""
        self._other_replies.append(reply)


def draft_request(**changes: Any) -> DraftRequest:
    """Build a request of eight tokens, with some fields changed."""
    default = DraftRequest(
        request_id='r1',
        team='press',
        route=RouteRow(
            'drafts',
            '/v1/completions',
            'drafting',
            repeatable=True,
            progress_timeout_s=0.2,
        ),
        pool=PoolRow(
            'drafting',
            PoolKind.ENGINE,
            model='fanletter',
            layer_count=LAYER_COUNT,
        ),
        revision=1,
        prompt=PROMPT,
        max_tokens=8,
        seed=7,
        received_s=1000.0,
        deadline_s=1060.0,
    )
    return dataclasses.replace(default, **changes)
