"""Request and response bodies of completion calls.

The formats are those that existing completion clients use.
"""

from __future__ import annotations

import dataclasses

import msgspec

from nutmegspoke.outcomes import NotRun, RefusalReason

COMPLETIONS_PATH = '/v1/completions'
CHAT_PATH = '/v1/chat/completions'
DONE_EVENT = b'data: [DONE]\n\n'
_DEFAULT_MAX_TOKENS = 64
_MAX_TOKENS_LIMIT = 8_192


class _Message(msgspec.Struct):
    role: str
    content: str


class _CompletionBody(msgspec.Struct):
    model: str
    prompt: str = ''
    messages: tuple[_Message, ...] = ()
    max_tokens: int = _DEFAULT_MAX_TOKENS
    seed: int | None = None
    stream: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionCall:
    """A validated completion call.

    :param model: name of the requested model.
    :param prompt: text to continue.
    :param max_tokens: number of tokens to generate.
    :param seed: seed given by the caller, if any.
    :param is_streamed: whether the answer is sent as server-sent events.
    :param is_chat: whether the caller used the chat format.
    """

    model: str
    prompt: str
    max_tokens: int
    seed: int | None
    is_streamed: bool
    is_chat: bool


class _Model(msgspec.Struct):
    model: str = ''


def read_model(body: bytes) -> str | NotRun:
    """Return the model named by a body; empty if it names none.

    :param body: JSON body of the request.
    """
    try:
        return msgspec.json.decode(body, type=_Model).model
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return _bad_request(f'the body is no completion call: {error}')


def read_call(body: bytes, *, is_chat: bool) -> CompletionCall | NotRun:
    """Parse and validate the body of a completion call.

    :param body: JSON body of the request.
    :param is_chat: whether the chat format is expected.
    :returns: the call, or a refusal if the body is invalid.
    """
    try:
        parsed = msgspec.json.decode(body, type=_CompletionBody)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return _bad_request(f'the body is no completion call: {error}')
    prompt = _chat_prompt(parsed.messages) if is_chat else parsed.prompt
    if not prompt.strip():
        return _bad_request(
            'messages are empty' if is_chat else 'prompt is empty'
        )
    if not 0 < parsed.max_tokens <= _MAX_TOKENS_LIMIT:
        return _bad_request(f'max_tokens must be 1 to {_MAX_TOKENS_LIMIT}')
    return CompletionCall(
        model=parsed.model,
        prompt=prompt,
        max_tokens=parsed.max_tokens,
        seed=parsed.seed,
        is_streamed=parsed.stream,
        is_chat=is_chat,
    )


class _Delta(msgspec.Struct):
    content: str
    role: str = 'assistant'


class _Choice(msgspec.Struct, omit_defaults=True):
    index: int = 0
    text: str | None = None
    delta: _Delta | None = None
    message: _Delta | None = None
    finish_reason: str | None = None


class _Usage(msgspec.Struct):
    completion_tokens: int


class _Completion(msgspec.Struct, omit_defaults=True):
    id: str
    object: str
    model: str
    choices: tuple[_Choice, ...]
    usage: _Usage | None = None


def token_event(
    call: CompletionCall,
    request_id: str,
    text: str,
    event_id: str,
) -> bytes:
    """Return the server-sent event of one token."""
    if call.is_chat:
        choice = _Choice(delta=_Delta(text))
        kind = 'chat.completion.chunk'
    else:
        choice = _Choice(text=text)
        kind = 'text_completion'
    chunk = _Completion(request_id, kind, call.model, (choice,))
    return b'id: %b\ndata: %b\n\n' % (
        event_id.encode(),
        msgspec.json.encode(chunk),
    )


def error_event(body: bytes) -> bytes:
    """Return the server-sent event of an error."""
    return b'event: error\ndata: %b\n\n' % body


def completion_body(
    call: CompletionCall,
    request_id: str,
    text: str,
    token_count: int,
) -> bytes:
    """Return the JSON body of an answer that is not streamed."""
    if call.is_chat:
        choice = _Choice(message=_Delta(text), finish_reason='length')
        kind = 'chat.completion'
    else:
        choice = _Choice(text=text, finish_reason='length')
        kind = 'text_completion'
    answer = _Completion(
        request_id,
        kind,
        call.model,
        (choice,),
        _Usage(token_count),
    )
    return msgspec.json.encode(answer)


def _chat_prompt(messages: tuple[_Message, ...]) -> str:
    return '\n'.join(
        f'{message.role}: {message.content}' for message in messages
    )


def _bad_request(detail: str) -> NotRun:
    return NotRun(RefusalReason.BAD_REQUEST, detail=detail)
