# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""What this process believes of every upstream instance."""

import typing

import anyio
import attrs

from crowdeck import chain
from crowdeck.membership import backoffs
from crowdeck.membership import entries
from crowdeck.membership import leaving_instances
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.state import objects as stores

# An instance that failed is left alone for this long, twice as long
# after each further failure. The first pause is a little over the time
# in which a restarted engine would be back under another name. The
# longest is what one that was cut off may lose after it is back.
AVOID_SECONDS = 1.0
AVOID_MOST_SECONDS = 5.0
# One that refused for want of room has some again when a request ends;
# twice as long after each refusal that follows soon after another.
FULL_SECONDS = 0.4
FULL_MOST_SECONDS = 1.6
# Refusals further apart than this have nothing to do with each other.
APART_SECONDS = 2.0
# An engine that was avoided is asked before it gets work again. Where the
# answer says nothing, because our own link is at fault, it is asked anew
# after this long.
UNSURE_SECONDS = 0.3
# One that no longer holds what its entry says has a new entry within two
# heartbeats and the time that a watch takes.
STALE_SECONDS = 2.0
# An instance that says it is leaving may get work for two seconds more.
# It does for the first of them, where nothing else can serve: what takes
# its place is still loading. The rest covers what we learn late.
LAST_WORK_SECONDS = 1.0
# An entry that goes soon after the store was away may only have lapsed
# there: instances that live write theirs again within two seconds of the
# store's return. But some leave without a word, their entries gone, and
# two seconds later nothing may reach them either: with 2.5 s here a call
# came 2.18 s after. So what is missing is used for a little less.
LAPSE_SECONDS = 1.8
# An entry that goes this long after a call of the store failed may have
# lapsed: two seconds for its return and a half for the watch to tell.
SUSPECT_SECONDS = 2.5

Listener = typing.Callable[[], None]
LapseListener = typing.Callable[[chain.Upstream], None]
EndListener = typing.Callable[[chain.Upstream], None]


@attrs.define
class _Belief:
    upstream: chain.Upstream
    version: int = 0
    avoided_until: float = 0.0
    failures: int = 0
    refusals: int = 0
    is_asked: bool = False
    is_gone: bool = False
    leaving_at: float | None = None
    lapsed_at: float | None = None

    @property
    def needs_proof(self) -> bool:
        """Whether it has to answer a question before it gets work again.

        Plain services are not asked: a call finds out by itself.
        """
        return bool(self.failures and self.upstream.card)


