"""A request on its way through an entry host, and the answer's first part."""

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
    :param body: the whole body.
    """

    method: bytes
    url: bytes
    headers: Headers
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFacts:
    """What the headers of a request say.

    :param request_id: the caller's id of this attempt.
    :param host_name: host that the caller addresses, without a port.
    :param path: path without the query.
    :param deadline_s: how long the caller waits; ``None`` if it doesn't say.
    :param team_key: the key of the caller's team; empty without one.
    :param prompt_tokens: length of the prompt; 0 if the request is no draft.
    :param max_answer_tokens: longest answer.
    :param hinted_answer_tokens: the caller's guess; ``None`` without one.
    :param resume_after: id of the last event that the caller has.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatch:
    """What a request carries to one target.

    :param target: name of the target; another start of it must refuse.
    :param team: name of the caller's team; empty without one.
    :param time_left_s: time that the target may take.
    :param chain: addresses and layers of the engines; empty for a service.
    :param resume_after: id of the last event that the caller has.
    """

    target: str
    team: str
    time_left_s: float
    chain: tuple[tuple[str, int, int], ...] = ()
    resume_after: str = ''


class AnswerKind(enum.StrEnum):
    """What the head of an answer tells."""

    SUCCESS = 'success'
    FAILURE = 'failure'
    NOT_RUN = 'not_run'
    INVALID = 'spoilt'


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What the head of a target's answer says.

    :param request_id: id of the request that it answers.
    :param kind: whether the request ran, and how it ended.
    :param target_at_fault: address of an engine that was not there.
    :param load: running, waiting, slots; ``None`` if the target doesn't tell.
    :param keep_alive_s: how long the connection may idle; ``None`` if not told.
    :param must_close: the connection takes no more requests.
    """

    request_id: str
    kind: AnswerKind
    target_at_fault: str
    load: tuple[int, int, int] | None
    keep_alive_s: float | None
    must_close: bool


class HeaderCodec(Protocol):
    """Reads and writes the headers by which callers and targets speak."""

    def read_request(self, request: CallerRequest) -> RequestFacts:
        """Return what the headers of a request say."""

    def write_request(
        self,
        request: CallerRequest,
        dispatch: Dispatch,
    ) -> bytes:
        """Return a request as it goes to a target, body included."""

    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Return what the head of an answer says."""

    def answers_request(self, headers: Headers, request_id: str) -> bool:
        """Tell whether an answer is to a request."""

    def returned_headers(self, headers: Headers) -> Headers:
        """Return the headers of an answer that go on to the caller."""

    def own_answer_headers(self, request_id: str) -> Headers:
        """Return the headers of an answer of the router's own."""
