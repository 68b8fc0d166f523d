"""Evidence of requests and revisions, and its encoding."""

from __future__ import annotations

import enum

import msgspec

_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.decode


class RecordKind(enum.StrEnum):
    """Kinds of records, in the order in which they are dropped."""

    ADOPTION = 'adoption'
    REPEATABLE = 'repeatable'
    NON_REPEATABLE = 'non_repeatable'


class Matched(msgspec.Struct, frozen=True, tag='matched'):
    """The request was matched to a route.

    :param route: name of the route.
    :param pool: name of its pool.
    :param team: team of the caller.
    :param revision: revision of the tables that matched it.
    :param is_repeatable: whether the route says that it may be repeated.
    """

    route: str
    pool: str
    team: str
    revision: int
    is_repeatable: bool


class ChainStage(msgspec.Struct, frozen=True):
    """A stage of a chain.

    :param target: name of the target.
    :param layers: the layers it runs, ``START-STOP``.
    """

    target: str
    layers: str


class ChainChosen(msgspec.Struct, frozen=True, tag='chain'):
    """An attempt of a draft goes over a chain.

    :param attempt: number of the attempt, from 1.
    :param stages: the chain.
    :param delivered_tokens: tokens that the caller had before.
    """

    attempt: int
    stages: tuple[ChainStage, ...]
    delivered_tokens: int = 0


class CallSent(msgspec.Struct, frozen=True, tag='call'):
    """A call was sent to a target.

    :param attempt: number of the attempt, from 1.
    :param target: name of the target.
    """

    attempt: int
    target: str


class AttemptLost(msgspec.Struct, frozen=True, tag='lost'):
    """An attempt did not end.

    :param attempt: number of the attempt.
    :param target: the target that it was with.
    :param reason: what was seen.
    """

    attempt: int
    target: str
    reason: str


class ClaimStep(msgspec.Struct, frozen=True, tag='claim'):
    """Something happened to the claim of a non-repeatable call.

    :param step: what happened, such as ``inserted`` or ``dispatched``.
    :param key: key of the claim row.
    :param nonce: nonce of the attempt to claim.
    """

    step: str
    key: str
    nonce: str = ''


class ReceiptsVerified(msgspec.Struct, frozen=True, tag='receipts'):
    """The receipts of a draft add up.

    :param digest: digest of all accepted receipts.
    :param tokens: tokens that they cover.
    :param layer_count: layers of the model.
    """

    digest: str
    tokens: int
    layer_count: int


Event = (
    Matched
    | ChainChosen
    | CallSent
    | AttemptLost
    | ClaimStep
    | ReceiptsVerified
)


class TimedEvent(msgspec.Struct, frozen=True):
    """An event with its time.

    :param after_s: time since the request came.
    :param event: what happened.
    """

    after_s: float
    event: Event


class Ending(msgspec.Struct, frozen=True):
    """What the caller was told.

    :param executed: ``yes``, ``no`` or ``unknown``.
    :param reason: why, if the call did not complete.
    :param status: HTTP status.
    :param retry_after_s: when to come back; ``None`` if not said.
    :param is_replayed: the answer was stored by an earlier run of the key.
    """

    executed: str
    reason: str = ''
    status: int = 0
    retry_after_s: float | None = None
    is_replayed: bool = False


class RequestRecord(msgspec.Struct, frozen=True, tag='request'):
    """All that happened to a request.

    :param request_id: id of the request.
    :param daemon: name of the daemon.
    :param received_wall_s: when it came, in seconds since 1970, for people.
    :param duration_s: time until its end.
    :param events: the events in order.
    :param ending: what the caller was told.
    :param dropped_events: number of further events that were not kept.
    """

    request_id: str
    daemon: str
    received_wall_s: float
    duration_s: float
    events: tuple[TimedEvent, ...]
    ending: Ending
    dropped_events: int = 0

    @property
    def matched(self) -> Matched | None:
        """Return how the request was matched; ``None`` if it wasn't."""
        return next(
            (
                timed.event
                for timed in self.events
                if isinstance(timed.event, Matched)
            ),
            None,
        )

    @property
    def kind(self) -> RecordKind:
        """Return the kind of the record."""
        matched = self.matched
        if matched is not None and not matched.is_repeatable:
            return RecordKind.NON_REPEATABLE
        return RecordKind.REPEATABLE


class AdoptionRecord(msgspec.Struct, frozen=True, tag='adoption'):
    """A daemon took a revision into force.

    :param daemon: name of the daemon.
    :param revision: the revision.
    :param previous: the revision before.
    :param source: ``store`` or ``peer``.
    :param wall_s: when, in seconds since 1970, for people.
    """

    daemon: str
    revision: int
    previous: int
    source: str
    wall_s: float

    @property
    def kind(self) -> RecordKind:
        """Return the kind of the record."""
        return RecordKind.ADOPTION


Record = RequestRecord | AdoptionRecord


def encode_record(record: Record) -> bytes:
    """Return the body of a record."""
    return _encode(record)


def decode_record(body: bytes) -> Record | None:
    """Return a record; ``None`` if it can't be read."""
    try:
        return _decode(body, type=Record)
    except msgspec.MsgspecError:
        return None


def encode_batch(bodies: tuple[bytes, ...]) -> bytes:
    """Return several encoded records as one object."""
    return _encode(bodies)


def decode_batch(body: bytes) -> tuple[Record, ...]:
    """Return the records of an object, without those that can't be read."""
    try:
        bodies = _decode(body, type=tuple[bytes, ...])
    except msgspec.MsgspecError:
        return ()
    records = map(decode_record, bodies)
    return tuple(record for record in records if record is not None)
