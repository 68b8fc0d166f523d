"""Messages between the router and engines, as MessagePack over HTTP."""

from __future__ import annotations

import enum

import msgspec

STEPS_PATH = '/v1/steps'
LOAD_PATH = '/v1/load'
CANCEL_PATH = '/v1/cancel'
CACHES_PATH = '/v1/caches'
PASSES_PATH = '/v1/passes'
ORDERS_PATH = '/v1/orders'
MEDIA_TYPE = 'application/msgpack'


class RefusalKind(enum.StrEnum):
    """Reason why a stage refuses a step before running it."""

    CACHE_LENGTH = 'cache_length'
    OLD_ATTEMPT = 'old_attempt'
    LAYERS = 'layers'
    LEAVING = 'leaving'


class StepRequest(msgspec.Struct):
    """A step of a stream at one stage, over consecutive token positions.

    :param stream_id: id of the stream.
    :param attempt: attempt number; a higher attempt replaces a lower one.
    :param position: first position of the step; must equal the cache length.
    :param first_layer: first layer to run.
    :param stop_layer: layer after the last one to run.
    :param seed: seed of the stream.
    :param prompt: prompt to prefill; first stage only.
    :param tokens: tokens after the prompt; first stage only.
    :param hidden: outputs of the previous stage, one for each position.
    :param priority: steps with a higher priority run first.
    """

    stream_id: str
    attempt: int
    position: int
    first_layer: int
    stop_layer: int
    seed: int = 0
    prompt: str = ''
    tokens: tuple[int, ...] = ()
    hidden: tuple[int, ...] = ()
    priority: int = 0


class StepReply(msgspec.Struct):
    """Reply of a stage to a step; its first fields form the receipt.

    :param target: name of the engine.
    :param stream_id: id of the stream.
    :param attempt: attempt of the step.
    :param position: first position of the step.
    :param count: number of positions of the step.
    :param first_layer: first layer that ran.
    :param stop_layer: layer after the last one that ran.
    :param hidden: outputs of the last layer that ran, one for each position.
    :param token: the next token, if the last layer of the model ran.
    :param text: text of the token.
    :param is_passed_on: whether the outputs were sent to the next stage instead
        of the router.
    """

    target: str
    stream_id: str
    attempt: int
    position: int
    count: int
    first_layer: int
    stop_layer: int
    hidden: tuple[int, ...] = ()
    token: int | None = None
    text: str = ''
    is_passed_on: bool = False


class StepRefusal(msgspec.Struct):
    """A stage refused a step before running it (HTTP 409 or 503).

    :param reason: a :class:`RefusalKind`; unknown values are kept as text.
    :param cache_length: positions of the stream in the stage's cache.
    :param attempt: highest attempt of the stream received by the stage.
    """

    reason: str
    cache_length: int = 0
    attempt: int = 0


class PassStage(msgspec.Struct):
    """A stage of a chain whose engines forward steps to each other."""

    target: str
    address: str
    first_layer: int
    stop_layer: int


class PassRequest(msgspec.Struct):
    """A step that the engines of a chain forward to each other.

    The first stage feeds each token back to itself. It answers with one
    length-prefixed :class:`PassReply` for each token.

    :param step: the step for the first stage of the chain.
    :param chain: the stages of the chain, starting with the receiver.
    :param token_count: number of tokens to generate.
    :param timeout_s: timeout of each stage for a reply of the next one.
    """

    step: StepRequest
    chain: tuple[PassStage, ...]
    token_count: int
    timeout_s: float


class PassReply(msgspec.Struct):
    """Outcome of the step for one token.

    :param replies: replies of the stages in order, up to the first that
        failed.
    :param refusal: refusal of the next stage, if it refused the step.
    :param loss: how the step to the next stage was lost, if it was.
    """

    replies: tuple[StepReply, ...] = ()
    refusal: StepRefusal | None = None
    loss: str = ''


class CacheBlock(msgspec.Struct):
    """The exported KV cache of a stream.

    :param stream_id: id of the stream.
    :param attempt: highest attempt of the stream.
    :param first_layer: first layer of the block.
    :param stop_layer: layer after the last one of the block.
    :param digests: the cached digests of each layer, by position.
    :param padding: pads the block to the size of a real cache.
    """

    stream_id: str
    attempt: int
    first_layer: int
    stop_layer: int
    digests: tuple[tuple[int, ...], ...]
    padding: bytes = b''


class CancelRequest(msgspec.Struct):
    """Cancels a stream at an engine, unless a higher attempt has started."""

    stream_id: str
    attempt: int


class LoadReport(msgspec.Struct):
    """Load and state reported by a target (JSON).

    :param target: name of the target.
    :param in_flight: steps or calls in progress.
    :param queued: steps in the queue.
    :param leaving: whether the target accepts no new work.
    :param model: model that the engine holds; empty for a service.
    :param version: version of the model.
    :param first_layer: first layer that the engine holds.
    :param stop_layer: layer after the last one that the engine holds.
    :param layer_tokens_per_s: throughput in layers times tokens per second.
    :param link_bytes_per_s: bandwidth of its network link.
    :param activation_bytes: bytes sent between two stages for one position.
    :param prefixes: digests of cached prompt prefixes.
    :param start_id: id that differs for each start of the target; may be
        empty.
    """

    target: str
    in_flight: int = 0
    queued: int = 0
    leaving: bool = False
    model: str = ''
    version: str = ''
    first_layer: int = 0
    stop_layer: int = 0
    layer_tokens_per_s: float = 0.0
    link_bytes_per_s: float = 0.0
    activation_bytes: int = 0
    prefixes: tuple[str, ...] = ()
    start_id: str = ''


class LayerOrder(msgspec.Struct):
    """An order to hold a layer range (JSON).

    :param order_id: id of the order, stored before the order is sent.
    :param pool: name of the pool whose lease the sender holds.
    :param fencing_number: fencing number of that lease.
    :param model: model to load.
    :param version: version to load.
    :param first_layer: first layer to hold.
    :param stop_layer: layer after the last one to hold.
    """

    order_id: str
    pool: str
    fencing_number: int
    model: str
    version: str
    first_layer: int
    stop_layer: int