class UpstreamRegistry:
    """Upstream instances as listed, less those that were seen to fail.

    It is a follower of the mirror of the instances' entries.

    :param decode: turns a stored entry into an instance.
    """

    def __init__(self, decode: entries.Decoder) -> None:
        self._entries = entries.EntryReader(decode)
        self._beliefs: dict[str, _Belief] = {}
        # Which run of an instance its entry in the store tells of.
        self._runs: dict[str, str] = {}
        self._leavers = leaving_instances.LeavingInstances()
        self._rests = backoffs.Backoffs()
        self._end_listeners: list[EndListener] = []
        self._listeners: list[Listener] = []
        self._lapse_listeners: list[LapseListener] = []
        self._services: typing.Callable[[], frozenset[str]] = frozenset
        self._store_failed_at: typing.Callable[[], float | None] = lambda: None

    def set_store_failure_source(
        self, failed_at: typing.Callable[[], float | None]
    ) -> None:
        """Tell the book how to learn when the store last failed."""
        self._store_failed_at = failed_at

    def set_services_source(
        self, services: typing.Callable[[], frozenset[str]]
    ) -> None:
        """Tell the book how to learn which services there are.

        :param services: returns their names, none while no config is known.
        """
        self._services = services

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` after every change of a belief."""
        self._listeners.append(listener)

    def subscribe_lapses(self, listener: LapseListener) -> None:
        """Call ``listener`` for each engine whose entry may have lapsed.

        It gets no new work until :meth:`note_healthy` tells that it answers.
        """
        self._lapse_listeners.append(listener)

    def subscribe_ends(self, listener: EndListener) -> None:
        """Call ``listener`` for each instance whose process has ended."""
        self._end_listeners.append(listener)

    def find(self, name: str) -> chain.Upstream | None:
        """Return an instance by its name."""
        belief = self._beliefs.get(name)
        return belief.upstream if belief else None

    def find_by_address(self, address: str) -> chain.Upstream | None:
        """Return the newest instance listed at an address."""
        found = None
        for belief in self._beliefs.values():
            if str(belief.upstream.address) == address:
                found = belief.upstream
        return found

    def listed(self, service: str) -> tuple[chain.Upstream, ...]:
        """Return every listed instance of a service."""
        self._drop_lapsed()
        return tuple(
            belief.upstream
            for belief in self._beliefs.values()
            if belief.upstream.service == service
        )

    def usable(self, service: str) -> tuple[chain.Upstream, ...]:
        """Return the instances that may get new work."""
        now = anyio.current_time()
        return tuple(
            belief.upstream
            for belief in self._sound(service, now)
            if not self._rests.is_resting(belief.upstream.name)
        )

    def usable_after_backoff(self, service: str) -> tuple[chain.Upstream, ...]:
        """Return those of :meth:`usable`, and those that only want rest."""
        now = anyio.current_time()
        return tuple(one.upstream for one in self._sound(service, now))

    def _sound(self, service: str, now: float) -> typing.Iterator[_Belief]:
        self._drop_lapsed()
        for belief in self._beliefs.values():
            if (
                belief.upstream.service == service
                and not belief.upstream.is_leaving
                and belief.avoided_until <= now
                and not belief.needs_proof
            ):
                yield belief

    def usable_while_leaving(self, service: str) -> tuple[chain.Upstream, ...]:
        """Return instances that have begun to leave but may get work yet."""
        now = anyio.current_time()
        return tuple(
            belief.upstream
            for belief in self._beliefs.values()
            if belief.upstream.service == service
            and belief.upstream.is_leaving
            and belief.leaving_at is not None
            and now - belief.leaving_at < LAST_WORK_SECONDS
            and not self._rests.is_resting(belief.upstream.name)
            and belief.avoided_until <= now
            and not belief.needs_proof
        )

    def due_for_probe(self) -> tuple[chain.Upstream, ...]:
        """Return avoided engines whose pause is over, to be asked.

        A request that is sent to find out whether an engine is back pays
        for it with a repeat; a question does not. Each is returned again
        when it was neither trusted nor avoided for a moment.
        """
        now = anyio.current_time()
        due = [
            belief
            for belief in self._beliefs.values()
            if belief.needs_proof
            and belief.avoided_until <= now
            and not self._rests.is_resting(belief.upstream.name)
        ]
        for belief in due:
            belief.avoided_until = now + UNSURE_SECONDS
            belief.is_asked = True
        return tuple(belief.upstream for belief in due)

    def avoided(self) -> tuple[chain.Upstream, ...]:
        """Return the instances that failed and have not answered since."""
        return tuple(
            belief.upstream
            for belief in self._beliefs.values()
            if belief.failures
        )

    def is_usable(self, name: str) -> bool:
        """Whether an instance may get new work."""
        belief = self._beliefs.get(name)
        return (
            belief is not None
            and not belief.upstream.is_leaving
            and belief.avoided_until <= anyio.current_time()
            and not self._rests.is_resting(name)
            and not belief.needs_proof
        )

    def back_off(self, name: str, seconds: float) -> None:
        """Send an instance nothing for as long as it asked for."""
        belief = self._beliefs.get(name)
        if belief is None or not self._rests.begin(name, seconds):
            return
        counters.COUNTERS.add("upstream.backed_off")
        logs.change(
            "upstream_backed_off",
            upstream=name,
            address=str(belief.upstream.address),
            seconds=seconds,
        )

    def note_leaving(self, name: str) -> None:
        """Note that an instance said in an answer that it leaves.

        It is so from then on, whatever its entry in the store says: some
        never write it there, and an older entry may come later.
        """
        if not self._leavers.note(name):
            return
        belief = self._beliefs.get(name)
        if belief is None or belief.upstream.is_leaving:
            return
        belief.leaving_at = self._leavers.since(name)
        belief.upstream = attrs.evolve(belief.upstream, is_leaving=True)
        self._log("upstream_changed", belief.upstream, belief.version)
        self._tell()

    def backing_off(self) -> tuple[tuple[str, float, float], ...]:
        """Return who wants rest: name, since when, until when."""
        return self._rests.now()

    def announced_leaving(self) -> tuple[tuple[str, float], ...]:
        """Return whose answers said that they leave, and since when."""
        return self._leavers.items()

    def backoff_seconds_left(self, name: str) -> float:
        """Return for how long an instance still wants nothing from us."""
        return self._rests.seconds_left(name)

    def may_probe(self, name: str) -> bool:
        """Whether an instance may be asked, or led, for a stream's sake.

        Once in a time of rest: a stream that passes an instance which fell
        silent is lost otherwise.
        """
        return self._rests.may_probe(name)

    def has_ended(self, name: str) -> bool:
        """Whether an instance's process is known to be gone.

        Its entry went, or nobody listens at its address. One that leaves,
        is full, resets a connection or says nothing, however often, may
        have run what it was sent, and run on: an entry that is slowed
        itself finds sound engines silent twice and more.
        """
        belief = self._beliefs.get(name)
        return belief is None or belief.is_gone

    def avoid(self, name: str, reason: str, *, is_gone: bool = False) -> None:
        """Give an instance that failed nothing for a while.

        :param is_gone: whether its process is known to have ended.
        """
        belief = self._beliefs.get(name)
        now = anyio.current_time()
        if belief is None:
            return
        if is_gone and not belief.is_gone:
            # Also where it is left alone already: others wait to know.
            belief.is_gone = True
            self._tell_end(belief.upstream)
        if belief.avoided_until > now and not belief.is_asked:
            return
        belief.is_asked = False
        belief.is_gone = is_gone
        belief.failures += 1
        pause = AVOID_SECONDS * 2.0 ** (belief.failures - 1)
        belief.avoided_until = now + min(pause, AVOID_MOST_SECONDS)
        counters.COUNTERS.add("upstream.avoided")
        logs.change(
            "upstream_avoided",
            upstream=name,
            address=str(belief.upstream.address),
            reason=reason,
            seconds=belief.avoided_until - now,
            failures=belief.failures,
            has_ended=is_gone,
        )
        self._tell()

    def pause(self, name: str, seconds: float, reason: str) -> None:
        """Give an instance that refused a request nothing for a moment."""
        belief = self._beliefs.get(name)
        now = anyio.current_time()
        if belief is None or belief.avoided_until > now:
            return
        if now - belief.avoided_until > APART_SECONDS:
            belief.refusals = 0
        longer = min(seconds * 2.0**belief.refusals, FULL_MOST_SECONDS)
        belief.refusals += 1
        belief.avoided_until = now + max(seconds, longer)
        logs.change(
            "upstream_paused",
            upstream=name,
            address=str(belief.upstream.address),
            reason=reason,
            seconds=belief.avoided_until - now,
        )

    def note_healthy(self, name: str) -> None:
        """Note that an instance answered as it should."""
        belief = self._beliefs.get(name)
        if belief is None or not belief.failures:
            return
        belief.failures = 0
        belief.is_gone = False
        belief.avoided_until = 0.0
        logs.change(
            "upstream_trusted",
            upstream=name,
            address=str(belief.upstream.address),
        )
        self._tell()

    def on_listed(self, objects: tuple[stores.StoredObject, ...]) -> None:
        """Take all entries.

        A store that was restored from a copy may list an instance as it
        was before it said that it leaves. It writes that again; until then
        calls would reach it that nobody else has to bear.
        """
        present = {one.name for one in objects}
        for one in objects:
            self._take(one, allow_stale=True)
        for name in [name for name in self._runs if name not in present]:
            self._remove(name)
        self._tell()

    def on_changed(
        self,
        objects: tuple[stores.StoredObject, ...],
        removed: tuple[str, ...],
    ) -> None:
        """Take entries that changed or went."""
        for one in objects:
            self._take(one)
        for name in removed:
            self._remove(name)
        self._tell()

    def _take(
        self, stored: stores.StoredObject, *, allow_stale: bool = False
    ) -> None:
        held = self._beliefs.get(self._runs.get(stored.name, ""))
        before = held.upstream if held is not None else None
        upstream = self._entries.read(stored, before)
        if upstream is None:
            # What it said before need not be so any more.
            self._remove_entry(stored.name)
            return
        if held is not None and upstream.incarnation.is_before(
            held.upstream.incarnation
        ):
            # An older copy of the entry that came late.
            return
        if held is not None and held.upstream.name != upstream.name:
            self._drop(held.upstream, "upstream_started_again")
            held = None
        if held is not None and allow_stale and held.upstream.is_leaving:
            upstream = attrs.evolve(upstream, is_leaving=True)
        if upstream.name in self._leavers:
            upstream = attrs.evolve(upstream, is_leaving=True)
        if held is None:
            self._runs[stored.name] = upstream.name
            belief = _Belief(upstream, stored.version)
            belief.leaving_at = self._leavers.since(upstream.name)
            self._beliefs[upstream.name] = belief
            self._log("upstream_listed", upstream, stored.version)
            self._drop_replaced(upstream)
            return
        self._change(held, upstream, stored.version)

    def _change(
        self, belief: _Belief, upstream: chain.Upstream, version: int
    ) -> None:
        belief.version = version
        if belief.lapsed_at is not None:
            belief.lapsed_at = None
            belief.failures = 0
            belief.avoided_until = 0.0
        if belief.upstream == upstream:
            return
        if upstream.is_leaving and not belief.upstream.is_leaving:
            belief.leaving_at = anyio.current_time()
        belief.upstream = upstream
        self._log("upstream_changed", upstream, version)

    def _drop_replaced(self, newest: chain.Upstream) -> None:
        """Drop all other instances at the address of the newest.

        An address is another's only once its process has ended, but the
        entry of one that crashed stays for some heartbeats, and longer
        while the store is away. Until it went, every path through it was
        refused by the instance that had taken its place: 196 attempts of
        70 requests within two seconds.

        An entry of a service that the config does not name takes nobody's
        place: another writer made it.
        """
        services = self._services()
        if services and newest.service not in services:
            return
        here = [
            (belief.version, name)
            for name, belief in self._beliefs.items()
            if belief.upstream.address == newest.address
        ]
        for _, name in sorted(here)[:-1]:
            self._drop(self._beliefs[name].upstream, "upstream_replaced")

    def _drop(self, upstream: chain.Upstream, what: str) -> None:
        """Forget a run of an instance that has ended."""
        belief = self._beliefs.pop(upstream.name)
        self._rests.forget(upstream.name)
        entry = upstream.incarnation.id
        if self._runs.get(entry) == upstream.name:
            del self._runs[entry]
        self._log(what, upstream, 0)
        if not belief.is_gone:
            self._tell_end(upstream)

    def _tell_end(self, upstream: chain.Upstream) -> None:
        for listener in self._end_listeners:
            listener(upstream)

    def _remove(self, entry: str) -> None:
        self._entries.forget(entry)
        self._remove_entry(entry)

    def _remove_entry(self, entry: str) -> None:
        """Take note that an instance's entry went, or tells nothing."""
        belief = self._beliefs.get(self._runs.get(entry, ""))
        if belief is None:
            return
        failed_at = self._store_failed_at()
        now = anyio.current_time()
        if failed_at is not None and now - failed_at < SUSPECT_SECONDS:
            if belief.lapsed_at is None:
                self._lapse(belief, now)
            return
        self._drop(belief.upstream, "upstream_gone")

    def _lapse(self, belief: _Belief, now: float) -> None:
        belief.lapsed_at = now
        self._log("upstream_lapsed", belief.upstream, 0)
        if not belief.upstream.card:
            # A plain service is called over a new connection: if it is
            # gone, the call is not sent, and goes to another.
            return
        belief.failures += 1
        belief.avoided_until = now + LAPSE_SECONDS
        for listener in self._lapse_listeners:
            listener(belief.upstream)

    def _drop_lapsed(self) -> None:
        now = anyio.current_time()
        for belief in list(self._beliefs.values()):
            lapsed_at = belief.lapsed_at
            if lapsed_at is not None and now - lapsed_at > LAPSE_SECONDS:
                self._drop(belief.upstream, "upstream_gone")

    def _log(self, what: str, upstream: chain.Upstream, version: int) -> None:
        layers = upstream.layers
        logs.change(
            what,
            upstream=upstream.name,
            service=upstream.service,
            address=str(upstream.address),
            is_leaving=upstream.is_leaving,
            layers=f"{layers.first}-{layers.end}" if layers else "",
            version=version,
        )

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()
