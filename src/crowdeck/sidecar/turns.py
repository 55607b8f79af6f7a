# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Turns of sessions: one at a time, in the order received.

A session's home is the sidecar that rendezvous hashing picks for it; its
``Turns`` hand out that session's turns. Nothing is stored: after a change
of home, entries that hold turns come forward, and a moved session waits
for them before a new turn is granted.
"""

import collections

import anyio
import attrs

from crowdeck import errors
from crowdeck.observe import counters
from crowdeck import timers
from crowdeck.wire import link
from crowdeck.wire import questions

# An entry notices a lost home within its heartbeat time-out (1.5 s) and
# comes forward at once; twice that covers a late one.
SETTLE_SECONDS = 3.0
# A holder whose entry is gone may be picked up by another entry, as its
# caller reconnects; after this long the session goes on without it.
GRACE_SECONDS = 5.0
# Sessions idle this long are forgotten, and their numbering with them.
IDLE_SECONDS = 900.0


@attrs.define(eq=False)
class _Waiting:
    question: questions.TakeTurn
    peer: link.Peer
    granted: anyio.Event = attrs.field(factory=anyio.Event)


@attrs.define(eq=False)
class _Session:
    touched: float
    settled_at: float
    holder: _Waiting | None = None
    lost_at: float | None = None
    last_sequence: int = -1
    waiting: collections.deque[_Waiting] = attrs.field(
        factory=collections.deque
    )


class TurnQueues:
    """The turns of the sessions whose home is here."""

    def __init__(self, clock: timers.Clock) -> None:
        self._clock = clock
        self._sessions: dict[str, _Session] = {}
        self._is_leaving = False

    @property
    def sessions(self) -> int:
        """How many sessions are known here."""
        return len(self._sessions)

    def leave(self) -> None:
        """Send all who wait, and all who come, to the sessions' new homes.

        Holders come forward there by themselves.
        """
        self._is_leaving = True
        for session in self._sessions.values():
            for asked in session.waiting:
                asked.granted.set()

    async def take(
        self, peer: link.Peer, question: questions.TakeTurn
    ) -> None:
        """Return once the turn is granted.

        :raises CrowdeckError: ``ORDER``, with ``NOT_RUN``: the turn did
            not come up in time, or its number was used before.
        """
        if self._is_leaving:
            raise _leaving()
        session = self._session(question)
        asked = _Waiting(question, peer)
        if self._take_again(session, asked):
            return
        self._require_fresh(session, question)
        session.waiting.append(asked)
        self._grant(session)
        try:
            with anyio.move_on_after(question.seconds_left):
                await asked.granted.wait()
        finally:
            # Also when the asker is gone: a turn granted to nobody would
            # hold the session up until somebody noticed.
            if asked in session.waiting:
                session.waiting.remove(asked)
        if self._is_leaving:
            raise _leaving()
        if not asked.granted.is_set():
            raise errors.CrowdeckError(
                errors.Code.ORDER,
                "the session's earlier turns did not end in time",
                retry_after=1.0,
            )

    def end(self, question: questions.EndTurn) -> None:
        """Take a turn back and grant the next one."""
        session = self._sessions.get(question.session)
        if session is None:
            return
        for asked in tuple(session.waiting):
            if asked.question.request == question.request:
                session.waiting.remove(asked)
        holder = session.holder
        if holder and holder.question.request == question.request:
            session.holder = None
            session.lost_at = None
            self._grant(session)

    def on_closed(self, peer: link.Peer) -> None:
        """Forget who waited on a lost link, note whose holder is lost."""
        for session in self._sessions.values():
            for asked in tuple(session.waiting):
                if asked.peer is peer:
                    session.waiting.remove(asked)
            if session.holder is not None and session.holder.peer is peer:
                session.lost_at = self._clock.now()

    async def sweep(self) -> None:
        """Go on without holders that stay lost; forget idle sessions."""
        now = self._clock.now()
        for name, session in tuple(self._sessions.items()):
            lost_at = session.lost_at
            if lost_at is not None and now - lost_at > GRACE_SECONDS:
                counters.COUNTERS.add("turns.holder_lost")
                session.holder = None
                session.lost_at = None
            self._grant(session)
            is_idle = session.holder is None and not session.waiting
            if is_idle and now - session.touched > IDLE_SECONDS:
                del self._sessions[name]

    def _session(self, question: questions.TakeTurn) -> _Session:
        now = self._clock.now()
        session = self._sessions.get(question.session)
        if session is None:
            settled_at = now + (SETTLE_SECONDS if question.is_moved else 0.0)
            session = _Session(touched=now, settled_at=settled_at)
            self._sessions[question.session] = session
        session.touched = now
        return session

    def _take_again(self, session: _Session, asked: _Waiting) -> bool:
        """Recognise a holder that comes forward, or asks twice."""
        holder = session.holder
        request = asked.question.request
        if holder is not None and holder.question.request == request:
            session.holder = asked
            session.lost_at = None
            return True
        if asked.question.is_holding and holder is None:
            session.holder = asked
            session.last_sequence = max(
                session.last_sequence, asked.question.sequence
            )
            return True
        return False

    def _require_fresh(
        self, session: _Session, question: questions.TakeTurn
    ) -> None:
        is_used = 0 <= question.sequence <= session.last_sequence
        if is_used:
            raise errors.CrowdeckError(
                errors.Code.ORDER,
                f"turn {question.sequence} of this session was given before",
            )

    def _grant(self, session: _Session) -> None:
        if session.holder is not None or not session.waiting:
            return
        if self._clock.now() < session.settled_at:
            return
        asked = self._pick(session)
        if asked is None:
            return
        session.waiting.remove(asked)
        session.holder = asked
        session.last_sequence = max(
            session.last_sequence, asked.question.sequence
        )
        asked.granted.set()
        counters.COUNTERS.add("turns.granted")

    def _pick(self, session: _Session) -> _Waiting | None:
        """Return whose turn it is: the caller's number decides, if given.

        A numbered turn waits for the numbers before it, once any number
        of the session is known; without one, arrival decides.
        """
        first = session.waiting[0]
        numbered = [one for one in session.waiting if _is_numbered(one)]
        if not numbered:
            return first
        lowest = min(numbered, key=lambda one: one.question.sequence)
        is_next = lowest.question.sequence == session.last_sequence + 1
        if is_next or session.last_sequence < 0:
            return lowest
        return None if _is_numbered(first) else first


def _leaving() -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.LEAVING, "the session's home is leaving", retry_after=0.0
    )


def _is_numbered(asked: _Waiting) -> bool:
    return asked.question.sequence >= 0
