"""Streams of the engine stand-in: caches by layer, attempts and positions."""

from __future__ import annotations

import dataclasses

from nutmegspoke.engine_protocol import StepRefusal, StepReply, StepRequest
from nutmegspoke.standins import arithmetic


@dataclasses.dataclass(slots=True)
class _Stream:
    attempt: int
    length: int = 0
    caches: dict[int, list[int]] = dataclasses.field(default_factory=dict)

    def truncate(self, length: int) -> None:
        self.length = length
        for cache in self.caches.values():
            del cache[length + 1 :]  # noqa: WPS420


class StreamCaches:
    """Runs steps and keeps the caches of the streams.

    :param target: name of the engine.
    :param first_layer: first layer that it holds.
    :param stop_layer: layer after the last one that it holds.
    :param layer_count: layers of the whole model.
    """

    def __init__(
        self,
        target: str,
        first_layer: int,
        stop_layer: int,
        layer_count: int,
    ) -> None:
        """Create an engine without streams."""
        self.target = target
        self.first_layer = first_layer
        self.stop_layer = stop_layer
        self.layer_count = layer_count
        self._streams: dict[str, _Stream] = {}

    def load(self, first_layer: int, stop_layer: int) -> None:
        """Hold another layer range; all caches are lost."""
        self.first_layer = first_layer
        self.stop_layer = stop_layer
        self._streams.clear()

    def admit(self, step: StepRequest) -> StepRefusal | None:
        """Check a step against the stream's attempt and cache length."""
        if not self._holds(step):
            return StepRefusal('layers')
        stream = self._streams.setdefault(
            step.stream_id,
            _Stream(step.attempt),
        )
        if step.attempt < stream.attempt:
            return StepRefusal('old_attempt', stream.length, stream.attempt)
        if step.attempt > stream.attempt:
            stream.attempt = step.attempt
            stream.truncate(min(step.position, stream.length))
        if step.position != stream.length:
            return StepRefusal('cache_length', stream.length, stream.attempt)
        return None

    def run(self, step: StepRequest) -> StepReply:
        """Run an admitted step."""
        inputs = self._inputs(step)
        outputs = tuple(self._run_position(step, hidden) for hidden in inputs)
        is_last = step.stop_layer == self.layer_count
        token = arithmetic.sample(outputs[-1]) if is_last else None
        return StepReply(
            target=self.target,
            stream_id=step.stream_id,
            attempt=step.attempt,
            position=step.position,
            count=len(outputs),
            first_layer=step.first_layer,
            stop_layer=step.stop_layer,
            hidden=outputs if token is None else (),
            token=token,
            text='' if token is None else arithmetic.token_text(token),
        )

    def position_count(self, step: StepRequest) -> int:
        """Return the number of positions of a step."""
        if step.hidden:
            return len(step.hidden)
        return len(step.prompt.split()) + len(step.tokens)

    def cancel(self, stream_id: str, attempt: int) -> bool:
        """Forget a stream unless a higher attempt has begun."""
        stream = self._streams.get(stream_id)
        if stream is None or stream.attempt > attempt:
            return False
        self._streams.pop(stream_id)
        return True

    def stream_count(self) -> int:
        """Return the number of streams with a cache."""
        return len(self._streams)

    def _holds(self, step: StepRequest) -> bool:
        return (
            self.first_layer <= step.first_layer
            and step.first_layer < step.stop_layer
            and step.stop_layer <= self.stop_layer
        )

    def _inputs(self, step: StepRequest) -> list[int]:
        if step.hidden:
            return list(step.hidden)
        tokens = arithmetic.tokenize(step.prompt)
        tokens.extend(step.tokens)
        return [
            arithmetic.embed(token, step.position + offset, step.seed)
            for offset, token in enumerate(tokens)
        ]

    def _run_position(self, step: StepRequest, hidden: int) -> int:
        stream = self._streams[step.stream_id]
        for layer in range(step.first_layer, step.stop_layer):
            cache = stream.caches.setdefault(layer, [0])
            hidden, digest = arithmetic.run_layer(layer, hidden, cache[-1])
            cache.append(digest)
        stream.length += 1
        return hidden
