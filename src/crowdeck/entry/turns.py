# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Turns of sessions, as an entry takes and holds them."""

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

END_TIMEOUT = 1.0
# Sidecars that changed this recently may disagree with us, or with other
# entries, on whose home a session is.
RECENT_SECONDS = 10.0
RETRY_SECONDS = 0.2


@attrs.define(eq=False)
class _Held:
    session: str
    request: str
    sequence: int
    home: str


class SessionTurns:
    """Takes turns for this entry's requests, at each session's home."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        clock: timers.Clock,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._tasks = tasks
        self._held: dict[str, _Held] = {}
        fleet.subscribe(self)

    @contextlib.asynccontextmanager
    async def hold(
        self, session: str, request: str, sequence: int, deadline: float
    ) -> typing.AsyncIterator[None]:
        """Hold the session's turn; without a session, hold nothing.

        :param session: the session's full name, team included.
        :param sequence: the caller's own number of the turn, or -1.
        :raises CrowdeckError: ``ORDER`` when it does not come up in time.
        """
        if not session:
            yield
            return
        held = _Held(session, request, sequence, "")
        try:
            await self._take(held, deadline, is_holding=False)
            self._held[request] = held
            yield
        finally:
            # Also when the caller left while the turn was being taken:
            # the grant may be on its way to us.
            self._held.pop(request, None)
            self._tasks.start_soon(self._end, held)

    def on_sidecar_changed(self, view: fleets.SidecarView) -> None:
        """Come forward at the new home of a session whose turn we hold."""
        for held in tuple(self._held.values()):
            home, _ = self._home(held.session)
            if home is not None and home.name != held.home:
                self._tasks.start_soon(self._come_forward, held)

    def _home(self, session: str) -> tuple[fleets.SidecarView | None, bool]:
        """Return a session's home, and whether others may see another."""
        views = {view.name: view for view in self._fleet.views}
        now = self._clock.now()
        is_moved = False
        for name in rendezvous.rank(session, views):
            view = views[name]
            is_recent = now - view.changed_at < RECENT_SECONDS
            is_moved = is_moved or (is_recent and self._has_history(view))
            if view.is_usable:
                return view, is_moved
            is_moved = True
        return None, is_moved

    def _has_history(self, view: fleets.SidecarView) -> bool:
        # When this entry has just started, every sidecar is new to it;
        # that is no reason to hold up sessions that nobody else moves.
        return view.state is not fleets.State.UP or view.changes > 1

    async def _take(
        self, held: _Held, deadline: float, is_holding: bool
    ) -> None:
        while True:
            seconds_left = deadline - self._clock.now()
            home, is_moved = self._home(held.session)
            if home is None or home.peer is None or seconds_left <= 0:
                raise errors.CrowdeckError(
                    errors.Code.ORDER,
                    "the session has no home to take a turn at",
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
                await anyio.sleep(RETRY_SECONDS)
                continue
            if isinstance(reply, questions.Refused):
                if reply.code == errors.Code.LEAVING:
                    await anyio.sleep(RETRY_SECONDS)
                    continue
                raise reply.as_error()
            return

    async def _come_forward(self, held: _Held) -> None:
        counters.COUNTERS.add("turns.came_forward")
        try:
            await self._take(
                held, self._clock.now() + END_TIMEOUT, is_holding=True
            )
        except errors.CrowdeckError:
            # The session's next turn waits out the settling time; what
            # runs now is not stopped for it.
            counters.COUNTERS.add("turns.not_kept")

    async def _end(self, held: _Held) -> None:
        view = self._fleet.find(held.home)
        if view is None or view.peer is None:
            return
        question = questions.EndTurn(held.session, held.request)
        try:
            await view.peer.ask(question, END_TIMEOUT)
        except errors.LinkLost:
            counters.COUNTERS.add("turns.end_lost")
