# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Registry of upstream instances and their health, as seen by this process."""

import typing

import anyio
import attrs

from crowdeck import chain
from crowdeck.membership import backoffs
from crowdeck.membership import leaving_instances
from crowdeck.membership import upstream_records
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.state import objects as stores

# A failed instance gets no work for this long, doubled at each further failure
# up to the maximum. The first time is a little longer than a restarted engine
# takes to return under another name. The maximum is what an instance that was
# cut off may lose after it is back.
AVOID_SECONDS = 1.0
MAX_AVOID_SECONDS = 5.0
# An instance that refused a request because it is full gets no work for this
# long, doubled at each refusal that follows soon after another.
REFUSAL_BACKOFF_SECONDS = 0.4
MAX_REFUSAL_BACKOFF_SECONDS = 1.6
# A refusal later than this after the end of the last pause counts as the
# first.
REFUSAL_RESET_SECONDS = 2.0
# A failed engine is probed before it gets work again. A probe without a result
# is repeated after this time, for example if this entry's own network failed.
REPROBE_SECONDS = 0.3
# An instance that refused a request because its record is outdated gets no
# work for this long, within which the record is updated.
STALE_RECORD_BACKOFF_SECONDS = 2.0
# A removal that is reported within this time after a failed call to the store
# may be due to an outage. Instances write their records again within two
# seconds, and a watch reports that within another half second.
LAPSE_SUSPICION_SECONDS = 2.5

Listener = typing.Callable[[], None]
AgeSource = typing.Callable[[], float]
TimeSource = typing.Callable[[], float | None]
LapseListener = typing.Callable[[chain.Upstream], None]
EndListener = typing.Callable[[chain.Upstream], None]


@attrs.define
class _UpstreamState:
    """An upstream instance and its health; all times are event loop times.

    :ivar version: version of its record in the store.
    :ivar unusable_until: gets no work before this time.
    :ivar failures: failures since it was last healthy.
    :ivar refusals: refusals that followed soon after one another.
    :ivar is_probed: whether a probe of it may be in progress.
    :ivar has_ended: whether its process is known to have ended.
    :ivar found_lost_at: when this process found by a probe that it is lost,
        ``None`` if it did not, or if it was healthy since.
    :ivar leaving_until: it may get work until then although it is leaving.
    :ivar lapsed_until: its record was removed around an outage, and it stays
        listed until then.
    """

    upstream: chain.Upstream
    version: int = 0
    unusable_until: float = 0.0
    failures: int = 0
    refusals: int = 0
    is_probed: bool = False
    has_ended: bool = False
    found_lost_at: float | None = None
    leaving_until: float | None = None
    lapsed_until: float | None = None

    @property
    def needs_probe(self) -> bool:
        """Whether it has to answer a probe before it gets work again.

        Plain services are not probed: a call shows whether they are back.
        """
        return bool(self.failures and self.upstream.card)


