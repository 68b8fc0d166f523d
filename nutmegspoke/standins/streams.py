"""Streams of the engine stand-in: a KV cache for each layer, and attempts."""

from __future__ import annotations

import collections
import dataclasses

from nutmegspoke.engine_protocol import (
    CacheBlock,
    RefusalKind,
    StepRefusal,
    StepReply,
    StepRequest,
)
from nutmegspoke.standins import arithmetic

_MAX_ENDED_STREAMS = 4096


@dataclasses.dataclass(slots=True)
class _LayerCache:
    """KV cache of one layer, as the digest after each position.

    The first digest is that of the empty cache.
    """

    attempt: int
    digests: list[int] = dataclasses.field(default_factory=lambda: [0])

    @property
    def length(self) -> int:
        return len(self.digests) - 1

    def start_attempt(self, attempt: int, position: int) -> None:
        """Truncate to a position if the attempt is higher than the last."""
        if attempt > self.attempt:
            self.attempt = attempt
            del self.digests[position + 1 :]  # noqa: WPS420


@dataclasses.dataclass(slots=True)
class _Stream:
    attempt: int
    caches: dict[int, _LayerCache] = dataclasses.field(default_factory=dict)

    def ensure_caches(self, first: int, stop: int) -> list[_LayerCache]:
        return [
            self.caches.setdefault(layer, _LayerCache(self.attempt))
            for layer in range(first, stop)
        ]


class StreamCaches:
    """KV caches of the streams of one engine, with its name and layers.

    :param target: name of the engine.
    :param first_layer: first layer that the engine holds.
    :param stop_layer: layer after the last one that the engine holds.
    :param layer_count: number of layers of the whole model.
    """

    def __init__(
        self,
        target: str,
        first_layer: int,
        stop_layer: int,
        layer_count: int,
    ) -> None:
        """Start without streams."""
        self.target = target
        self.first_layer = first_layer
        self.stop_layer = stop_layer
        self.layer_count = layer_count
        self._streams: dict[str, _Stream] = {}
        self._ended: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def load(self, first_layer: int, stop_layer: int) -> None:
        """Replace the layer range; all caches are dropped."""
        self.first_layer = first_layer
        self.stop_layer = stop_layer
        self._streams.clear()

    def admit(self, step: StepRequest) -> StepRefusal | None:
        """Check a step against the layers, the attempt and the cache length.

        :returns: why the step is refused; ``None`` if it may run.
        """
        if not self._holds_layers(step):
            return StepRefusal(RefusalKind.LAYERS)
        lowest = self._lowest_attempt(step.stream_id)
        if step.attempt < lowest:
            return StepRefusal(RefusalKind.OLD_ATTEMPT, 0, lowest)
        stream = self._streams.setdefault(
            step.stream_id,
            _Stream(step.attempt),
        )
        stream.attempt = step.attempt
        caches = stream.ensure_caches(step.first_layer, step.stop_layer)
        for cache in caches:
            cache.start_attempt(step.attempt, step.position)
        if any(cache.length != step.position for cache in caches):
            length = min(cache.length for cache in caches)
            return StepRefusal(
                RefusalKind.CACHE_LENGTH,
                length,
                stream.attempt,
            )
        return None

    def run(self, step: StepRequest) -> StepReply:
        """Run a step that :meth:`admit` has accepted, and extend the caches."""
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

    def cancel(self, stream_id: str, attempt: int) -> bool:
        """Remove a stream unless a higher attempt has started.

        The highest attempt is kept, so that a late step of an older attempt
        does not create the stream again.

        :returns: whether the stream was removed.
        """
        stream = self._streams.get(stream_id)
        if stream is None or stream.attempt > attempt:
            return False
        self._streams.pop(stream_id)
        self._ended[stream_id] = stream.attempt
        if len(self._ended) > _MAX_ENDED_STREAMS:
            self._ended.popitem(last=False)
        return True

    def stream_count(self) -> int:
        """Return the number of streams that have caches."""
        return len(self._streams)

    def export(
        self, stream_id: str, first: int, stop: int
    ) -> CacheBlock | None:
        """Return the caches of a stream; ``None`` if it is unknown."""
        stream = self._streams.get(stream_id)
        if stream is None:
            return None
        caches = stream.ensure_caches(first, stop)
        return CacheBlock(
            stream_id=stream_id,
            attempt=stream.attempt,
            first_layer=first,
            stop_layer=stop,
            digests=tuple(tuple(cache.digests) for cache in caches),
        )

    def import_block(self, block: CacheBlock) -> bool:
        """Store the caches of a stream that another engine exported.

        :returns: whether they were stored; false if their attempt is too old.
        """
        if block.attempt < self._lowest_attempt(block.stream_id):
            return False
        stream = self._streams.setdefault(
            block.stream_id,
            _Stream(block.attempt),
        )
        stream.attempt = block.attempt
        for layer, digests in enumerate(block.digests, block.first_layer):
            stream.caches[layer] = _LayerCache(block.attempt, list(digests))
        return True

    def _lowest_attempt(self, stream_id: str) -> int:
        """Return the lowest attempt that may run.

        For an ended stream this is one higher than its last attempt.
        """
        stream = self._streams.get(stream_id)
        if stream is not None:
            return stream.attempt
        return self._ended.get(stream_id, 0) + 1

    def _holds_layers(self, step: StepRequest) -> bool:
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
        caches = stream.ensure_caches(step.first_layer, step.stop_layer)
        for layer, cache in enumerate(caches, step.first_layer):
            hidden, digest = arithmetic.run_layer(
                layer,
                hidden,
                cache.digests[-1],
            )
            cache.digests.append(digest)
        return hidden
