"""Evidence records of requests and adopted revisions, and their encoding."""

from __future__ import annotations

import enum

import msgspec

_encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.decode


class RecordKind(enum.StrEnum):
    """Kinds of records, in the order in which a full buffer drops them."""

    ADOPTION = 'adoption'
    REPEATABLE = 'repeatable'
    NON_REPEATABLE = 'non_repeatable'


class Matched(msgspec.Struct, frozen=True, tag='matched'):
    """The request was matched to a route.

    :param route: name of the route.
    :param pool: name of its pool.
    :param team: team of the caller.
    :param revision: revision of the tables used for matching.
    :param is_repeatable: whether the route allows the call to run more than
        once.
    """

    route: str
    pool: str
    team: str
    revision: int
    is_repeatable: bool


class ChainStage(msgspec.Struct, frozen=True):
    """A stage of a chain, as recorded.

    :param target: name of the target.
    :param layers: layers that the target runs, ``START-STOP``.
    """

    target: str
    layers: str


class ChainChosen(msgspec.Struct, frozen=True, tag='chain'):
    """A chain was chosen for an attempt of a draft.

    :param attempt: number of the attempt, from 1.
    :param stages: stages of the chain, in order.
    :param delivered_tokens: tokens delivered to the caller before the
        attempt.
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
    """An attempt was lost before it completed.

    :param attempt: number of the attempt.
    :param target: name of the target at which it was lost.
    :param reason: the observed failure.
    """

    attempt: int
    target: str
    reason: str


class ClaimStep(msgspec.Struct, frozen=True, tag='claim'):
    """A state change of the claim of a non-repeatable call.

    :param step: the change, such as ``inserted`` or ``dispatched``.
    :param key: key of the claim row.
    :param nonce: nonce of the attempt to claim.
    """

    step: str
    key: str
    nonce: str = ''


class ReceiptsVerified(msgspec.Struct, frozen=True, tag='receipts'):
    """The receipts of a draft cover each layer once for every token.

    :param digest: digest of all accepted receipts.
    :param tokens: number of tokens covered by the receipts.
    :param layer_count: number of layers of the model.
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

    :param after_s: time since the request was received.
    :param event: the event.
    """

    after_s: float
    event: Event


class Ending(msgspec.Struct, frozen=True):
    """The answer sent to the caller.

    :param executed: whether the call ran: ``yes``, ``no`` or ``unknown``.
    :param reason: reason code if the call did not complete.
    :param status: HTTP status; 0 if no answer was sent.
    :param retry_after_s: time after which the caller may retry; ``None`` if
        not given.
    :param is_replayed: whether the answer was stored by an earlier call with
        the same key.
    """

    executed: str
    reason: str = ''
    status: int = 0
    retry_after_s: float | None = None
    is_replayed: bool = False


class RequestRecord(msgspec.Struct, frozen=True, tag='request'):
    """The record of a request from its arrival to its end.

    :param request_id: id of the request.
    :param daemon: name of the daemon that received it.
    :param received_wall_s: time of arrival in seconds since 1970, for display
        only.
    :param duration_s: time from arrival to the end.
    :param events: the events in order.
    :param ending: the answer sent to the caller.
    :param dropped_events: number of events dropped over the limit.
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
        """Return the match event; ``None`` if no route matched."""
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
        """Return the kind of the record, which decides when it is dropped."""
        matched = self.matched
        if matched is not None and not matched.is_repeatable:
            return RecordKind.NON_REPEATABLE
        return RecordKind.REPEATABLE


class AdoptionRecord(msgspec.Struct, frozen=True, tag='adoption'):
    """A daemon put a revision of the tables into force.

    :param daemon: name of the daemon.
    :param revision: the new revision.
    :param previous: the revision that it replaced.
    :param source: source of the tables: ``store`` or ``peer``.
    :param wall_s: time in seconds since 1970, for display only.
    """

    daemon: str
    revision: int
    previous: int
    source: str
    wall_s: float

    @property
    def kind(self) -> RecordKind:
        """Return the kind of the record, which decides when it is dropped."""
        return RecordKind.ADOPTION


Record = RequestRecord | AdoptionRecord


def encode_record(record: Record) -> bytes:
    """Return the encoded record."""
    return _encode(record)


def decode_record(body: bytes) -> Record | None:
    """Return the decoded record; ``None`` if the body is invalid."""
    try:
        return _decode(body, type=Record)
    except msgspec.MsgspecError:
        return None


def encode_batch(bodies: tuple[bytes, ...]) -> bytes:
    """Return the content of an object that holds these encoded records."""
    return _encode(bodies)


def decode_batch(body: bytes) -> tuple[Record, ...]:
    """Return the records of an object; invalid ones are skipped."""
    try:
        bodies = _decode(body, type=tuple[bytes, ...])
    except msgspec.MsgspecError:
        return ()
    records = map(decode_record, bodies)
    return tuple(record for record in records if record is not None)
