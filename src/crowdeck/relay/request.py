# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Callers' requests, and the sinks that receive their answers."""

import typing

import attrs

from crowdeck import errors
from crowdeck import http
from crowdeck.quarantine import fingerprint
from crowdeck import verdict as verdicts


@attrs.frozen
class TokenCounts:
    """Token counts of a model request.

    :ivar prompt: tokens of the prompt.
    :ivar max_answer: maximum tokens of the answer, 0 if unlimited.
    :ivar answer_hint: the caller's estimate of the answer's tokens, often
        inaccurate; 0 if there is none.
    """

    prompt: int
    max_answer: int
    answer_hint: int = 0

    def mean_tokens(self, mean_answer_tokens: float) -> float:
        """Return the mean number of tokens held while the request runs.

        That is the prompt and half of the expected answer: the mean answer,
        averaged with the caller's hint if it is given, up to the maximum.
        Half, since some of the requests at an engine have just begun and
        others are about to end. Hints are off by half and more, so they count
        no more than the mean answer.
        """
        answer = mean_answer_tokens
        if self.answer_hint:
            answer = (self.answer_hint + mean_answer_tokens) / 2.0
        return (
            self.prompt + min(float(self.max_answer or answer), answer) / 2.0
        )


@attrs.frozen
class CallerRequest:
    """One request of a caller, read in full.

    :ivar id: the id that the caller gave the request.
    :ivar target: path and query, exactly as the caller sent them.
    :ivar path: the path without its query.
    :ivar key: the caller's API key, empty if none was sent.
    :ivar timeout_seconds: how long the caller waits, ``None`` if not given.
    :ivar arrived: loop time at which its headers had been read.
    :ivar last_event_id: id of the last event that the caller has, or -1.
    :ivar model: name of the model, empty if not given.
    :ivar prompt_parts: ids of the parts of its prompt, in order. The last part
        is its own or its session's; others may be shared with any request.
    """

    id: str
    method: str
    target: str
    path: str
    host: str
    key: str = attrs.field(repr=False)
    headers: http.RawHeaders = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)
    timeout_seconds: float | None
    arrived: float
    token_counts: TokenCounts | None = None
    last_event_id: int = -1
    model: str = ""
    prompt_parts: tuple[str, ...] = ()

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the parts that other requests may share."""
        return self.prompt_parts[:-1]


def fingerprint_of(
    request: CallerRequest, team: str
) -> fingerprint.Fingerprint:
    """Return the fingerprint that identifies repeats of a request."""
    return fingerprint.of_request(
        request.method, request.host, request.target, team, request.body
    )


def content_of(
    request: CallerRequest, team: str
) -> fingerprint.RequestContent:
    """Return what identifies a request and what it shares with others."""
    return fingerprint.RequestContent(
        fingerprint_of(request, team),
        tuple(
            dict.fromkeys(
                fingerprint.of_part(request.model, part_id)
                for part_id in request.shared_parts[: fingerprint.MAX_PARTS]
            )
        ),
    )


def parts_among(
    request: CallerRequest, fingerprints: fingerprint.Fingerprints
) -> tuple[str, ...]:
    """Return the ids of the parts whose fingerprints are among some."""
    return tuple(
        part_id
        for part_id in request.shared_parts[: fingerprint.MAX_PARTS]
        if fingerprint.of_part(request.model, part_id) in fingerprints
    )


class Sink(typing.Protocol):
    """Receives an answer, such as a caller's connection."""

    @property
    def has_started(self) -> bool:
        """Whether the status and headers of an answer were sent."""
        ...

    async def start(self, status: int, headers: http.RawHeaders) -> None:
        """Send the status and headers; the body follows in pieces."""
        ...

    async def write(self, piece: bytes) -> None:
        """Send a piece of the body, waiting while the caller is slow."""
        ...

    async def finish(self) -> None:
        """End the answer as complete."""
        ...

    async def reply(
        self, status: int, headers: http.RawHeaders, body: bytes
    ) -> None:
        """Send a complete answer."""
        ...


# Statuses that promise the caller that its request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MAY_HAVE_RUN_STATUS = 502
TIMEOUT_STATUS = 504


def status_of(error: errors.CrowdeckError) -> int:
    """Return the HTTP status for an error.

    It matches the verdict: a request that may have run never gets a status
    that promises the opposite.
    """
    status = error.http_status
    if error.verdict is verdicts.Verdict.NOT_RUN:
        if status >= 500:
            return 503
        return status
    if error.code is errors.Code.DEADLINE:
        return TIMEOUT_STATUS
    return (
        MAY_HAVE_RUN_STATUS if status in NOT_RUN_STATUSES else max(status, 500)
    )
