# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""HTTP responses that are not streamed: JSON, errors, service answers."""

import typing
import uuid

import orjson
from starlette import responses

from crowdeck import digest
from crowdeck.entry import openai
from crowdeck import errors
from crowdeck import verdict as verdicts
from crowdeck.wire import questions

MULTIPART = "multipart/mixed"


def json_response(body: typing.Any) -> responses.Response:
    """Return a JSON response."""
    return responses.Response(
        orjson.dumps(body), media_type="application/json"
    )


def error_response(error: errors.CrowdeckError) -> responses.Response:
    """Return the response that reports an error."""
    report = errors.ErrorReport.of(error)
    response = responses.Response(
        orjson.dumps({"error": openai.error_body(report)}),
        error.http_status,
        media_type="application/json",
    )
    if error.retry_after is not None:
        response.headers["retry-after"] = f"{error.retry_after:.0f}"
    response.headers["x-crowdeck-verdict"] = str(error.verdict)
    is_safe = error.verdict is verdicts.Verdict.NOT_RUN
    response.headers["x-should-retry"] = "true" if is_safe else "false"
    return response


def service_response(called: questions.Called) -> responses.Response:
    """Return a plain service's answer, with any companions."""
    if called.companions:
        return _multipart(called)
    response = responses.Response(called.body, called.status)
    for header in called.headers:
        if header.name != "content-length":
            response.headers.append(header.name, header.value)
    return response


def _multipart(called: questions.Called) -> responses.Response:
    """Return an answer and its companions in one multipart body."""
    companions_digest = digest.digest_answer(
        "companions",
        [
            (len(companion.body), companion.path)
            for companion in called.companions
        ],
    )
    boundary = f"crowdeck-{uuid.uuid4().hex}-{companions_digest:x}"
    main_type = next(
        (
            header.value
            for header in called.headers
            if header.name == "content-type"
        ),
        "application/octet-stream",
    )
    parts = [_part(boundary, main_type, "", called.body)]
    parts += [
        _part(boundary, companion.content_type, companion.path, companion.body)
        for companion in called.companions
    ]
    parts.append(f"--{boundary}--\r\n".encode())
    return responses.Response(
        b"".join(parts),
        called.status,
        media_type=f'{MULTIPART}; boundary="{boundary}"',
    )


def _part(boundary: str, content_type: str, path: str, body: bytes) -> bytes:
    lines = [f"--{boundary}", f"Content-Type: {content_type}"]
    if path:
        lines.append(f"Content-Location: {path}")
    head = "\r\n".join((*lines, "", ""))
    return head.encode() + body + b"\r\n"
