# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The sidecars that an entry works with, and how each of them is.

The instance list only proposes; what decides is whether a sidecar answers
heartbeats, and what it says of itself in them. Its own "leaving" outranks
everything else.
"""

from collections import abc
import enum
import random
import typing

import anyio
import anyio.abc
import attrs

from crowdeck import errors
from crowdeck import instance as instances
from crowdeck.membership import directory as directories
from crowdeck.membership import links as links_module
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck import pipeline
from crowdeck import timers
from crowdeck.wire import link
from crowdeck.wire import messages
from crowdeck.wire import questions

# Heartbeats a second, to all sidecars together: what control costs must
# not grow with the fleet. One exchange is about 700 bytes with TCP's part,
# so these are 1.4 KB/s; docs/CAPACITY.md has the figures.
HEARTBEATS_PER_SECOND = 2.0
SHORTEST_HEARTBEAT_SECONDS = 0.25
HEARTBEAT_TIMEOUT = 1.0
# A sidecar that a silent answer depends on is asked at once instead of at
# its next turn. The time-out outlasts a retransmission (0.2 s) and a pause
# of the collector; with the silence before it, a frozen stage is found
# within a second.
PROBE_TIMEOUT = 0.6
PROBE_SHORTEST_SECONDS = 0.2
# A call or turn that takes longer has its sidecar probed this often.
WATCH_SECONDS = 0.5
BACKOFF_SECONDS = (0.1, 0.2, 0.4, 0.8, 1.6)


class State(enum.StrEnum):
    """How a sidecar is, as seen from here."""

    UNKNOWN = "unknown"
    UP = "up"
    LEAVING = "leaving"
    DOWN = "down"


class Observer(typing.Protocol):
    """Someone to be told when a sidecar's state changes."""

    def on_sidecar_changed(self, view: "SidecarView") -> None:
        """Take note of ``view``'s new state; must not block."""
        ...


@attrs.define(eq=False)
class SidecarView:
    """One sidecar as seen from here.

    :ivar changed_at: monotonic seconds of the last change of state.
    :ivar changes: how many changes of state were seen.
    :ivar own_inflight: our attempts and calls in progress there.
    :ivar own_inflight_reported: the same, when it last reported.
    :ivar times_chosen: how often it was chosen as a stage.
    :ivar reported_at: monotonic seconds of its last report.
    :ivar is_probed: whether it is being asked out of its turn.
    """

    instance: instances.Instance
    changed_at: float
    state: State = State.UNKNOWN
    peer: link.Peer | None = None
    load: messages.Load | None = None
    changes: int = 0
    own_inflight: int = 0
    own_inflight_reported: int = 0
    times_chosen: int = 0
    reported_at: float = 0.0
    is_probed: bool = False

    @property
    def name(self) -> str:
        """Name of the instance."""
        return self.instance.name

    @property
    def is_usable(self) -> bool:
        """Whether new work may be sent to it."""
        return self.state is State.UP and self.peer is not None

    @property
    def incarnation(self) -> int:
        """The run of the sidecar that answers, 0 for none."""
        return self.load.incarnation if self.load is not None else 0

    @property
    def inflight(self) -> int:
        """Work in progress there: its report, corrected by our own since."""
        reported = self.load.running if self.load is not None else 0
        return max(
            self.own_inflight,
            reported + self.own_inflight - self.own_inflight_reported,
        )

    @property
    def offers(self) -> tuple[pipeline.Offer, ...]:
        """What its engine serves."""
        if self.load is None:
            return ()
        return tuple(note.as_offer() for note in self.load.offers)

    def has_service(self, service: str) -> bool:
        """Whether a plain service stands behind it."""
        return self.load is not None and service in self.load.services


