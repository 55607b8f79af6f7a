# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Requests and answers in the format of the OpenAI API."""

import re
import time
import typing

import attrs
import orjson

from crowdeck.entry import model_request as model_requests
from crowdeck import errors
from crowdeck import json_text

EVENT_ID_SEPARATOR = "~"
# More digits are no position; Python refuses to convert very many.
_POSITION = re.compile("[0-9]{1,15}")


@attrs.frozen
class CompletionBody:
    """The fields of a request's body that the entry reads."""

    model: str
    prompt: str
    max_tokens: int | None
    is_stream: bool
    is_chat: bool


def parse_body(raw: bytes, is_chat: bool) -> CompletionBody:
    """Parse a completion request.

    :raises CrowdeckError: ``BAD_REQUEST``, saying what is invalid.
    """
    try:
        body = json_text.decode(raw)
    except ValueError:
        raise _bad_request("the body is not JSON") from None
    if not isinstance(body, dict):
        raise _bad_request("the body is not a JSON object")
    model = body.get("model")
    if not isinstance(model, str) or not model:
        raise _bad_request("'model' must be a non-empty string")
    prompt = _chat_prompt(body) if is_chat else _plain_prompt(body)
    if not prompt.strip():
        raise _bad_request("the prompt is empty")
    return CompletionBody(
        model=model,
        prompt=prompt,
        max_tokens=_max_tokens(body),
        is_stream=body.get("stream") is True,
        is_chat=is_chat,
    )


def _max_tokens(body: dict[str, typing.Any]) -> int | None:
    value = body.get("max_completion_tokens", body.get("max_tokens"))
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int) or value < 1:
        raise _bad_request(
            "'max_tokens' or 'max_completion_tokens' must be a positive "
            "integer"
        )
    return value


def _plain_prompt(body: dict[str, typing.Any]) -> str:
    prompt = body.get("prompt")
    if not isinstance(prompt, str):
        raise _bad_request("'prompt' must be a string")
    return prompt


def _chat_prompt(body: dict[str, typing.Any]) -> str:
    chat_messages = body.get("messages")
    if not isinstance(chat_messages, list) or not chat_messages:
        raise _bad_request("'messages' must be a non-empty list")
    lines = []
    has_text = False
    for message in chat_messages:
        if not isinstance(message, dict):
            raise _bad_request("each of 'messages' must be an object")
        role = message.get("role")
        if not isinstance(role, str):
            raise _bad_request("each of 'messages' must have a 'role'")
        content = _content(message.get("content"))
        has_text = has_text or bool(content.strip())
        lines.append(f"{role}: {content}")
    return "\n".join(lines) if has_text else ""


def _content(content: typing.Any) -> str:
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        raise _bad_request(
            "'content' must be a string or a list of text parts"
        )
    texts = []
    for part in content:
        if not isinstance(part, dict) or part.get("type") != "text":
            raise _bad_request(
                "only 'content' parts of type 'text' are supported"
            )
        texts.append(str(part.get("text", "")))
    return "".join(texts)


def _bad_request(message: str) -> errors.CrowdeckError:
    return errors.CrowdeckError(errors.Code.BAD_REQUEST, message)


@attrs.frozen
class EventId:
    """A position in an answer, and the instances that keep the answer.

    It is sent with every streamed event and returned by the caller in a
    ``Last-Event-ID`` header. It holds instance names, never addresses.
    """

    request: str
    head: str
    tail: str
    position: int

    def __str__(self) -> str:
        return EVENT_ID_SEPARATOR.join(
            (self.request, self.head, self.tail, str(self.position))
        )

    @classmethod
    def parse(cls, text: str) -> "EventId":
        """Parse an event id.

        :raises CrowdeckError: ``BAD_REQUEST`` if it is malformed.
        """
        parts = text.split(EVENT_ID_SEPARATOR)
        if len(parts) != 4 or not _POSITION.fullmatch(parts[3]):
            raise _bad_request(
                "'Last-Event-ID' must be the id of an event of an answer, "
                f"not {text!r:.100}"
            )
        return cls(parts[0], parts[1], parts[2], int(parts[3]))

    def to_resume_point(self) -> model_requests.ResumePoint:
        """Return the point to resume at, which is after this event."""
        return model_requests.ResumePoint(
            position=self.position + 1, head=self.head, tail=self.tail
        )


class EventWriter:
    """Writes one answer's server-sent events.

    Between the first and the last event only the text and the event id
    differ, so the rest is encoded once. That takes half the time of encoding
    the whole object for each token.
    """

    def __init__(self, request: str, model: str, is_chat: bool) -> None:
        self._is_chat = is_chat
        self._common_fields = {
            "id": f"{'chatcmpl' if is_chat else 'cmpl'}-{request}",
            "object": (
                "chat.completion.chunk" if is_chat else "text_completion"
            ),
            "created": int(time.time()),
            "model": model,
        }
        marker = "\0"
        encoded = orjson.dumps(self._chunk_body(marker, None, False))
        before, _, after = encoded.partition(orjson.dumps(marker))
        self._before = b"\ndata: " + before
        self._after = after + b"\n\n"

    def first(self, event_id: EventId, text: str) -> bytes:
        """Return the first event, which names the role."""
        body = orjson.dumps(self._chunk_body(text, None, True))
        return b"id: %b\ndata: %b\n\n" % (str(event_id).encode(), body)

    def piece(self, event_id: EventId, text: str) -> bytes:
        """Return a later event."""
        return b"id: %b%b%b%b" % (
            str(event_id).encode(),
            self._before,
            orjson.dumps(text),
            self._after,
        )

    def last(self, finish: str) -> bytes:
        """Return the closing events."""
        body = orjson.dumps(self._chunk_body("", finish, False))
        return b"data: %b\n\ndata: [DONE]\n\n" % body

    def error(self, report: errors.ErrorReport) -> bytes:
        """Return the event that ends an answer with an error."""
        return b"data: %b\n\n" % orjson.dumps({"error": error_body(report)})

    def _chunk_body(
        self, text: str, finish: str | None, is_first: bool
    ) -> dict[str, typing.Any]:
        choice: dict[str, typing.Any] = {
            "index": 0,
            "finish_reason": finish,
            "logprobs": None,
        }
        if not self._is_chat:
            choice["text"] = text
        elif finish is not None:
            choice["delta"] = {}
        elif is_first:
            choice["delta"] = {"role": "assistant", "content": text}
        else:
            choice["delta"] = {"content": text}
        return {**self._common_fields, "choices": [choice]}


def completion_response(
    request: str, body: CompletionBody, text: str, count: int, finish: str
) -> dict[str, typing.Any]:
    """Return the answer to a request that is not streamed."""
    choice: dict[str, typing.Any] = {
        "index": 0,
        "finish_reason": finish,
        "logprobs": None,
    }
    if body.is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": f"{'chatcmpl' if body.is_chat else 'cmpl'}-{request}",
        "object": "chat.completion" if body.is_chat else "text_completion",
        "created": int(time.time()),
        "model": body.model,
        "choices": [choice],
        "crowdeck": {"completion_tokens": count},
    }


def error_body(report: errors.ErrorReport) -> dict[str, typing.Any]:
    """Return an error in the format that OpenAI clients expect."""
    body = attrs.asdict(report)
    body["type"] = "crowdeck_error"
    return body
