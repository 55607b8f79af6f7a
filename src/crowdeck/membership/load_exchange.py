# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Exchange of the entries' loads.

Each entry tells its load to the collector of its availability zone, the first
entry of the zone's ranking that answers, and learns the load of all others.
Collectors of different zones tell one another their zones' sums. There is no
election: an entry is a collector for as long as others tell it their load.
"""

import secrets
import typing

import anyio
import attrs

from crowdeck import errors
from crowdeck.membership import load_collector
from crowdeck.membership import load_coverage
from crowdeck.membership import load_messages as messages
from crowdeck.membership import load_peers
from crowdeck.membership import peer_selection
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.routing import usage as usages

# Time between two reports of an entry; longer in large zones, so that their
# collector gets a few hundred messages a second at most.
MIN_INTERVAL_SECONDS = 0.1
MAX_INTERVAL_SECONDS = 0.4
INTERVAL_SECONDS_PER_ENTRY = 1.0 / 300.0
# An entry that has not answered a report after this is passed over. Two of
# them and an interval are shorter than the time for which an answer is relied
# on.
ANSWER_SECONDS = 0.35
# The others' load is relied on for this long after they were asked for it.
VIEW_TTL_SECONDS = 1.0
# While nothing is exchanged, it is checked this often whether that changed.
DISABLED_CHECK_SECONDS = 1.0


class LoadClient(typing.Protocol):
    """Tells loads to other entries."""

    async def tell_load(
        self, peer: peer_selection.Peer, report: messages.LoadReport
    ) -> messages.LoadAnswer:
        """Tell a load and return the answer.

        :raises CrowdeckError: if there is none that can be used.
        """
        ...


class Membership(typing.Protocol):
    """The entries of the fleet; those that were shut down may be listed."""

    @property
    def entry_count(self) -> int:
        """Number of all entries, this one included; 0 while unknown."""
        ...

    @property
    def zone_count(self) -> int:
        """Number of entries in this entry's availability zone."""
        ...

    def ranking(self) -> tuple[peer_selection.Peer, ...]:
        """Return the entries of this zone, preferred collectors first."""
        ...

    def rankings_of_other_zones(
        self,
    ) -> dict[str, tuple[peer_selection.Peer, ...]]:
        """Return the entries of each other zone, ranked likewise."""
        ...


OwnLoad = typing.Callable[[], usages.EntryLoad]
EnabledSource = typing.Callable[[], bool]


@attrs.frozen
class _View:
    """What is known of the other entries.

    :ivar asked_at: loop time at which it was asked for.
    :ivar is_enough: whether it covers enough entries.
    """

    load: usages.EntryLoad = usages.EntryLoad()
    asked_at: float = float("-inf")
    is_enough: bool = False


