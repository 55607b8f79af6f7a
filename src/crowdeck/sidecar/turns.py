# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Grants each session's turns one at a time, by number or else by arrival.

A session's home is the sidecar that rendezvous hashing picks for it, which
grants the session's turns. Nothing is stored: after a change of home, entries
take the turns that they hold again, and a moved session waits for them before
a new turn is granted.
"""

import collections

import anyio
import attrs

from crowdeck import errors
from crowdeck.observe import counters
from crowdeck import timers
from crowdeck.wire import link
from crowdeck.wire import questions

# How long a moved session waits for entries that hold its turn. Must
# exceed the time within which an entry notices a lost home.
HOLDER_RECLAIM_SECONDS = 3.0
# How long a turn is kept for a holder whose entry is lost, as its caller may
# reconnect at another entry.
LOST_HOLDER_GRACE_SECONDS = 5.0
# Sessions without a holder or waiting requests are dropped this long after the
# last request for a turn, and with them the highest number granted.
SESSION_TTL_SECONDS = 900.0


@attrs.define(eq=False)
class _TurnRequest:
    """A request for a turn.

    :ivar decided: set once the turn is granted, or refused as this sidecar
        is leaving.
    """

    question: questions.TakeTurn
    peer: link.Peer
    decided: anyio.Event = attrs.field(factory=anyio.Event)


@attrs.define(eq=False)
class _Session:
    """The turns of one session; times are monotonic seconds.

    :ivar touched_at: time of the last request for a turn.
    :ivar grants_from: time before which no new turn is granted.
    :ivar lost_at: time at which the holder's link was lost.
    :ivar last_sequence: highest number of a turn so far, -1 for none.
    """

    touched_at: float
    grants_from: float
    holder: _TurnRequest | None = None
    lost_at: float | None = None
    last_sequence: int = -1
    waiting: collections.deque[_TurnRequest] = attrs.field(
        factory=collections.deque
    )


class TurnQueues:
    """Grants the turns of the sessions whose home is this sidecar."""

    def __init__(self, clock: timers.Clock) -> None:
        self._clock = clock
        self._sessions: dict[str, _Session] = {}
        self._is_leaving = False

    @property
    def session_count(self) -> int:
        """Number of sessions that are known here."""
        return len(self._sessions)

    def leave(self) -> None:
        """Refuse all waiting and later requests, which go to the new homes.

        Entries take the turns that they hold again at the new homes.
        """
        self._is_leaving = True
        for session in self._sessions.values():
            for waiter in session.waiting:
                waiter.decided.set()

    async def take(
        self, peer: link.Peer, question: questions.TakeTurn
    ) -> None:
        """Return once the turn is granted.

        :raises CrowdeckError: with ``NOT_RUN``; ``ORDER`` if the turn was
            not granted in time, or its number or a higher one was granted
            before; ``LEAVING`` if this sidecar is leaving.
        """
        if self._is_leaving:
            raise _leaving_error()
        session = self._session(question)
        waiter = _TurnRequest(question, peer)
        if self._take_again(session, waiter):
            return
        self._require_later_number(session, question)
        session.waiting.append(waiter)
        self._grant(session)
        try:
            with anyio.move_on_after(question.seconds_left):
                await waiter.decided.wait()
        finally:
            # Also when cancelled: a turn granted to a request that has ended
            # would block the session.
            if waiter in session.waiting:
                session.waiting.remove(waiter)
        if self._is_leaving:
            raise _leaving_error()
        if not waiter.decided.is_set():
            raise errors.CrowdeckError(
                errors.Code.ORDER,
                "the session's earlier turns did not end in time",
                retry_after=1.0,
            )

    def end(self, question: questions.EndTurn) -> None:
        """End a turn and grant the next one."""
        session = self._sessions.get(question.session)
        if session is None:
            return
        for waiter in tuple(session.waiting):
            if waiter.question.request == question.request:
                session.waiting.remove(waiter)
        holder = session.holder
        if holder and holder.question.request == question.request:
            session.holder = None
            session.lost_at = None
            self._grant(session)

    def on_closed(self, peer: link.Peer) -> None:
        """Drop requests of a lost link, and note the holders that are lost."""
        for session in self._sessions.values():
            for waiter in tuple(session.waiting):
                if waiter.peer is peer:
                    session.waiting.remove(waiter)
            if session.holder is not None and session.holder.peer is peer:
                session.lost_at = self._clock.now()

    async def sweep(self) -> None:
        """Drop holders that stay lost and idle sessions, and grant turns.

        The first new turn of a moved session is granted here, unless another
        request for a turn arrives after the wait for its holders.
        """
        now = self._clock.now()
        for name, session in tuple(self._sessions.items()):
            lost_at = session.lost_at
            if (
                lost_at is not None
                and now - lost_at > LOST_HOLDER_GRACE_SECONDS
            ):
                counters.COUNTERS.add("turns.holder_lost")
                session.holder = None
                session.lost_at = None
            self._grant(session)
            is_idle = session.holder is None and not session.waiting
            if is_idle and now - session.touched_at > SESSION_TTL_SECONDS:
                del self._sessions[name]

    def _session(self, question: questions.TakeTurn) -> _Session:
        now = self._clock.now()
        session = self._sessions.get(question.session)
        if session is None:
            grants_from = now + (
                HOLDER_RECLAIM_SECONDS if question.is_moved else 0.0
            )
            session = _Session(touched_at=now, grants_from=grants_from)
            self._sessions[question.session] = session
        session.touched_at = now
        return session

    def _take_again(self, session: _Session, waiter: _TurnRequest) -> bool:
        """Let a holder take its turn again, and return whether it did."""
        holder = session.holder
        request = waiter.question.request
        if holder is not None and holder.question.request == request:
            session.holder = waiter
            session.lost_at = None
            return True
        if waiter.question.is_holding and holder is None:
            session.holder = waiter
            session.last_sequence = max(
                session.last_sequence, waiter.question.sequence
            )
            return True
        return False

    def _require_later_number(
        self, session: _Session, question: questions.TakeTurn
    ) -> None:
        is_out_of_order = 0 <= question.sequence <= session.last_sequence
        if is_out_of_order:
            raise errors.CrowdeckError(
                errors.Code.ORDER,
                f"turn {question.sequence} of this session is out of order: "
                f"turn {session.last_sequence} was granted already",
            )

    def _grant(self, session: _Session) -> None:
        if session.holder is not None or not session.waiting:
            return
        if self._clock.now() < session.grants_from:
            return
        waiter = self._next_waiter(session)
        if waiter is None:
            return
        session.waiting.remove(waiter)
        session.holder = waiter
        session.last_sequence = max(
            session.last_sequence, waiter.question.sequence
        )
        waiter.decided.set()
        counters.COUNTERS.add("turns.granted")

    def _next_waiter(self, session: _Session) -> _TurnRequest | None:
        """Return the waiting request to grant next, ``None`` for none yet.

        Numbered turns are granted in the order of their numbers, and wait
        for missing ones once a number of the session is known. Turns without
        a number are granted in order of arrival.
        """
        first = session.waiting[0]
        numbered = [
            waiter for waiter in session.waiting if _is_numbered(waiter)
        ]
        if not numbered:
            return first
        lowest = min(numbered, key=lambda waiter: waiter.question.sequence)
        is_next = lowest.question.sequence == session.last_sequence + 1
        if is_next or session.last_sequence < 0:
            return lowest
        return None if _is_numbered(first) else first


def _leaving_error() -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.LEAVING,
        "the session's home is stopping; retry at its new home",
        retry_after=0.0,
    )


def _is_numbered(waiter: _TurnRequest) -> bool:
    return waiter.question.sequence >= 0
