# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Delivers the tokens of an answer and verifies its end."""

from crowdeck import digest as digests
from crowdeck.entry import model_request as model_requests
from crowdeck.entry import sink as sinks
from crowdeck import errors
from crowdeck.observe import counters
from crowdeck import verdict as verdicts
from crowdeck.wire import messages

_MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


class Delivery:
    """Passes tokens to the caller in order and verifies the end.

    :ivar caller_position: the first position that the caller does not have.
    :ivar finish: the finish reason, empty while the answer runs.
    """

    def __init__(
        self, request: model_requests.ModelRequest, sink: sinks.AnswerSink
    ) -> None:
        self._request = request
        self._sink = sink
        self._pieces: list[messages.Piece] = []
        self._digest = digests.AnswerDigest(request.request)
        self.caller_position = 0
        self.finish = ""

    def __len__(self) -> int:
        """Return the number of tokens received."""
        return len(self._pieces)

    @property
    def pieces(self) -> tuple[messages.Piece, ...]:
        """The answer so far."""
        return tuple(self._pieces)

    @property
    def is_complete(self) -> bool:
        """Whether the last token has arrived, perhaps without the end."""
        is_at_token_limit = len(self._pieces) >= self._request.max_tokens
        return bool(self.finish) or is_at_token_limit

    async def take(self, answer: messages.Answer, epoch: int) -> bool:
        """Deliver a token if it is the next one of an attempt.

        :raises CrowdeckError: ``WRONG_POSITION`` if an earlier token is
            missing.
        """
        position = len(self._pieces)
        if answer.epoch != epoch or answer.position < position:
            counters.COUNTERS.add("entry.answer_refused")
            return False
        if answer.position > position:
            raise errors.CrowdeckError(
                errors.Code.WRONG_POSITION,
                f"received the token of position {answer.position}, expected "
                f"position {position}",
                verdict=_MAY_HAVE_RUN,
            )
        self.finish = answer.finish
        await self.put(messages.Piece(answer.token, answer.text))
        return True

    async def put(self, piece: messages.Piece) -> None:
        """Add the next token, and pass it on unless the caller has it."""
        position = len(self._pieces)
        self._pieces.append(piece)
        self._digest.add(piece.token, piece.text)
        if position >= self.caller_position:
            await self._sink.put(position, piece)

    def check_end(self, end: messages.AnswerEnd) -> None:
        """Check the answer's end against the tokens received.

        :raises CrowdeckError: ``WRONG_ANSWER`` if they do not match.
        """
        matches = (
            end.count == self._digest.count
            and end.digest == self._digest.value
        )
        if matches:
            return
        counters.COUNTERS.add("entry.answer_not_whole")
        raise errors.CrowdeckError(
            errors.Code.WRONG_ANSWER,
            f"the answer's end, of {end.count} tokens, does not match the "
            f"{self._digest.count} tokens received",
            verdict=_MAY_HAVE_RUN,
        )
