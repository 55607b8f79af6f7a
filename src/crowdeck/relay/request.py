# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Callers' requests and what they are answered, as the relay sees them."""

import typing

import attrs

from crowdeck import errors
from crowdeck import http
from crowdeck.quarantine import fingerprint
from crowdeck import verdict as verdicts


@attrs.frozen
class TokenCounts:
    """What a model request asks for, in tokens.

    :ivar prompt: tokens of the prompt.
    :ivar most: tokens that the answer may have at most.
    :ivar guess: the caller's guess of the answer's tokens, often far off;
        0 where it gave none.
    """

    prompt: int
    max_answer: int
    answer_hint: int = 0

    def mean_tokens(self, mean_answer_tokens: float) -> float:
        """Return the tokens that the request holds on average as it runs.

        Half of its answer, not the whole: of the many that an engine runs
        at once some have begun and some are about to end. Guesses are off
        by half and more, so each counts as much as the mean answer does.
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

    :ivar target: path and query, exactly as the caller sent them.
    :ivar path: the path without its query.
    :ivar patience: seconds that the caller waits, ``None`` if unsaid.
    :ivar arrived: the loop's time when its head had been read.
    :ivar last_event: id of the last event that the caller has, or -1.
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
    size: TokenCounts | None = None
    last_event: int = -1


def fingerprint_of(
    request: CallerRequest, team: str
) -> fingerprint.Fingerprint:
    """Return by what the same request is known when it comes again."""
    return fingerprint.of_request(
        request.method, request.host, request.target, team, request.body
    )


class Sink(typing.Protocol):
    """Where an answer goes: the caller's connection."""

    @property
    def has_started(self) -> bool:
        """Whether the head of an answer was sent."""
        ...

    async def start(self, status: int, headers: http.RawHeaders) -> None:
        """Send the head of an answer whose body follows in pieces."""
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
        """Send a whole answer."""
        ...


# Statuses by which a caller is promised that its request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MAY_HAVE_RUN_STATUS = 502
TIMEOUT_STATUS = 504


def status_of(error: errors.CrowdeckError) -> int:
    """Return the status that tells a caller the truth about an error."""
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
