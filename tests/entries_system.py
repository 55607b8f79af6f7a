# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Several entries with one fleet and one store, in virtual time."""

import collections
import typing

import anyio
import anyio.abc
import attrs

from crowdeck import chain
from crowdeck.membership import roster as rosters
from crowdeck.relay import request as requests
from crowdeck import route as routes
from crowdeck.standin import chain_fleet
from crowdeck.standin import store as standin_store
from crowdeck.state import mirror as mirrors
from tests import fleet_system
from tests import virtual
from tests import zone_system

# Delay after which an instance that ended is started again.
RESTART_SECONDS = 2.0
POLL_INTERVAL_SECONDS = 0.05
RECORDS_WAIT_SECONDS = 10.0
STREAM = routes.RepeatPolicy.STREAM
REPEATABLE = routes.RepeatPolicy.IDEMPOTENT


@attrs.frozen
class Outcome:
    """The result of a caller's request, and how long it took."""

    caller: fleet_system.Caller
    request: requests.CallerRequest
    sent_at: float
    seconds: float

    @property
    def was_served(self) -> bool:
        """Whether the caller got a complete answer."""
        return self.caller.error is None and self.caller.is_complete


class Entries:
    """Entries, their engines, and the restart of engines that ended.

    With ``keeps_ids`` an instance that ended is restarted with its id.

    :param count: number of entries at the start.
    :param copies_per_zone: copies of the model in each availability zone.
    :param instances_per_copy: number of instances that hold a copy together.
    :param are_registered: whether the store has the records of the entries at
        the start, as written by earlier processes.
    """

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        count: int,
        copies_per_zone: int,
        instances_per_copy: int = 2,
        *,
        are_registered: bool = True,
    ) -> None:
        self.fleet = chain_fleet.ChainFleet()
        self.store = standin_store.StandinStore()
        self.outcomes: list[Outcome] = []
        self.keeps_ids = False
        self._tasks = tasks
        self._entries: list[fleet_system.FleetSystem] = []
        self._scopes: list[anyio.CancelScope] = []
        self._connections: dict[str, zone_system.StoreConnection] = {}
        self._listed: dict[str, chain.Upstream] = {}
        self._restart_count = 0
        self._add_fleet(copies_per_zone, instances_per_copy)
        for _ in range(count):
            entry = self.start()
            if are_registered:
                record = rosters.EntryRecord(entry.context.zone)
                self.store.write(
                    rosters.KIND, entry.name, rosters.encode(record)
                )

    def __getitem__(self, number: int) -> fleet_system.FleetSystem:
        """Return an entry by its number, modulo their count."""
        return self._entries[number % len(self._entries)]

    def start(self) -> fleet_system.FleetSystem:
        """Start another entry, which knows all listed instances."""
        name = f"entry-{len(self._entries)}"
        now = anyio.current_time()
        # Entries started at time 0 count as having always run.
        began = now if now else float("-inf")
        entry = fleet_system.FleetSystem(self.fleet, name, began)
        entry.install(entry.config)
        for listed in self._listed.values():
            entry.list_instance(listed)
        self._entries.append(entry)
        self._scopes.append(self._begin(entry))
        return entry

    def restart(self, number: int) -> None:
        """Replace an entry by a new process that has no state."""
        entry = self._entries[number]
        self._scopes[number].cancel()
        new_entry = fleet_system.FleetSystem(
            self.fleet, entry.name, anyio.current_time()
        )
        new_entry.install(new_entry.config)
        for listed in self._listed.values():
            new_entry.list_instance(listed)
        self._entries[number] = new_entry
        self._scopes[number] = self._begin(new_entry)

    def cut_off(self, number: int) -> None:
        """Cut an entry's connection to the store."""
        self._connections[self._entries[number].name].is_cut = True

    async def wait_until_listed(self) -> None:
        """Wait until each entry has listed the others."""
        while not all(
            entry.context.membership.entry_count for entry in self._entries
        ):
            await anyio.sleep(0.001)

    async def wait_until_registered(self) -> None:
        """Wait until the record of each entry is in the store."""
        never = float("inf")
        while any(
            entry.context.membership.registered_at == never
            for entry in self._entries
        ):
            await anyio.sleep(0.001)

    def crash_busiest(self, count: int) -> None:
        """End the busiest instances; they are started again later."""
        now = anyio.current_time()
        running = [target for target in self.fleet.upstreams if target.answers]
        busy = collections.Counter(
            run.upstream
            for run in self.fleet.runs
            if now - run.started_at < 1.0
        )
        running.sort(key=lambda target: -busy[target.listed.name])
        for target in running[:count]:
            target.is_dead = True
            crash = chain_fleet.EngineCrash(
                target, target.listed.name, b"", now
            )
            self.fleet.crashes.append(crash)

    def list_all_as_leaving(self) -> None:
        """List every engine as leaving."""
        for listed in list(self._listed.values()):
            if listed.card:
                self._list_instance(attrs.evolve(listed, is_leaving=True))

    def start_request(
        self,
        number: int,
        repeat: routes.RepeatPolicy,
        body: bytes,
        **changes: typing.Any,
    ) -> None:
        """Send a request to an entry; its outcome is added to ``outcomes``.

        :param changes: fields of the request that differ from the defaults.
        """
        request = self[number].request(repeat, body=body, **changes)
        self._tasks.start_soon(self._ask, self[number], request)

    async def send_repeatedly(
        self,
        seconds: float,
        body: bytes,
        pause_seconds: float,
        repeat: routes.RepeatPolicy = STREAM,
    ) -> None:
        """Send the same request repeatedly, to one entry after another.

        Each time the entry also receives a request of another caller.
        """
        until = anyio.current_time() + seconds
        number = 0
        while anyio.current_time() < until:
            self.start_request(number, repeat, body)
            self.start_request(number, STREAM, b"beside-%d" % number)
            number += 1
            await anyio.sleep(pause_seconds)

    async def restart_crashed(self) -> None:
        """Restart instances that ended, under another name."""
        async with anyio.create_task_group() as tasks:
            known = 0
            while True:
                await anyio.sleep(POLL_INTERVAL_SECONDS)
                for crash in self.fleet.crashes[known:]:
                    tasks.start_soon(self._restart, crash.upstream)
                known = len(self.fleet.crashes)

    def outcomes_of(self, body: bytes) -> list[Outcome]:
        """Return the outcomes of a request."""
        return [
            outcome
            for outcome in self.outcomes
            if outcome.request.body == body
        ]

    def outcomes_of_others(self, since: float) -> list[Outcome]:
        """Return the outcomes of other callers' requests.

        :param since: loop time from which requests were sent.
        """
        return [
            outcome
            for outcome in self.outcomes
            if outcome.request.body.startswith(b"beside")
            and outcome.sent_at >= since
        ]

    def arrivals(self, body: bytes, since: float) -> int:
        """Return how often a request reached an upstream.

        :param since: loop time from which arrivals count.
        """
        return sum(
            1
            for run in self.fleet.runs
            if run.body == body and run.started_at >= since
        )

    def _begin(self, entry: fleet_system.FleetSystem) -> anyio.CancelScope:
        """Run an entry with its roster until the scope is cancelled."""
        connection = self._connections[entry.name] = (
            zone_system.StoreConnection(self.store)
        )
        roster = rosters.Roster(
            connection,
            entry.name,
            rosters.EntryRecord(entry.context.zone),
            entry.context.quarantine,
        )
        mirror = mirrors.Mirror(
            connection,
            rosters.KIND,
            roster,
            RECORDS_WAIT_SECONDS,
            lambda: rosters.RECORD_LINGER_SECONDS,
        )
        roster.set_age_source(mirror.age)
        entry.context.use_roster(roster)
        scope = anyio.CancelScope()
        runners = (entry.monitor.run, roster.run, mirror.run)
        self._tasks.start_soon(_run_all, scope, runners)
        return scope

    async def _ask(
        self, entry: fleet_system.FleetSystem, request: requests.CallerRequest
    ) -> None:
        sent_at = anyio.current_time()
        caller = await entry.ask(request)
        seconds = anyio.current_time() - sent_at
        self.outcomes.append(Outcome(caller, request, sent_at, seconds))

    async def _restart(self, name: str) -> None:
        await anyio.sleep(RESTART_SECONDS)
        target = self.fleet.at(self._listed[name].address)
        self._restart_count += 1
        new_run = attrs.evolve(
            target.listed, name=f"{name}.{self._restart_count}"
        )
        if self.keeps_ids:
            incarnation = chain.Incarnation(
                target.listed.incarnation.id, self._restart_count
            )
            new_run = attrs.evolve(
                new_run,
                name=incarnation.name,
                instance_id=incarnation.id,
                started_ms=incarnation.started_ms,
            )
        target.listed = new_run
        target.is_dead = False
        del self._listed[name]
        self._list_instance(new_run)

    def _add_fleet(
        self, copies_per_zone: int, instances_per_copy: int
    ) -> None:
        for zone in fleet_system.ZONES:
            for copy in range(copies_per_zone):
                self._add_copy(zone, copy, instances_per_copy)
            self._add(
                fleet_system.upstream(
                    f"plain-{zone}", zone, service=fleet_system.PLAIN, card=""
                )
            )

    def _add_copy(self, zone: str, copy: int, instances_per_copy: int) -> None:
        layers = fleet_system.PROFILE.layer_count
        for part, span in enumerate(
            chain_fleet.split_layers(layers, instances_per_copy)
        ):
            self._add(
                fleet_system.upstream(
                    f"{zone}-{copy}-{part}",
                    zone,
                    (span.first, span.end),
                    "large",
                )
            )

    def _add(self, listed: chain.Upstream) -> None:
        self.fleet.add(listed)
        self._list_instance(listed)

    def _list_instance(self, listed: chain.Upstream) -> None:
        self._listed[listed.name] = listed
        for entry in self._entries:
            entry.list_instance(listed)


async def _run_all(
    scope: anyio.CancelScope,
    runners: tuple[typing.Callable[[], typing.Awaitable[None]], ...],
) -> None:
    with scope:
        async with anyio.create_task_group() as tasks:
            for runner in runners:
                tasks.start_soon(runner)


def run_scenario(
    work: typing.Callable[[Entries], typing.Awaitable[None]],
    count: int = 3,
    copies_per_zone: int = 6,
    instances_per_copy: int = 2,
    *,
    are_registered: bool = True,
) -> None:
    """Run ``work`` with some entries and one fleet."""

    async def body() -> None:
        async with anyio.create_task_group() as tasks:
            entries = Entries(
                tasks,
                count,
                copies_per_zone,
                instances_per_copy,
                are_registered=are_registered,
            )
            tasks.start_soon(entries.restart_crashed)
            await work(entries)
            tasks.cancel_scope.cancel()

    virtual.run(body)