class Fleet:
    """Keeps one link and one heartbeat to each listed sidecar."""

    def __init__(
        self,
        directory: directories.Directory,
        links: links_module.Links,
        clock: timers.Clock,
        tasks: anyio.abc.TaskGroup,
        randomness: random.Random,
    ) -> None:
        self._directory = directory
        self._links = links
        self._clock = clock
        self._tasks = tasks
        self._random = randomness
        self._views: dict[str, SidecarView] = {}
        self._observers: list[Observer] = []

    @property
    def views(self) -> tuple[SidecarView, ...]:
        """Every sidecar that is listed."""
        return tuple(self._views.values())

    @property
    def usable(self) -> tuple[SidecarView, ...]:
        """Every sidecar that new work may be sent to."""
        return tuple(one for one in self._views.values() if one.is_usable)

    def find(self, name: str) -> SidecarView | None:
        """Return how a sidecar is, if it is listed."""
        return self._views.get(name)

    def subscribe(self, observer: Observer) -> None:
        """Tell ``observer`` of each change from now on."""
        self._observers.append(observer)

    def unsubscribe(self, observer: Observer) -> None:
        """Stop telling ``observer``."""
        self._observers.remove(observer)

    async def follow(self) -> None:
        """Begin to watch newly listed sidecars, drop unlisted ones."""
        listed = {one.name: one for one in self._directory.sidecars}
        for name in tuple(self._views):
            if name not in listed and self._is_gone(name):
                del self._views[name]
        for name, instance in listed.items():
            view = self._views.get(name)
            if view is None:
                view = SidecarView(instance, self._clock.now())
                self._views[name] = view
                self._tasks.start_soon(self._watch, view)
            view.instance = instance

    def _is_gone(self, name: str) -> bool:
        # The list lags both ways: a sidecar that answers heartbeats is
        # there, whatever the list says.
        return self._views[name].state in (State.DOWN, State.UNKNOWN)

    async def _watch(self, view: SidecarView) -> None:
        failures = 0
        while self._views.get(view.name) is view:
            try:
                view.peer = await self._links.get(view.name)
                failures = 0
                await self._beat(view, view.peer)
            except errors.CrowdeckError:
                failures += 1
            view.peer = None
            self._change(view, State.DOWN)
            await anyio.sleep(self._backoff(failures))

    async def _beat(self, view: SidecarView, peer: link.Peer) -> None:
        """Exchange heartbeats until one fails or the link closes."""
        try:
            while peer.is_open:
                reply = await peer.ask(
                    questions.Heartbeat(HEARTBEAT_TIMEOUT), HEARTBEAT_TIMEOUT
                )
                self._take_report(view, reply)
                with anyio.move_on_after(self._pause()):
                    await peer.wait_closed()
        finally:
            # Closing tells both sides at once: nothing that was sent on
            # this link is waited for any longer.
            peer.close()

    def _pause(self) -> float:
        """Return the time to a sidecar's next heartbeat."""
        fair = len(self._views) / HEARTBEATS_PER_SECOND
        return max(SHORTEST_HEARTBEAT_SECONDS, fair) * self._random.uniform(
            0.8, 1.2
        )

    async def ask_with_probes(
        self, peer: link.Peer, question: questions.Question, timeout: float
    ) -> questions.Reply:
        """Ask what may rightly take long, noticing when the peer dies.

        :raises LinkLost: as soon as the peer no longer answers probes.
        """
        outcome: questions.Reply | errors.LinkLost
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._probe_often, peer.greeting.instance)
            try:
                outcome = await peer.ask(question, timeout)
            except errors.LinkLost as lost:
                outcome = lost
            tasks.cancel_scope.cancel()
        if isinstance(outcome, errors.LinkLost):
            raise outcome
        return outcome

    async def _probe_often(self, name: str) -> None:
        while True:
            await anyio.sleep(WATCH_SECONDS)
            await self.probe((name,))

    async def probe(self, names: abc.Iterable[str]) -> None:
        """Ask sidecars at once whether they live, all at the same time.

        Those that do not reply are lost when this returns, and whoever
        subscribed has been told.
        """
        async with anyio.create_task_group() as tasks:
            for name in names:
                view = self._views.get(name)
                if view is not None and self._is_probe_due(view):
                    tasks.start_soon(self._probe, view)

    def _is_probe_due(self, view: SidecarView) -> bool:
        age = self._clock.now() - view.reported_at
        return not view.is_probed and age > PROBE_SHORTEST_SECONDS

    async def _probe(self, view: SidecarView) -> None:
        peer = view.peer
        if peer is None:
            return
        view.is_probed = True
        counters.COUNTERS.add("fleet.probed")
        try:
            reply = await peer.ask(
                questions.Heartbeat(PROBE_TIMEOUT), PROBE_TIMEOUT
            )
            self._take_report(view, reply)
        except errors.CrowdeckError:
            peer.close()
            self._change(view, State.DOWN)
        finally:
            view.is_probed = False

    def on_report(self, peer: link.Peer, load: messages.Load) -> None:
        """Take what a sidecar says of itself without being asked."""
        view = self._views.get(peer.greeting.instance)
        if view is not None and view.peer is peer:
            self._take_report(view, load)

    def _take_report(self, view: SidecarView, reply: questions.Reply) -> None:
        if not isinstance(reply, messages.Load):
            raise errors.CrowdeckError(
                errors.Code.MALFORMED, "a heartbeat was not answered by one"
            )
        is_leaving = reply.is_leaving or view.instance.is_leaving
        view.load = reply
        view.own_inflight_reported = view.own_inflight
        view.reported_at = self._clock.now()
        self._change(view, State.LEAVING if is_leaving else State.UP)

    def _change(self, view: SidecarView, state: State) -> None:
        if view.state is state:
            return
        former = view.state
        view.state = state
        view.changes += 1
        view.changed_at = self._clock.now()
        counters.COUNTERS.add(f"fleet.{state}")
        if former is not State.UNKNOWN or state is not State.DOWN:
            logs.change("sidecar", name=view.name, state=str(state))
        for observer in tuple(self._observers):
            observer.on_sidecar_changed(view)

    def _backoff(self, failures: int) -> float:
        index = min(failures, len(BACKOFF_SECONDS) - 1)
        return BACKOFF_SECONDS[index] * self._random.uniform(0.5, 1.0)