class UpstreamRegistry:
    """The listed upstream instances, and which of them may get work.

    Implements ``ChangeListener`` for the mirror of the instances' records.

    :param decode: turns a stored record into an instance.
    """

    def __init__(self, decode: upstream_records.Decoder) -> None:
        self._record_reader = upstream_records.UpstreamRecordReader(decode)
        self._states: dict[str, _UpstreamState] = {}
        # Names of instances by the names of their records in the store. A
        # record keeps its name when a process starts again; the instance
        # gets another one.
        self._name_by_record: dict[str, str] = {}
        self._leaving = leaving_instances.LeavingInstances()
        self._backoffs = backoffs.Backoffs()
        self._end_listeners: list[EndListener] = []
        self._listeners: list[Listener] = []
        self._lapse_listeners: list[LapseListener] = []
        self._services: typing.Callable[[], frozenset[str]] = frozenset
        self._store_failed_at: TimeSource = lambda: None
        self._store_outage_at: TimeSource = lambda: None
        self._get_age: AgeSource = lambda: 0.0

    def set_age_source(self, age: AgeSource) -> None:
        """Set the callable that returns the age of the records in seconds.

        While changes are applied, it returns how long before them the records
        were last confirmed current.
        """
        self._get_age = age

    def set_store_outage_source(self, outage_at: TimeSource) -> None:
        """Set the callable that returns when the store was last away.

        :param outage_at: returns the event loop time at which it was last
            found to be away or restored, ``None`` for never.
        """
        self._store_outage_at = outage_at

    def set_store_failure_source(self, failed_at: TimeSource) -> None:
        """Set the callable that returns when the store last failed.

        :param failed_at: returns the event loop time, ``None`` for never.
        """
        self._store_failed_at = failed_at

    def set_services_source(
        self, services: typing.Callable[[], frozenset[str]]
    ) -> None:
        """Set the callable that returns the names of the services.

        :param services: returns an empty set while no config is known.
        """
        self._services = services

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener`` after changes of records, failures or leaving.

        It is not called when a pause or backoff begins or ends, nor when a
        lapsed instance is dropped.
        """
        self._listeners.append(listener)

    def subscribe_lapses(self, listener: LapseListener) -> None:
        """Call ``listener`` for each engine whose record lapsed.

        That is, it was removed around an outage of the store. The engine gets
        no new work until :meth:`note_healthy` is called for it or its record
        is written again. It is dropped after a time unless its record is
        written again.
        """
        self._lapse_listeners.append(listener)

    def subscribe_ends(self, listener: EndListener) -> None:
        """Call ``listener`` for each instance whose process has ended."""
        self._end_listeners.append(listener)

    def find(self, name: str) -> chain.Upstream | None:
        """Return the instance of this name, if it is known."""
        state = self._states.get(name)
        return state.upstream if state else None

    def find_by_address(self, address: str) -> chain.Upstream | None:
        """Return the instance that was listed last at an address, if any."""
        newest = None
        for state in self._states.values():
            if str(state.upstream.address) == address:
                newest = state.upstream
        return newest

    def listed(self, service: str) -> tuple[chain.Upstream, ...]:
        """Return all listed instances of a service."""
        self._drop_lapsed()
        return tuple(
            state.upstream
            for state in self._states.values()
            if state.upstream.service == service
        )

    def usable(self, service: str) -> tuple[chain.Upstream, ...]:
        """Return the instances that may get new work."""
        now = anyio.current_time()
        return tuple(
            state.upstream
            for state in self._healthy(service, now)
            if not self._backoffs.is_active(state.upstream.name)
        )

    def usable_or_backing_off(
        self, service: str
    ) -> tuple[chain.Upstream, ...]:
        """Return the instances of :meth:`usable` and those in backoff."""
        now = anyio.current_time()
        return tuple(state.upstream for state in self._healthy(service, now))

    def _healthy(
        self, service: str, now: float
    ) -> typing.Iterator[_UpstreamState]:
        self._drop_lapsed()
        for state in self._states.values():
            if (
                state.upstream.service == service
                and not state.upstream.is_leaving
                and state.unusable_until <= now
                and not state.needs_probe
            ):
                yield state

    def usable_while_leaving(self, service: str) -> tuple[chain.Upstream, ...]:
        """Return the leaving instances that may still get work."""
        now = anyio.current_time()
        return tuple(
            state.upstream
            for state in self._states.values()
            if state.upstream.service == service
            and state.upstream.is_leaving
            and state.leaving_until is not None
            and now < state.leaving_until
            and not self._backoffs.is_active(state.upstream.name)
            and state.unusable_until <= now
            and not state.needs_probe
        )

    def due_for_probe(self) -> tuple[chain.Upstream, ...]:
        """Return the failed engines that are to be probed now.

        Probes find out whether an engine works again without risking a
        request. An engine is returned again after ``REPROBE_SECONDS``, unless
        :meth:`avoid` or :meth:`note_healthy` was called for it.
        """
        now = anyio.current_time()
        due = [
            state
            for state in self._states.values()
            if state.needs_probe
            and state.unusable_until <= now
            and not self._backoffs.is_active(state.upstream.name)
        ]
        for state in due:
            state.unusable_until = now + REPROBE_SECONDS
            state.is_probed = True
        return tuple(state.upstream for state in due)

    def failed(self) -> tuple[chain.Upstream, ...]:
        """Return the instances that failed and were not healthy since."""
        return tuple(
            state.upstream for state in self._states.values() if state.failures
        )

    def found_lost(self) -> tuple[str, ...]:
        """Return the engines found lost and not healthy since, latest first.

        Only those that :meth:`avoid` was told were found by a probe.
        """
        found_at_by_name = {
            state.upstream.name: state.found_lost_at
            for state in self._states.values()
            if state.needs_probe and state.found_lost_at is not None
        }
        return tuple(
            sorted(
                found_at_by_name,
                key=lambda name: found_at_by_name[name],
                reverse=True,
            )
        )

    def is_usable(self, name: str) -> bool:
        """Whether an instance may get new work."""
        state = self._states.get(name)
        return (
            state is not None
            and not state.upstream.is_leaving
            and state.unusable_until <= anyio.current_time()
            and not self._backoffs.is_active(name)
            and not state.needs_probe
        )

    def back_off(self, name: str, seconds: float) -> None:
        """Give an instance no work for as long as it requested.

        A shorter backoff does not end a longer one early.
        """
        state = self._states.get(name)
        if state is None or not self._backoffs.begin(name, seconds):
            return
        counters.COUNTERS.add("upstream.backed_off")
        logs.change(
            "upstream_backed_off",
            upstream=name,
            address=str(state.upstream.address),
            seconds=seconds,
        )

    def note_leaving(self, name: str) -> None:
        """Note that an instance announced in a response that it is leaving.

        This holds whatever its record in the store says: some instances never
        write it there, and an outdated record may arrive later.
        """
        if not self._leaving.note(name):
            return
        state = self._states.get(name)
        if state is None or state.upstream.is_leaving:
            return
        state.leaving_until = self._announced_leaving_until(name)
        state.upstream = attrs.evolve(state.upstream, is_leaving=True)
        self._log("upstream_changed", state.upstream, state.version)
        self._notify()

    def backing_off(self) -> tuple[tuple[str, float, float], ...]:
        """Return name, begin and end of each backoff that is not over.

        Times are event loop times.
        """
        return self._backoffs.active()

    def announced_leaving(self) -> tuple[tuple[str, float], ...]:
        """Return the names of instances that announced that they leave.

        Each comes with the event loop time of its announcement.
        """
        return self._leaving.items()

    def backoff_seconds_left(self, name: str) -> float:
        """Return the seconds left of an instance's backoff, 0 for none."""
        return self._backoffs.seconds_left(name)

    def claim_probe(self, name: str) -> bool:
        """Claim the one request that is allowed in a backoff period.

        :return: whether the instance may be contacted to save a stalled
            stream; always true outside a backoff period.
        """
        return self._backoffs.claim_probe(name)

    def has_ended(self, name: str) -> bool:
        """Whether an instance's process is known to have ended.

        That is, its record was removed, or nothing listens at its address. An
        instance that is leaving, is full, resets connections or does not
        answer may still execute requests that it received.
        """
        state = self._states.get(name)
        return state is None or state.has_ended

    def avoid(
        self,
        name: str,
        reason: str,
        *,
        has_ended: bool = False,
        is_found_lost: bool = False,
    ) -> None:
        """Give a failed instance no work for a time, longer at each failure.

        :param has_ended: whether its process is known to have ended.
        :param is_found_lost: whether a probe by this process showed it.
        """
        state = self._states.get(name)
        now = anyio.current_time()
        if state is None:
            return
        if is_found_lost and state.found_lost_at is None:
            state.found_lost_at = now
        if has_ended and not state.has_ended:
            # Listeners are notified even if it is avoided already.
            state.has_ended = True
            self._notify_end(state.upstream)
        is_unused = state.unusable_until > now and not state.is_probed
        # A pause after a refusal ends without a probe; a loss found meanwhile
        # must outlast it.
        if is_unused and (state.failures or not is_found_lost):
            return
        state.is_probed = False
        state.has_ended = has_ended
        state.failures += 1
        avoid_seconds = AVOID_SECONDS * 2.0 ** (state.failures - 1)
        state.unusable_until = max(
            state.unusable_until, now + min(avoid_seconds, MAX_AVOID_SECONDS)
        )
        counters.COUNTERS.add("upstream.avoided")
        logs.change(
            "upstream_avoided",
            upstream=name,
            address=str(state.upstream.address),
            reason=reason,
            seconds=state.unusable_until - now,
            failures=state.failures,
            has_ended=has_ended,
        )
        self._notify()

    def pause(self, name: str, seconds: float, reason: str) -> None:
        """Give an instance that refused a request no work for a time.

        :param seconds: time after a first refusal; doubled at each refusal
            that follows soon, up to :data:`MAX_REFUSAL_BACKOFF_SECONDS`, but
            never less than ``seconds``.
        """
        state = self._states.get(name)
        now = anyio.current_time()
        if state is None or state.unusable_until > now:
            return
        if now - state.unusable_until > REFUSAL_RESET_SECONDS:
            state.refusals = 0
        doubled_seconds = min(
            seconds * 2.0**state.refusals, MAX_REFUSAL_BACKOFF_SECONDS
        )
        state.refusals += 1
        state.unusable_until = now + max(seconds, doubled_seconds)
        logs.change(
            "upstream_paused",
            upstream=name,
            address=str(state.upstream.address),
            reason=reason,
            seconds=state.unusable_until - now,
        )

    def note_healthy(self, name: str) -> None:
        """Note that an instance works, so that it may get work again."""
        state = self._states.get(name)
        if state is None or not state.failures:
            return
        state.failures = 0
        state.has_ended = False
        state.found_lost_at = None
        state.unusable_until = 0.0
        logs.change(
            "upstream_trusted",
            upstream=name,
            address=str(state.upstream.address),
        )
        self._notify()

    def on_listed(self, objects: tuple[stores.StoredObject, ...]) -> None:
        """Apply a listing of all records.

        A store that was restored from a backup may list a leaving instance as
        it was before; it still counts as leaving.
        """
        listed_names = {stored.name for stored in objects}
        for stored in objects:
            self._apply(stored, keeps_leaving=True)
        for record_name in [
            record_name
            for record_name in self._name_by_record
            if record_name not in listed_names
        ]:
            self._apply_removal(record_name)
        self._notify()

    def on_changed(
        self,
        objects: tuple[stores.StoredObject, ...],
        removed: tuple[str, ...],
    ) -> None:
        """Apply changed and removed records."""
        for stored in objects:
            self._apply(stored)
        for record_name in removed:
            self._apply_removal(record_name)
        self._notify()

    def _apply(
        self, stored: stores.StoredObject, *, keeps_leaving: bool = False
    ) -> None:
        state = self._states.get(self._name_by_record.get(stored.name, ""))
        previous = state.upstream if state is not None else None
        upstream = self._record_reader.read(stored, previous)
        if upstream is None:
            # The record is malformed. Its previous version may be outdated,
            # so treat it as removed.
            self._apply_missing_record(stored.name)
            return
        if state is not None and upstream.incarnation.is_before(
            state.upstream.incarnation
        ):
            # An outdated record that arrived late.
            return
        if state is not None and state.upstream.name != upstream.name:
            self._drop(state.upstream, "upstream_started_again")
            state = None
        if state is not None and keeps_leaving and state.upstream.is_leaving:
            upstream = attrs.evolve(upstream, is_leaving=True)
        if upstream.name in self._leaving:
            upstream = attrs.evolve(upstream, is_leaving=True)
        if state is None:
            self._name_by_record[stored.name] = upstream.name
            new_state = _UpstreamState(upstream, stored.version)
            new_state.leaving_until = self._announced_leaving_until(
                upstream.name
            )
            self._states[upstream.name] = new_state
            self._log("upstream_listed", upstream, stored.version)
            self._drop_replaced(upstream)
            return
        self._update(state, upstream, stored.version)

    def _update(
        self, state: _UpstreamState, upstream: chain.Upstream, version: int
    ) -> None:
        state.version = version
        if state.lapsed_until is not None:
            state.lapsed_until = None
            state.found_lost_at = None
            state.failures = 0
            state.unusable_until = 0.0
        if state.upstream == upstream:
            return
        if upstream.is_leaving and not state.upstream.is_leaving:
            now = anyio.current_time()
            state.leaving_until = leaving_instances.leaving_until(
                now, now - self._get_age()
            )
        state.upstream = upstream
        self._log("upstream_changed", upstream, version)

    def _drop_replaced(self, added: chain.Upstream) -> None:
        """Keep only the instance with the newest record at an address.

        The record of a crashed instance may stay for a while after another
        instance has taken its address, which refuses requests that are sent
        to the crashed one: otherwise 196 attempts of 70 requests are refused
        within two seconds.

        A record of a service that is not in the config replaces no instance:
        another writer may have damaged it.

        :param added: an instance at this address.
        """
        services = self._services()
        if services and added.service not in services:
            return
        at_address = [
            (state.version, name)
            for name, state in self._states.items()
            if state.upstream.address == added.address
        ]
        for _, name in sorted(at_address)[:-1]:
            self._drop(self._states[name].upstream, "upstream_replaced")

    def _drop(self, upstream: chain.Upstream, event: str) -> None:
        """Forget an instance, and notify listeners that it has ended."""
        state = self._states.pop(upstream.name)
        self._backoffs.forget(upstream.name)
        record_name = upstream.incarnation.id
        if self._name_by_record.get(record_name) == upstream.name:
            del self._name_by_record[record_name]
        self._log(event, upstream, 0)
        if not state.has_ended:
            self._notify_end(upstream)

    def _announced_leaving_until(self, name: str) -> float | None:
        """Return until when an instance that announced it may get work."""
        announced_at = self._leaving.since(name)
        if announced_at is None:
            return None
        return leaving_instances.leaving_until(announced_at, announced_at)

    def _notify_end(self, upstream: chain.Upstream) -> None:
        for listener in self._end_listeners:
            listener(upstream)

    def _apply_removal(self, record_name: str) -> None:
        self._record_reader.forget(record_name)
        self._apply_missing_record(record_name)

    def _apply_missing_record(self, record_name: str) -> None:
        """Handle a record that was removed or is malformed."""
        state = self._states.get(self._name_by_record.get(record_name, ""))
        if state is None:
            return
        failed_at = self._store_failed_at()
        now = anyio.current_time()
        if failed_at is not None and now - failed_at < LAPSE_SUSPICION_SECONDS:
            if state.lapsed_until is None:
                self._lapse(state, now)
            return
        self._drop(state.upstream, "upstream_gone")

    def _lapse(self, state: _UpstreamState, now: float) -> None:
        """Keep an instance whose record may be missing due to an outage.

        An engine gets no work until it has answered a probe or its record is
        written again. An instance is dropped after a time unless its record
        is written again, see ``leaving_instances.lapsed_until``.
        """
        state.lapsed_until = leaving_instances.lapsed_until(
            now, now - self._get_age(), self._store_outage_at()
        )
        if state.lapsed_until <= now:
            self._drop(state.upstream, "upstream_gone")
            return
        self._log("upstream_lapsed", state.upstream, 0)
        if not state.upstream.card:
            # A plain service is called over a new connection. If its process
            # has ended, the call is not sent and can go to another instance.
            return
        state.failures += 1
        state.unusable_until = state.lapsed_until
        for listener in self._lapse_listeners:
            listener(state.upstream)

    def _drop_lapsed(self) -> None:
        now = anyio.current_time()
        for state in list(self._states.values()):
            lapsed_until = state.lapsed_until
            if lapsed_until is not None and now > lapsed_until:
                self._drop(state.upstream, "upstream_gone")

    def _log(self, event: str, upstream: chain.Upstream, version: int) -> None:
        layers = upstream.layers
        logs.change(
            event,
            upstream=upstream.name,
            service=upstream.service,
            address=str(upstream.address),
            is_leaving=upstream.is_leaving,
            layers=f"{layers.first}-{layers.end}" if layers else "",
            version=version,
            copy_age=round(self._get_age(), 3),
        )

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
