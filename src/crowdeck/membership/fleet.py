# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The sidecars of an entry and their health.

The instance list only names candidates. The state of a sidecar follows from
its heartbeats and from what it reports in them. A sidecar that reports that it
is leaving gets no new work.
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

# Heartbeats a second to all sidecars together, so that control traffic does
# not grow with the fleet. One takes about 700 bytes with the overhead of TCP,
# so these are 1.4 KB/s; see docs/CAPACITY.md.
HEARTBEATS_PER_SECOND = 2.0
MIN_HEARTBEAT_INTERVAL_SECONDS = 0.25
HEARTBEAT_TIMEOUT_SECONDS = 1.0
# A probe is an unscheduled heartbeat, sent to a sidecar that delays an answer.
# The timeout is longer than a TCP retransmission and a garbage collection
# pause, and short enough to find an unresponsive stage within a second.
PROBE_TIMEOUT_SECONDS = 0.6
# A sidecar that reported within this time is not probed.
MIN_PROBE_INTERVAL_SECONDS = 0.2
# Interval of the probes while a long call or turn is awaited.
PROBE_INTERVAL_SECONDS = 0.5
# Maximum delays before a link is opened again, by the number of failures in a
# row. Jitter shortens them to as little as half.
BACKOFF_SECONDS = (0.1, 0.2, 0.4, 0.8, 1.6)


class State(enum.StrEnum):
    """The state of a sidecar, as seen from this entry."""

    UNKNOWN = "unknown"
    UP = "up"
    LEAVING = "leaving"
    DOWN = "down"


class Observer(typing.Protocol):
    """Is notified when a sidecar's state changes."""

    def on_sidecar_changed(self, view: "SidecarView") -> None:
        """Handle the new state of ``view``; must not block."""
        ...