class LoadExchange:
    """Tells others this entry's load; implements ``FleetLoad``.

    :param name: this entry's name.
    :param zone: its availability zone.
    :param own_load: returns what this entry has in progress.
    :param is_enabled: returns whether loads are to be exchanged now.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        membership: Membership,
        client: LoadClient,
        own_load: OwnLoad,
        is_enabled: EnabledSource,
    ) -> None:
        self._name = name
        self._zone = zone
        self._membership = membership
        self._client = client
        self._own_load = own_load
        self._is_enabled = is_enabled
        self._run = secrets.token_hex(8)
        self._report_count = 0
        self._collected = load_collector.LoadCollector(name, zone)
        self._peers = load_peers.ResponsivePeers()
        self._coverage = load_coverage.LoadCoverage()
        self._view = _View()
        self._collector = ""
        self._was_current = False

    @property
    def is_current(self) -> bool:
        """Whether the others were heard recently enough to rely on it."""
        view = self._view
        return (
            view.is_enough
            and anyio.current_time() - view.asked_at <= VIEW_TTL_SECONDS
        )

    @property
    def others(self) -> usages.EntryLoad:
        """The load of all other entries; empty while it is not current."""
        return self._view.load if self.is_current else usages.EntryLoad()

    @property
    def _age_seconds(self) -> float:
        return anyio.current_time() - self._view.asked_at

    @property
    def _interval_seconds(self) -> float:
        seconds = INTERVAL_SECONDS_PER_ENTRY * self._membership.zone_count
        return min(MAX_INTERVAL_SECONDS, max(MIN_INTERVAL_SECONDS, seconds))

    def as_fields(self) -> dict[str, typing.Any]:
        """Return its state for operators, ready for JSON."""
        has_view = self._view.asked_at != float("-inf")
        return {
            "is_enabled": self._is_enabled(),
            "is_current": self.is_current,
            "collector": self._collector,
            "entries": self._view.load.entry_count,
            "expected": self._coverage.expected,
            "age_seconds": round(self._age_seconds, 3) if has_view else None,
        }

    async def run(self) -> None:
        """Exchange loads until cancelled."""
        while True:
            began_at = anyio.current_time()
            if not self._is_enabled():
                self._stop()
                await anyio.sleep(DISABLED_CHECK_SECONDS)
                continue
            is_told = await self._exchange()
            self._note_state()
            if is_told:
                await anyio.sleep_until(began_at + self._interval_seconds)

    def respond(self, report: messages.LoadReport) -> messages.LoadAnswer:
        """Take another entry's report and return the answer.

        :raises CrowdeckError: ``LEAVING`` while nothing is exchanged,
            ``BAD_REQUEST`` if the report is not for this entry.
        """
        if not self._is_enabled():
            raise errors.CrowdeckError(
                errors.Code.LEAVING,
                "this entry exchanges no load now; its settings and config "
                "decide",
            )
        self._collected.accept(report)
        self._peers.note_alive(report.sender)
        if report.is_zone_sum:
            load = self._collected.zone_sum()
        else:
            load = self._collected.others_than(report.sender)
        return messages.LoadAnswer(load, self._collector)

    async def _exchange(self) -> bool:
        """Tell the load once; return false if the collector was lost."""
        own = self._report(self._own_load())
        self._collected.accept(own)
        ranking = self._membership.ranking()
        names = [peer.name for peer in ranking]
        rank = names.index(self._name) if self._name in names else 0
        peers = self._peers.choose(ranking[:rank])
        has_collector = any(map(self._peers.has_answered, peers))
        is_collecting = not has_collector or self._collected.has_members
        if not has_collector and not self._collected.has_members:
            # Others may hold another entry for the first, as after a restart.
            peers += self._peers.choose(ranking[rank + 1 :])
        heard: list[_View] = []
        async with anyio.create_task_group() as tasks:
            for peer in peers:
                tasks.start_soon(self._tell_member_load, peer, own, heard)
            if is_collecting:
                self._tell_other_zones(tasks)
        if is_collecting:
            load = self._collected.others_than(self._name)
            heard.append(_View(load, anyio.current_time()))
        self._apply(heard)
        self._choose_collector(ranking[:rank])
        return not has_collector or any(map(self._peers.has_answered, peers))

    def _tell_other_zones(self, tasks: anyio.abc.TaskGroup) -> None:
        zone_report = self._report(self._collected.zone_sum(), True)
        rankings = self._membership.rankings_of_other_zones()
        for zone, ranking in rankings.items():
            for peer in self._peers.choose(ranking):
                tasks.start_soon(self._tell_zone_sum, zone, peer, zone_report)

    async def _tell_member_load(
        self,
        peer: peer_selection.Peer,
        report: messages.LoadReport,
        heard: list[_View],
    ) -> None:
        asked_at = anyio.current_time()
        answer = await self._tell(peer, report)
        if answer is not None:
            heard.append(_View(answer.load, asked_at))
            self._peers.note_alive(answer.collector)

    async def _tell_zone_sum(
        self,
        zone: str,
        peer: peer_selection.Peer,
        report: messages.LoadReport,
    ) -> None:
        answer = await self._tell(peer, report)
        if answer is not None:
            self._collected.accept_answer(zone, peer.name, answer.load)

    async def _tell(
        self, peer: peer_selection.Peer, report: messages.LoadReport
    ) -> messages.LoadAnswer | None:
        """Tell a load; return ``None`` if it is not answered in time."""
        counters.COUNTERS.add("load.sent")
        reason = f"no answer after {ANSWER_SECONDS:g} s"
        with anyio.move_on_after(ANSWER_SECONDS):
            try:
                answer = await self._client.tell_load(peer, report)
            except errors.CrowdeckError as error:
                reason = error.message
            else:
                self._peers.note_answer(peer)
                return answer
        counters.COUNTERS.add("load.failed")
        self._peers.note_failure(peer, reason)
        return None

    def _apply(self, heard: list[_View]) -> None:
        """Use the sum that covers most entries.

        One that covers too few does not replace one that is still current: a
        new collector is told the loads one by one.
        """
        if not heard:
            return
        view = max(heard, key=lambda view: view.load.entry_count)
        entry_count = view.load.entry_count
        self._coverage.note(entry_count)
        is_enough = self._coverage.is_enough(
            entry_count, self._membership.entry_count
        )
        if is_enough or not self.is_current:
            self._view = attrs.evolve(view, is_enough=is_enough)

    def _report(
        self, load: usages.EntryLoad, is_zone_sum: bool = False
    ) -> messages.LoadReport:
        self._report_count += 1
        return messages.LoadReport(
            self._name,
            self._zone,
            self._run,
            self._report_count,
            load,
            is_zone_sum,
        )

    def _choose_collector(
        self, preferred: tuple[peer_selection.Peer, ...]
    ) -> None:
        """Note which entry collects for this one.

        :param preferred: the entries that come before this one.
        """
        answered = [
            peer.name for peer in preferred if self._peers.has_answered(peer)
        ]
        collector = next(iter(answered), self._name)
        if collector == self._collector:
            return
        logs.change(
            "load_collector_changed",
            zone=self._zone,
            collector=collector,
            before=self._collector,
        )
        self._collector = collector

    def _stop(self) -> None:
        """Forget what was told before the exchange was switched off."""
        self._collected.clear()
        self._view = _View()
        self._note_state()

    def _note_state(self) -> None:
        load = self._view.load
        is_current = self.is_current
        if self._is_enabled():
            counters.COUNTERS.set_gauge("load.entries", load.entry_count)
            counters.COUNTERS.set_gauge(
                "load.age_seconds", min(self._age_seconds, 1e6)
            )
        if is_current == self._was_current:
            return
        self._was_current = is_current
        logs.change(
            "others_load_current" if is_current else "others_load_outdated",
            entries=load.entry_count,
            expected=self._coverage.expected,
            collector=self._collector,
        )
