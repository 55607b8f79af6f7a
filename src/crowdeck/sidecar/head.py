# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The head of a path: collects the tokens of answers and keeps them."""

import typing

import anyio
import anyio.abc

from crowdeck import digest
from crowdeck import errors
from crowdeck.observe import counters
from crowdeck.sidecar import attempt as attempts
from crowdeck.sidecar import attempt_registry
from crowdeck.sidecar import gate as gates
from crowdeck import timers
from crowdeck import upstream
from crowdeck import verdict as verdicts
from crowdeck.wire import link
from crowdeck.wire import messages
from crowdeck.wire import questions

FINISH_LENGTH = "length"

_MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN

Decode = typing.Callable[[attempts.Attempt, upstream.EngineStep], None]


class Head:
    """Generates the answers whose first stage is this sidecar.

    :param decode: queues the engine step of an attempt's next position.
    """

    def __init__(
        self,
        gate: gates.Gate,
        registry: attempt_registry.AttemptRegistry,
        clock: timers.Clock,
        tasks: anyio.abc.TaskGroup,
        decode: Decode,
    ) -> None:
        self._gate = gate
        self._registry = registry
        self._clock = clock
        self._tasks = tasks
        self._decode = decode

    def take_token(
        self, attempt: attempts.Attempt, record: messages.Token
    ) -> None:
        """Add a token to its answer, and start to generate the next one."""
        position = len(attempt.pieces)
        if record.position < position:
            counters.COUNTERS.add("stage.refused.repeated_record")
            return
        path = attempt.opening.path
        if record.position > position or record.context != attempt.context:
            self._registry.fail(
                attempt, _wrong_token_error(record.position, position)
            )
            return
        if record.next_layer != path.layer_count:
            self._registry.fail(
                attempt, _unfinished_token_error(record.next_layer)
            )
            return
        attempt.pieces.append(messages.Piece(record.token, record.text))
        attempt.touched_at = self._clock.now()
        counters.COUNTERS.add("head.tokens")
        finish = record.finish
        if not finish and len(attempt.pieces) >= attempt.opening.max_tokens:
            finish = FINISH_LENGTH
        self._registry.send_to_source(
            attempt,
            messages.Answer(
                request=attempt.request,
                epoch=attempt.epoch,
                position=position,
                token=record.token,
                text=record.text,
                finish=finish,
            ),
        )
        self._continue(attempt, finish)

    def _continue(self, attempt: attempts.Attempt, finish: str) -> None:
        if finish:
            self._finish(attempt, finish)
        elif attempt.is_moved:
            # Paused for a move: the next attempt continues the answer.
            pass
        elif attempt.next_position >= attempt.credit_limit:
            attempt.is_waiting_for_credit = True
        else:
            self._start_next_position(attempt)

    def _start_next_position(self, attempt: attempts.Attempt) -> None:
        attempt.is_waiting_for_credit = False
        self._decode(
            attempt,
            upstream.EngineStep(
                sequence=attempt.sequence,
                context=attempt.context,
                tokens=(attempt.pieces[-1].token,),
            ),
        )

    def _finish(self, attempt: attempts.Attempt, finish: str) -> None:
        attempt.finish = finish
        attempt.span.set_attribute("tokens", len(attempt.pieces))
        attempt.span.end("finished")
        self._gate.finish(attempt.request)
        self._send_end(attempt)
        self._registry.send_to_next(
            attempt, messages.Cancel(attempt.request, attempt.epoch)
        )
        self._tasks.start_soon(
            self._registry.cancel_sequence, attempt.sequence
        )

    def _send_end(self, attempt: attempts.Attempt) -> None:
        pairs = [(piece.token, piece.text) for piece in attempt.pieces]
        self._registry.send_to_source(
            attempt,
            messages.AnswerEnd(
                request=attempt.request,
                epoch=attempt.epoch,
                count=len(pairs),
                digest=digest.digest_answer(attempt.request, pairs),
                finish=attempt.finish,
            ),
        )

    def on_credit(self, peer: link.Peer, record: messages.Credit) -> None:
        """Raise the limit on positions that may be generated."""
        attempt = self._registry.find_current(record.request, record.epoch)
        if attempt is None or attempt.source is not peer:
            return
        attempt.credit_limit = max(attempt.credit_limit, record.upto)
        can_continue = (
            attempt.is_waiting_for_credit
            and attempt.next_position < attempt.credit_limit
        )
        if can_continue and attempt.is_running and not attempt.is_moved:
            self._start_next_position(attempt)

    def attach(
        self, peer: link.Peer, question: questions.Attach
    ) -> questions.Attached:
        """Attach an entry to an answer, and return the answer so far.

        :raises CrowdeckError: ``ANSWER_GONE`` if the answer is not kept
            here or belongs to another team.
        """
        attempt = self._registry.find(question.request)
        if attempt is None or attempt.opening.team != question.team:
            raise errors.CrowdeckError(
                errors.Code.ANSWER_GONE,
                "no such answer is kept here",
                verdict=_MAY_HAVE_RUN,
            )
        if attempt.is_head:
            self._change_source(attempt, peer)
            attempt.credit_limit = question.position + question.window
            self._tasks.start_soon(self._resume_after_reply, attempt)
        return questions.Attached(
            epoch=attempt.epoch,
            pieces=tuple(attempt.pieces[question.position :]),
            is_running=attempt.is_head and attempt.is_running,
            finish=attempt.finish,
        )

    def _change_source(
        self, attempt: attempts.Attempt, peer: link.Peer
    ) -> None:
        former = attempt.source
        attempt.source = peer
        attempt.touched_at = self._clock.now()
        if former is not None and former is not peer:
            former.send(
                self._registry.make_failure(
                    attempt.request,
                    attempt.epoch,
                    errors.CrowdeckError(
                        errors.Code.SUPERSEDED,
                        "another entry has taken over the answer",
                        verdict=_MAY_HAVE_RUN,
                    ),
                )
            )

    async def _resume_after_reply(self, attempt: attempts.Attempt) -> None:
        # Runs as a task, so that the reply to Attach is sent first.
        can_continue = (
            attempt.is_waiting_for_credit
            and attempt.next_position < attempt.credit_limit
        )
        if can_continue and attempt.is_running:
            self._start_next_position(attempt)


def _wrong_token_error(got: int, expected: int) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.WRONG_POSITION,
        f"expected the token of position {expected} with this stage's number "
        f"of context tokens, received the token of position {got}",
        verdict=_MAY_HAVE_RUN,
    )


def _unfinished_token_error(next_layer: int) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.WRONG_LAYER,
        f"received a token for which layer {next_layer} has not run",
        verdict=_MAY_HAVE_RUN,
    )