@attrs.define(eq=False)
class SidecarView:
    """One sidecar, as seen from this entry.

    :ivar changed_at: monotonic seconds of the last change of state.
    :ivar change_count: number of changes of state.
    :ivar own_inflight: number of this entry's attempts and calls in progress
        at the sidecar.
    :ivar own_inflight_at_report: the same at the time of the last report.
    :ivar times_chosen: how often it was chosen as a stage.
    :ivar reported_at: monotonic seconds of its last report.
    :ivar is_probed: whether a probe is in progress.
    """

    instance: instances.Instance
    changed_at: float
    state: State = State.UNKNOWN
    peer: link.Peer | None = None
    load: messages.Load | None = None
    change_count: int = 0
    own_inflight: int = 0
    own_inflight_at_report: int = 0
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
        """The incarnation that last reported, 0 before the first report."""
        return self.load.incarnation if self.load is not None else 0

    @property
    def inflight(self) -> int:
        """Attempts and calls in progress: as reported, plus own changes since.

        At least this entry's own.
        """
        reported = self.load.running if self.load is not None else 0
        return max(
            self.own_inflight,
            reported + self.own_inflight - self.own_inflight_at_report,
        )

    @property
    def offers(self) -> tuple[pipeline.Offer, ...]:
        """The offers of its engine."""
        if self.load is None:
            return ()
        return tuple(offer.as_offer() for offer in self.load.offers)

    def has_service(self, service: str) -> bool:
        """Whether it forwards calls to a plain service of this name."""
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
        """All known sidecars."""
        return tuple(self._views.values())

    @property
    def usable(self) -> tuple[SidecarView, ...]:
        """All sidecars to which new work may be sent."""
        return tuple(view for view in self._views.values() if view.is_usable)

    def find(self, name: str) -> SidecarView | None:
        """Return the view of a sidecar, if it is known."""
        return self._views.get(name)

    def subscribe(self, observer: Observer) -> None:
        """Notify ``observer`` of each change from now on."""
        self._observers.append(observer)

    def unsubscribe(self, observer: Observer) -> None:
        """Stop notifying ``observer``."""
        self._observers.remove(observer)

    async def sync_with_directory(self) -> None:
        """Watch newly listed sidecars; drop unlisted unreachable ones.

        Those are down or never reported.
        """
        listed = {
            sidecar.name: sidecar for sidecar in self._directory.sidecars
        }
        for name in tuple(self._views):
            if name not in listed and self._is_unreachable(name):
                del self._views[name]
        for name, instance in listed.items():
            view = self._views.get(name)
            if view is None:
                view = SidecarView(instance, self._clock.now())
                self._views[name] = view
                self._tasks.start_soon(self._watch, view)
            view.instance = instance

    def _is_unreachable(self, name: str) -> bool:
        # A sidecar that answers heartbeats stays in use even if it is not
        # listed, because the list may be outdated.
        return self._views[name].state in (State.DOWN, State.UNKNOWN)

    async def _watch(self, view: SidecarView) -> None:
        failures = 0
        while self._views.get(view.name) is view:
            try:
                view.peer = await self._links.get(view.name)
                failures = 0
                await self._exchange_heartbeats(view, view.peer)
            except errors.CrowdeckError:
                failures += 1
            view.peer = None
            self._set_state(view, State.DOWN)
            await anyio.sleep(self._backoff_seconds(failures))

    async def _exchange_heartbeats(
        self, view: SidecarView, peer: link.Peer
    ) -> None:
        """Exchange heartbeats until one fails or the link closes."""
        try:
            while peer.is_open:
                reply = await peer.ask(
                    questions.Heartbeat(HEARTBEAT_TIMEOUT_SECONDS),
                    HEARTBEAT_TIMEOUT_SECONDS,
                )
                self._apply_report(view, reply)
                with anyio.move_on_after(self._heartbeat_interval_seconds()):
                    await peer.wait_closed()
        finally:
            # Fails all pending calls on this link, at both ends.
            peer.close()

    def _heartbeat_interval_seconds(self) -> float:
        """Return the seconds until a sidecar's next heartbeat, with jitter."""
        seconds = len(self._views) / HEARTBEATS_PER_SECOND
        return max(
            MIN_HEARTBEAT_INTERVAL_SECONDS, seconds
        ) * self._random.uniform(0.8, 1.2)

    async def ask_with_probes(
        self, peer: link.Peer, question: questions.Question, timeout: float
    ) -> questions.Reply:
        """Ask a question that may take long, and probe the peer meanwhile.

        :param timeout: in seconds.
        :raises LinkLost: as soon as the peer fails to answer a probe.
        """
        outcome: questions.Reply | errors.LinkLost
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._probe_regularly, peer.greeting.instance)
            try:
                outcome = await peer.ask(question, timeout)
            except errors.LinkLost as lost:
                outcome = lost
            tasks.cancel_scope.cancel()
        if isinstance(outcome, errors.LinkLost):
            raise outcome
        return outcome

    async def _probe_regularly(self, name: str) -> None:
        while True:
            await anyio.sleep(PROBE_INTERVAL_SECONDS)
            await self.probe((name,))

    async def probe(self, names: abc.Iterable[str]) -> None:
        """Send a heartbeat to each sidecar now, to all of them concurrently.

        Sidecars that do not reply are down when this returns, and the
        observers have been notified.

        :param names: names of sidecars; unknown names, and sidecars that
            reported or are being probed just now, are skipped.
        """
        async with anyio.create_task_group() as tasks:
            for name in names:
                view = self._views.get(name)
                if view is not None and self._is_probe_due(view):
                    tasks.start_soon(self._probe, view)

    def _is_probe_due(self, view: SidecarView) -> bool:
        age_seconds = self._clock.now() - view.reported_at
        return not view.is_probed and age_seconds > MIN_PROBE_INTERVAL_SECONDS

    async def _probe(self, view: SidecarView) -> None:
        peer = view.peer
        if peer is None:
            return
        view.is_probed = True
        counters.COUNTERS.add("fleet.probed")
        try:
            reply = await peer.ask(
                questions.Heartbeat(PROBE_TIMEOUT_SECONDS),
                PROBE_TIMEOUT_SECONDS,
            )
            self._apply_report(view, reply)
        except errors.CrowdeckError:
            peer.close()
            self._set_state(view, State.DOWN)
        finally:
            view.is_probed = False

    def on_report(self, peer: link.Peer, load: messages.Load) -> None:
        """Apply a report that a sidecar sent without being asked."""
        view = self._views.get(peer.greeting.instance)
        if view is not None and view.peer is peer:
            self._apply_report(view, load)

    def _apply_report(self, view: SidecarView, reply: questions.Reply) -> None:
        if not isinstance(reply, messages.Load):
            raise errors.CrowdeckError(
                errors.Code.MALFORMED,
                f"{view.name} replied to a heartbeat with a "
                f"{type(reply).__name__} instead of a Load",
            )
        is_leaving = reply.is_leaving or view.instance.is_leaving
        view.load = reply
        view.own_inflight_at_report = view.own_inflight
        view.reported_at = self._clock.now()
        self._set_state(view, State.LEAVING if is_leaving else State.UP)

    def _set_state(self, view: SidecarView, state: State) -> None:
        if view.state is state:
            return
        former = view.state
        view.state = state
        view.change_count += 1
        view.changed_at = self._clock.now()
        counters.COUNTERS.add(f"fleet.{state}")
        # A sidecar that never reported is not logged as down.
        if former is not State.UNKNOWN or state is not State.DOWN:
            logs.change("sidecar", name=view.name, state=str(state))
        for observer in tuple(self._observers):
            observer.on_sidecar_changed(view)

    def _backoff_seconds(self, failures: int) -> float:
        index = min(failures, len(BACKOFF_SECONDS) - 1)
        return BACKOFF_SECONDS[index] * self._random.uniform(0.5, 1.0)
