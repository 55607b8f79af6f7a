# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Serializes the requests of each session.

A request holds its session's turn while it runs. The session's home, a
sidecar picked by rendezvous hashing, grants the turns one at a time.
"""

import contextlib
import typing

import anyio
import anyio.abc
import attrs

from crowdeck import errors
from crowdeck.membership import fleet as fleets
from crowdeck.observe import counters
from crowdeck.routing import rendezvous
from crowdeck import timers
from crowdeck.wire import questions

TURN_REQUEST_TIMEOUT_SECONDS = 1.0
# Processes may disagree on a session's home for this long after a sidecar's
# state has changed.
HOME_CONVERGENCE_SECONDS = 10.0
RETRY_INTERVAL_SECONDS = 0.2


@attrs.define(eq=False)
class _HeldTurn:
    session: str
    request: str
    sequence: int
    home: str


class SessionTurns:
    """Takes turns at the sessions' homes for the requests of one entry."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        clock: timers.Clock,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._tasks = tasks
        self._held: dict[str, _HeldTurn] = {}
        fleet.subscribe(self)

    @contextlib.asynccontextmanager
    async def hold(
        self, session: str, request: str, sequence: int, deadline: float
    ) -> typing.AsyncIterator[None]:
        """Hold the session's turn; without a session, hold nothing.

        :param session: the session's full name, team included.
        :param sequence: the caller's own number of the turn, or -1.
        :raises CrowdeckError: ``ORDER`` if it is not granted in time or
            its number is out of order.
        """
        if not session:
            yield
            return
        held = _HeldTurn(session, request, sequence, "")
        try:
            await self._take(held, deadline, is_holding=False)
            self._held[request] = held
            yield
        finally:
            # Also when the caller left while the turn was being taken, as
            # the home may have granted it.
            self._held.pop(request, None)
            self._tasks.start_soon(self._end, held)

    def on_sidecar_changed(self, view: fleets.SidecarView) -> None:
        """Take held turns again at the new homes of their sessions."""
        for held in tuple(self._held.values()):
            home, _ = self._home(held.session)
            if home is not None and home.name != held.home:
                self._tasks.start_soon(self._retake_at_new_home, held)

    def _home(self, session: str) -> tuple[fleets.SidecarView | None, bool]:
        """Return a session's home, and whether it may have moved.

        If it has, a holder's turn may be known at another home only.
        """
        views = {view.name: view for view in self._fleet.views}
        now = self._clock.now()
        is_moved = False
        for name in rendezvous.rank(session, views):
            view = views[name]
            is_recent = now - view.changed_at < HOME_CONVERGENCE_SECONDS
            is_moved = is_moved or (
                is_recent and self._has_changed_since_start(view)
            )
            if view.is_usable:
                return view, is_moved
            is_moved = True
        return None, is_moved

    def _has_changed_since_start(self, view: fleets.SidecarView) -> bool:
        # To an entry that has just started, every sidecar has changed
        # recently. That must not delay sessions which have not moved.
        return view.state is not fleets.State.UP or view.change_count > 1

    async def _take(
        self, held: _HeldTurn, deadline: float, is_holding: bool
    ) -> None:
        while True:
            seconds_left = deadline - self._clock.now()
            home, is_moved = self._home(held.session)
            if home is None or home.peer is None or seconds_left <= 0:
                raise errors.CrowdeckError(
                    errors.Code.ORDER,
                    "no sidecar could grant the session's turn in time",
                    retry_after=1.0,
                )
            question = questions.TakeTurn(
                session=held.session,
                request=held.request,
                sequence=held.sequence,
                is_holding=is_holding,
                is_moved=is_moved,
                seconds_left=seconds_left,
            )
            held.home = home.name
            try:
                reply = await self._fleet.ask_with_probes(
                    home.peer, question, seconds_left
                )
            except errors.LinkLost:
                await anyio.sleep(RETRY_INTERVAL_SECONDS)
                continue
            if isinstance(reply, questions.Refused):
                if reply.code == errors.Code.LEAVING:
                    await anyio.sleep(RETRY_INTERVAL_SECONDS)
                    continue
                raise reply.as_error()
            return

    async def _retake_at_new_home(self, held: _HeldTurn) -> None:
        counters.COUNTERS.add("turns.came_forward")
        try:
            await self._take(
                held,
                self._clock.now() + TURN_REQUEST_TIMEOUT_SECONDS,
                is_holding=True,
            )
        except errors.CrowdeckError:
            # The request continues without its turn, and may overlap with the
            # session's next one once the new home stops waiting for holders.
            counters.COUNTERS.add("turns.not_kept")

    async def _end(self, held: _HeldTurn) -> None:
        view = self._fleet.find(held.home)
        if view is None or view.peer is None:
            return
        question = questions.EndTurn(held.session, held.request)
        try:
            await view.peer.ask(question, TURN_REQUEST_TIMEOUT_SECONDS)
        except errors.LinkLost:
            counters.COUNTERS.add("turns.end_lost")
