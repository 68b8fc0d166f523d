"""Requests forwarded by an entry host, and the headers of their answers."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as a caller sent it.

    :param method: HTTP method.
    :param url: path and query, unchanged.
    :param headers: names and values, unchanged and in order.
    :param body: the complete body.
    """

    method: bytes
    url: bytes
    headers: Headers
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFacts:
    """Data parsed from the URL and headers of a request.

    :param request_id: id that the caller gave this attempt.
    :param host_name: requested host name, without a port.
    :param path: path without the query.
    :param deadline_s: time that the caller waits; ``None`` if not given.
    :param team_key: API key of the caller's team; empty if not given.
    :param prompt_tokens: length of the prompt; 0 if the request is no draft.
    :param max_answer_tokens: maximum length of the answer.
    :param hinted_answer_tokens: length of the answer expected by the caller;
        ``None`` if not given.
    :param resume_after: id of the last event that the caller has received;
        empty if the request does not resume a stream.
    :param shared_parts: ids of the parts of the prompt that other requests may
        share: all but the last.
    """

    request_id: str
    host_name: str
    path: str
    deadline_s: float | None
    team_key: str
    prompt_tokens: int
    max_answer_tokens: int
    hinted_answer_tokens: float | None
    resume_after: str
    shared_parts: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """Data that the router adds to a request for one target.

    :param target: name of the target, which must refuse the request if it has
        another name, for example after a restart.
    :param team: name of the caller's team; empty without one.
    :param time_left_s: time left for the target to answer.
    :param chain: address, first layer and layer after the last one for each
        engine of the chain; empty for a service.
    :param resume_after: id of the last event that the caller has received.
    :param urgency: class in which the target admits the request, from 0, the
        first, to 9; ``None`` for the target's usual class.
    """

    target: str
    team: str
    time_left_s: float
    chain: tuple[tuple[str, int, int], ...] = ()
    resume_after: str = ''
    urgency: int | None = None


class AnswerKind(enum.StrEnum):
    """Kind of an answer, as derived from its status and headers.

    An ``INVALID`` answer is encoded or is a success without a signature. It
    can't be forwarded, although the request may have run.
    """

    SUCCESS = 'success'
    FAILURE = 'failure'
    NOT_RUN = 'not_run'
    INVALID = 'spoilt'


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerFacts:
    """Data parsed from the status and headers of a target's answer.

    :param request_id: id of the answered request.
    :param kind: whether the request ran, and how it ended.
    :param unreachable_address: address of an engine that could not be reached.
    :param load: running and queued requests, and slots; ``None`` if not given.
    :param keep_alive_s: time that the connection may be idle; ``None`` if not
        given.
    :param must_close: whether the connection accepts no more requests.
    :param pause_s: time for which the target asks this host to send nothing;
        0 if it asks for none.
    :param limit_per_s: requests a second that the target takes from all hosts
        together; ``None`` if it names no limit.
    :param invalid_limit: a limit that can't be true, as text; empty for none.
    :param is_other_target: whether another target answers at the address.
    :param is_leaving: whether the target says that it leaves.
    :param is_event_stream: whether the body is a stream of server-sent events.
    """

    request_id: str
    kind: AnswerKind
    unreachable_address: str
    load: tuple[int, int, int] | None
    keep_alive_s: float | None
    must_close: bool
    pause_s: float = 0.0
    limit_per_s: float | None = None
    invalid_limit: str = ''
    is_other_target: bool = False
    is_leaving: bool = False
    is_event_stream: bool = False


class HeaderCodec(Protocol):
    """Parses and formats the headers of callers and targets."""

    def read_request(self, request: CallerRequest) -> RequestFacts:
        """Parse the headers of a request."""

    def write_request(
        self,
        request: CallerRequest,
        dispatch: Dispatch,
    ) -> bytes:
        """Return the bytes of a request for a target, including the body."""

    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Parse the status and headers of an answer."""

    def answers_request(self, headers: Headers, request_id: str) -> bool:
        """Return whether an answer can belong to the request."""

    def returned_headers(self, headers: Headers) -> Headers:
        """Return the headers of an answer that are forwarded to the caller."""

    def own_answer_headers(self, request_id: str) -> Headers:
        """Return the headers of an answer generated by the router."""
