# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The answer that a caller has been given so far, checked as it grows."""

from crowdeck import digest as digests
from crowdeck.entry import model_request as model_requests
from crowdeck.entry import sink as sinks
from crowdeck import errors
from crowdeck.observe import counters
from crowdeck import verdict as verdicts
from crowdeck.wire import messages

_MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


class Delivery:
    """Takes tokens in order, shows them to the caller, checks the end.

    :ivar shown: positions below this one the caller has already.
    :ivar finish: why the answer ended, empty while it runs.
    """

    def __init__(
        self, request: model_requests.ModelRequest, sink: sinks.AnswerSink
    ) -> None:
        self._request = request
        self._sink = sink
        self._pieces: list[messages.Piece] = []
        self._digest = digests.AnswerDigest(request.request)
        self.shown = 0
        self.finish = ""

    def __len__(self) -> int:
        """Return how many tokens there are."""
        return len(self._pieces)

    @property
    def pieces(self) -> tuple[messages.Piece, ...]:
        """The answer so far."""
        return tuple(self._pieces)

    @property
    def is_whole(self) -> bool:
        """Whether the last token is here, though perhaps not the end."""
        is_longest = len(self._pieces) >= self._request.max_tokens
        return bool(self.finish) or is_longest

    async def take(self, answer: messages.Answer, epoch: int) -> bool:
        """Deliver a token if it is the next one of an attempt.

        :raises CrowdeckError: ``WRONG_POSITION`` when one is missing.
        """
        position = len(self._pieces)
        if answer.epoch != epoch or answer.position < position:
            counters.COUNTERS.add("entry.answer_refused")
            return False
        if answer.position > position:
            raise errors.CrowdeckError(
                errors.Code.WRONG_POSITION,
                f"token {answer.position} came, not {position}",
                verdict=_MAY_HAVE_RUN,
            )
        self.finish = answer.finish
        await self.put(messages.Piece(answer.token, answer.text))
        return True

    async def put(self, piece: messages.Piece) -> None:
        """Add the next token and show it, unless the caller has it."""
        position = len(self._pieces)
        self._pieces.append(piece)
        self._digest.add(piece.token, piece.text)
        if position >= self.shown:
            await self._sink.put(position, piece)

    def check_end(self, end: messages.AnswerEnd) -> None:
        """Refuse an end that does not belong to what was delivered.

        :raises CrowdeckError: ``WRONG_ANSWER``.
        """
        is_whole = (
            end.count == self._digest.count
            and end.digest == self._digest.value
        )
        if is_whole:
            return
        counters.COUNTERS.add("entry.answer_not_whole")
        raise errors.CrowdeckError(
            errors.Code.WRONG_ANSWER,
            f"the answer's end speaks of {end.count} tokens, or others "
            f"than the {self._digest.count} that came",
            verdict=_MAY_HAVE_RUN,
        )
