"""Messages between the router and model engines (MessagePack over HTTP)."""

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
    """Why a stage refuses a step before running it."""

    CACHE_LENGTH = 'cache_length'
    OLD_ATTEMPT = 'old_attempt'
    LAYERS = 'layers'
    LEAVING = 'leaving'


class StepRequest(msgspec.Struct):
    """One step of a stream at one stage: a run of consecutive positions.

    :param stream_id: id of the stream.
    :param attempt: attempt of the stream; a higher one replaces a lower one.
    :param position: first position of the step; must be the cache length.
    :param first_layer: first layer to run.
    :param stop_layer: layer after the last one to run.
    :param seed: seed of the stream.
    :param prompt: prompt to prefill, at the first stage only.
    :param tokens: tokens after the prompt, at the first stage only.
    :param hidden: outputs of the stage before, one for each position.
    :param priority: a higher one is served first.
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
    """What a stage answers to a step; its first fields are the receipt.

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
    :param is_passed_on: the outputs went to the next stage, not to the router.
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

    :param reason: a :class:`RefusalKind`; an unknown one is taken as text.
    :param cache_length: positions that the stage holds of the stream.
    :param attempt: highest attempt that the stage has seen of the stream.
    """

    reason: str
    cache_length: int = 0
    attempt: int = 0


class PassStage(msgspec.Struct):
    """A stage of a chain that engines pass a stream along."""

    target: str
    address: str
    first_layer: int
    stop_layer: int


class PassRequest(msgspec.Struct):
    """A step that the stages pass on among themselves.

    The first stage feeds each token back to itself and answers with one
    :class:`PassReply` for each token, each after its length.

    :param step: the step of the first stage of the chain.
    :param chain: the stages, the receiver first.
    :param token_count: tokens to generate.
    :param timeout_s: how long a stage waits for the next one.
    """

    step: StepRequest
    chain: tuple[PassStage, ...]
    token_count: int
    timeout_s: float


class PassReply(msgspec.Struct):
    """What became of one token.

    :param replies: replies of the stages in order, up to a loss.
    :param refusal: refusal of the stage after them, if it refused.
    :param loss: how the step to the stage after them was lost, if it was.
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
    :param digests: what each layer keeps, by position.
    :param padding: makes the block as large as a real one.
    """

    stream_id: str
    attempt: int
    first_layer: int
    stop_layer: int
    digests: tuple[tuple[int, ...], ...]
    padding: bytes = b''


class CancelRequest(msgspec.Struct):
    """Ends a stream at an engine, unless a higher attempt has begun."""

    stream_id: str
    attempt: int


class LoadReport(msgspec.Struct):
    """What a target reports of itself (JSON).

    :param target: name of the target.
    :param in_flight: steps or calls in work.
    :param queued: steps that wait.
    :param leaving: the target takes no new work.
    :param model: model that the engine holds; empty for a service.
    :param version: version of the model.
    :param first_layer: first layer that the engine holds.
    :param stop_layer: layer after the last one that the engine holds.
    :param layer_tokens_per_s: layers times tokens that it runs in a second.
    :param link_bytes_per_s: rate of its link.
    :param activation_bytes: bytes of a position between two stages.
    :param prefixes: digests of cached prompt prefixes.
    :param start_id: differs after each start of the target; may be empty.
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

    :param order_id: id of the order, recorded before it is sent.
    :param pool: pool whose lease the sender holds.
    :param fencing_number: number of that lease.
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
