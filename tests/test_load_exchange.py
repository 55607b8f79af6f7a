# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Exchange of the entries' loads."""

import random
import typing

import anyio
import anyio.abc
import attrs
import pytest

from crowdeck import chain
from crowdeck.cmd import commands
from crowdeck.cmd import http_server
from crowdeck import errors
from crowdeck import http
from crowdeck import instance as instances
from crowdeck.membership import load_collector
from crowdeck.membership import load_coverage
from crowdeck.membership import load_exchange
from crowdeck.membership import load_http
from crowdeck.membership import load_messages as messages
from crowdeck.membership import peer_http
from crowdeck.membership import peer_selection
from crowdeck.membership import roster as rosters
from crowdeck.routing import fleet_load as fleet_loads
from crowdeck.routing import heads
from crowdeck.routing import hops
from crowdeck.routing import usage as usages
from crowdeck.standin import store as standin_store
from crowdeck.state import store_health
from tests import test_hops
from tests import virtual

ADDRESS = instances.Address("10.0.0.1", 7340)
ENGINE = "engine-0"


def load(sequences: int, seconds: float = 0.0) -> usages.EntryLoad:
    engine = usages.EngineLoad(
        sequences, sequences * 10.0, 0, seconds, 1.0 if seconds else 0.0
    )
    return usages.EntryLoad(
        1, {ENGINE: engine}, {("model", 0): sequences}, {("a", "b"): 5.0}
    )


@attrs.define(eq=False)
class Entry:
    """One entry of a fleet; holds as many requests as ``sequences`` says.

    :ivar told: reports that it was told.
    """

    name: str
    zone: str
    fleet: "Fleet"
    sequences: int = 1
    client: load_exchange.LoadClient | None = None
    roster: rosters.Roster | None = None
    is_enabled: bool = True
    is_silent: bool = False
    is_roster_unknown: bool = False
    is_down: bool = False
    told: int = 0
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    exchange: load_exchange.LoadExchange = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.exchange = load_exchange.LoadExchange(
            self.name,
            self.zone,
            self.roster or self,
            self.client or self,
            lambda: load(self.sequences),
            lambda: self.is_enabled,
        )

    @property
    def entry_count(self) -> int:
        return (
            0
            if self.is_roster_unknown
            else sum(map(len, self.fleet.zones.values()))
        )

    @property
    def zone_count(self) -> int:
        return len(self.ranking())

    def ranking(self) -> tuple[peer_selection.Peer, ...]:
        return self.fleet.ranking(self.zone)

    def rankings_of_other_zones(
        self,
    ) -> dict[str, tuple[peer_selection.Peer, ...]]:
        zones = self.fleet.zones.keys() - {self.zone}
        return {zone: self.fleet.ranking(zone) for zone in sorted(zones)}

    async def tell_load(
        self, peer: peer_selection.Peer, report: messages.LoadReport
    ) -> messages.LoadAnswer:
        await anyio.sleep(0.001)
        other = self.fleet.entries.get(peer.name)
        if other is None or other.is_down or self.is_down:
            raise errors.CrowdeckError(errors.Code.UPSTREAM_LOST, "refused")
        if other.is_silent or self.fleet.is_cut(self.name, other.name):
            await anyio.sleep_forever()
        other.told += 1
        content = messages.encode_report(report)
        answer = other.exchange.respond(messages.decode_report(content))
        return messages.decode_answer(messages.encode_answer(answer))

    @property
    def heard(self) -> int:
        """Requests of others at the engine; -1 while it is not current."""
        if not self.exchange.is_current:
            return -1
        engines = self.exchange.others.engines
        return engines[ENGINE].sequences if ENGINE in engines else 0


class Fleet:
    """Entries of several zones, in virtual time.

    :param zones: for each zone the registered names, preferred ones first.
    """

    def __init__(self, **zones: list[str]) -> None:
        self.zones = zones
        self.entries: dict[str, Entry] = {}
        self.addresses: dict[str, instances.Address] = {}
        self.cut_off: frozenset[str] = frozenset()
        self._tasks: anyio.abc.TaskGroup | None = None

    def is_cut(self, name: str, other: str) -> bool:
        return (name in self.cut_off) != (other in self.cut_off)

    def ranking(self, zone: str) -> tuple[peer_selection.Peer, ...]:
        return tuple(
            peer_selection.Peer(name, self.addresses.get(name, ADDRESS))
            for name in self.zones[zone]
        )

    def start(self, name: str) -> Entry:
        """Start an entry, or replace it by a new process."""
        assert self._tasks is not None
        if name in self.entries:
            self.entries[name].scope.cancel()
        zone = next(zone for zone, all in self.zones.items() if name in all)
        entry = self.entries[name] = Entry(name, zone, self)
        self._tasks.start_soon(self._run, entry)
        return entry

    async def _run(self, entry: Entry) -> None:
        with entry.scope:
            await entry.exchange.run()

    async def run(self, work: "Work", absent: typing.Container[str]) -> None:
        async with anyio.create_task_group() as self._tasks:
            for names in self.zones.values():
                for name in names:
                    if name not in absent:
                        self.start(name)
            await anyio.sleep(3.0)
            await work(self)
            self._tasks.cancel_scope.cancel()

    def heard(self) -> list[int]:
        return [
            entry.heard for entry in self.entries.values() if not entry.is_down
        ]


Work = typing.Callable[[Fleet], typing.Awaitable[None]]


def run(
    work: Work, absent: typing.Container[str] = (), **zones: list[str]
) -> None:
    zones = zones or {"x": names("x", 4), "y": names("y", 4)}
    virtual.run(Fleet(**zones).run, work, absent)


def names(prefix: str, count: int) -> list[str]:
    return [f"{prefix}{number}" for number in range(count)]


class TestExchange:
    """What entries know of one another."""

    def test_everyone_knows_the_sum_of_the_others(self) -> None:
        async def work(fleet: Fleet) -> None:
            fleet.entries["y3"].sequences = 100
            await anyio.sleep(1.0)
            assert fleet.heard() == [106] * 7 + [7]
            others = fleet.entries["x1"].exchange.others
            assert others.entry_count == 7
            assert others.waiting == {("model", 0): 106}
            assert others.zone_link_tokens == {("a", "b"): 35.0}

        run(work)

    def test_messages_grow_slowly_with_the_zone(self) -> None:
        async def work(fleet: Fleet) -> None:
            for entry in fleet.entries.values():
                entry.told = 0
            await anyio.sleep(5.0)
            assert fleet.heard() == [129] * 130
            told = [entry.told for entry in fleet.entries.values()]
            assert told[0] / 5.0 < 400
            assert not any(told[1:])

        run(work, x=names("x", 130))

    def test_sums_of_large_zones_are_computed_less_often(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        combine = fleet_loads.combine
        sizes: list[int] = []

        def count(
            loads: typing.Iterable[usages.EntryLoad],
        ) -> usages.EntryLoad:
            sizes.append(len(loads := list(loads)))
            return combine(loads)

        async def body() -> None:
            names = [f"e{number}" for number in range(130)]
            collector = load_collector.LoadCollector("e0", "a")
            for number in range(3):
                for name in names:
                    report = messages.LoadReport(
                        name, "a", "run", number + 1, load(1)
                    )
                    collector.accept(report)
                    others = collector.others_than(name)
                    await anyio.sleep(load_exchange.MAX_INTERVAL_SECONDS / 130)
            assert others.entry_count == 129
            assert others.engines[ENGINE].sequences == 129

        monkeypatch.setattr(fleet_loads, "combine", count)
        virtual.run(body)
        assert sum(size >= 129 for size in sizes) <= 5

    def test_nothing_passes_while_it_is_off(self) -> None:
        async def work(fleet: Fleet) -> None:
            for entry in fleet.entries.values():
                entry.is_enabled = False
            await anyio.sleep(0.5)
            told = [entry.told for entry in fleet.entries.values()]
            await anyio.sleep(5.0)
            assert told == [entry.told for entry in fleet.entries.values()]
            assert fleet.heard() == [-1] * 8
            report = messages.LoadReport("x1", "x", "run", 1, load(1))
            with pytest.raises(errors.CrowdeckError):
                fleet.entries["x0"].exchange.respond(report)

        run(work)

    def test_entry_alone_knows_all(self) -> None:
        async def work(fleet: Fleet) -> None:
            assert fleet.heard() == [0]
            # Before it has listed the others it knows nothing.
            fleet.entries["x0"].is_roster_unknown = True
            await anyio.sleep(1.5)
            assert fleet.heard() == [-1]

        run(work, x=["x0"])

    def test_entries_that_were_shut_down_are_passed_over(self) -> None:
        # Most registered entries no longer run, the preferred ones first.
        gone = names("x", 30)

        async def work(fleet: Fleet) -> None:
            await anyio.sleep(5.0)
            for _ in range(100):
                assert fleet.heard() == [3] * 4
                await anyio.sleep(0.17)

        run(work, gone, x=[*gone, "z0", "z1", "z2"], y=["z3"])


class TestFaults:
    """What entries know while others fail."""

    @pytest.mark.parametrize("fault", ["is_down", "is_silent"])
    def test_collector_is_replaced_within_a_second(self, fault: str) -> None:
        async def work(fleet: Fleet) -> None:
            setattr(fleet.entries["x0"], fault, True)
            await anyio.sleep(1.0)
            served = list(fleet.entries.values())[1:]
            assert all(entry.heard >= 6 for entry in served)
            await anyio.sleep(1.5)
            # One that only does not answer still tells its load.
            heard = 6 if fault == "is_down" else 7
            assert [entry.heard for entry in served] == [heard] * 7
            setattr(fleet.entries["x0"], fault, False)
            await anyio.sleep(8.0)
            assert fleet.heard() == [7] * 8
            told = fleet.entries["x1"].told
            await anyio.sleep(1.0)
            assert fleet.entries["x1"].told == told

        run(work)

    def test_zone_is_cut_off(self) -> None:
        # Each half knows that it no longer knows most of the others.
        async def work(fleet: Fleet) -> None:
            fleet.cut_off = frozenset(fleet.zones["y"][:3])
            await anyio.sleep(3.0)
            heard = [fleet.entries[name].heard for name in ("x0", "x3", "y3")]
            assert heard == [4, 4, 4]
            assert fleet.entries["y0"].heard == -1
            assert not fleet.entries["y0"].exchange.others.engines
            await anyio.sleep(load_coverage.MEMORY_SECONDS)
            # Those that are left may be all that there are.
            assert fleet.entries["y0"].heard == 2
            fleet.cut_off = frozenset()
            await anyio.sleep(10.0)
            assert fleet.heard() == [7] * 8

        run(work)

    def test_entry_cut_off_from_all_relies_on_nothing(self) -> None:
        async def work(fleet: Fleet) -> None:
            fleet.cut_off = frozenset(("y3",))
            await anyio.sleep(load_coverage.MEMORY_SECONDS + 3.0)
            assert fleet.entries["y3"].heard == -1
            assert fleet.entries["y0"].heard == 6

        run(work)

    def test_ended_and_restarted_entries_count_once(self) -> None:
        async def work(fleet: Fleet) -> None:
            fleet.entries["x2"].sequences = 50
            fleet.entries["y2"].sequences = 100
            await anyio.sleep(1.0)
            assert fleet.entries["y1"].heard == 155
            fleet.start("x2")
            fleet.entries["y2"].is_down = True
            await anyio.sleep(0.8)
            assert fleet.entries["x1"].heard in (6, 106)
            await anyio.sleep(1.7)
            assert fleet.heard() == [6] * 7

        run(work)

    def test_joining_entry_knows_all_at_once(self) -> None:
        async def work(fleet: Fleet) -> None:
            joined = fleet.start("y3")
            await anyio.sleep(0.45)
            assert joined.heard == 7
            await anyio.sleep(1.0)
            assert fleet.heard() == [7] * 8

        run(work, ["y3"])

    def test_late_reports_do_not_count(self) -> None:
        async def work(fleet: Fleet) -> None:
            collector = fleet.entries["x0"].exchange
            for run_id, number, sequences in (
                ("new", 5, 10),
                ("new", 4, 700),
                ("newer", 1, 20),
                ("new", 6, 700),
            ):
                collector.respond(
                    messages.LoadReport(
                        "guest", "x", run_id, number, load(sequences)
                    )
                )
            await anyio.sleep(0.5)
            assert fleet.entries["x1"].heard == 27
            with pytest.raises(errors.CrowdeckError, match="share an address"):
                collector.respond(
                    messages.LoadReport("guest", "y", "r", 1, load(1))
                )

        run(work)


class TestStoreDown:
    """The exchange beside a store that is down."""

    def test_nothing_changes(self) -> None:
        async def body() -> None:
            store = standin_store.StandinStore()
            fleet = Fleet(x=["x0", "x1"], y=["y0"])
            for name in ("x0", "x1", "y0"):
                record = rosters.EntryRecord(name[0], ADDRESS)
                roster = rosters.Roster(store, name, record)
                await roster.register()
                fleet.entries[name] = Entry(
                    name, name[0], fleet, roster=roster
                )
            listing = await store.list(rosters.KIND)
            async with anyio.create_task_group() as tasks:
                for entry in fleet.entries.values():
                    assert entry.roster is not None
                    entry.roster.on_listed(listing.objects)
                    tasks.start_soon(entry.exchange.run)
                await anyio.sleep(1.0)
                calls = store.calls.total()
                store.is_down = True
                await anyio.sleep(10.0)
                assert fleet.heard() == [2, 2, 2]
                assert store.calls.total() == calls
                tasks.cancel_scope.cancel()

        virtual.run(body)


class TestMessages:
    """What a message has to be like."""

    def test_nonsense_is_refused(self) -> None:
        report = messages.LoadReport("x1", "x", "run", 1, load(1, 0.5))
        content = messages.encode_report(report)
        assert messages.decode_report(content) == report
        for old, new in (
            (b'"entries":1', b'"entries":2'),
            (b'"entries":1', b'"entries":true'),
            (b"[1,10.0,0,0.5,1.0]", b"[1,-10.0,0,0.5,1.0]"),
            (b"[1,10.0,0,0.5,1.0]", b"[1,10.0,0,null,1.0]"),
            (b"[1,10.0,0,0.5,1.0]", b"[1,1e300,0,0.5,1.0]"),
            (b"[1,10.0,0,0.5,1.0]", b"[1.5,10.0,0,0.5,1.0]"),
            (b"[1,10.0,0,0.5,1.0]", b"[1,10.0]"),
            (b'"engines":{', b'"engine":{'),
            (b'[["model",0,1]]', b"7"),
            (content, b"[]"),
            (content, b'{"sender":'),
        ):
            assert old in content
            with pytest.raises(errors.CrowdeckError, match="finite") as raised:
                messages.decode_report(content.replace(old, new))
            assert raised.value.code is errors.Code.MALFORMED

    def test_are_exchanged_over_http(self) -> None:
        anyio.run(self._exchange_over_http)

    async def _exchange_over_http(self) -> None:
        fleet = Fleet(x=["x0", "x1"], y=["y0"])
        client = http.HttpClient("")
        selector = peer_selection.PeerSelector(
            "",
            lambda: (),
            peer_http.HttpPeerClient(client),
            store_health.StoreHealth(),
        )
        peers = load_http.HttpLoadClient(client)
        async with anyio.create_task_group() as tasks:
            for name in ("x0", "x1", "y0"):
                entry = Entry(name, name[0], fleet, client=peers)
                fleet.entries[name] = entry
                app = peer_http.PeerApp({}, selector)
                app.add_app("/load", load_http.LoadApp(entry.exchange))
                port = await tasks.start(
                    http_server.serve_http, app, "127.0.0.1", 0
                )
                fleet.addresses[name] = instances.Address("127.0.0.1", port)
            for entry in fleet.entries.values():
                tasks.start_soon(entry.exchange.run)
            with anyio.fail_after(10.0):
                while fleet.heard() != [2, 2, 2]:
                    await anyio.sleep(0.05)
            report = messages.LoadReport("x1", "x", "r", 1, usages.EntryLoad())
            with pytest.raises(errors.CrowdeckError, match="status 400"):
                await peers.tell_load(fleet.ranking("x")[0], report)
            tasks.cancel_scope.cancel()
        await client.close()


@attrs.define
class Others:
    """A fixed view of the other entries."""

    load: usages.EntryLoad
    is_current: bool = True

    @property
    def others(self) -> usages.EntryLoad:
        return self.load if self.is_current else usages.EntryLoad()


class TestOperator:
    """What an operator sees of it."""

    def test_status_names_entries_that_do_not_know(self) -> None:
        async def work(fleet: Fleet) -> None:
            fleet.cut_off = frozenset(("y3",))
            await anyio.sleep(3.0)
            rows = [
                {
                    "instance": entry.name,
                    "state": "up",
                    "load": entry.exchange.as_fields(),
                }
                for entry in fleet.entries.values()
            ]
            lines = commands._load_exchange_lines(rows)
            assert lines[1].startswith("7 of 8 entries know")
            first = lines[2].splitlines()[1]
            assert first.split()[:4] == ["y3", "outdated", "0", "7"]
            assert not commands._load_exchange_lines([{"instance": "e"}])

        run(work)


class TestUse:
    """How the others' load counts beside an entry's own."""

    def make(
        self, others: usages.EntryLoad
    ) -> tuple[usages.InFlight, list[chain.Upstream], Others]:
        fleet = test_hops.engines([(0, 40, "a"), (40, 40, "b")])
        rng = random.Random()
        # Others began nothing since they told their load.
        rng.random = lambda: 0.0  # type: ignore[method-assign]
        usage = usages.InFlight(rng)
        usage.set_entry_count(4)
        path = hops.HopPlanner(usage).plan(fleet, test_hops.REQUEST)
        assert path is not None
        usage.add_request(path, test_hops.REQUEST.tokens)
        view = Others(others)
        usage.set_fleet_load(view)
        return usage, fleet, view

    def test_counts_are_added_while_current(self) -> None:
        async def body() -> None:
            engine = usages.EngineLoad(6, 1000.0)
            usage, fleet, view = self.make(usages.EntryLoad(3))
            profile = test_hops.PROFILE
            single = usage.known_cache_utilization(fleet[1], profile)
            view.load = usages.EntryLoad(3, {fleet[1].name: engine})
            token_layers = profile.token_capacity("large", 40) * 40
            assert usage.known_cache_utilization(
                fleet[1], profile
            ) == pytest.approx(single + 1000.0 / token_layers)
            # Paths are compared by estimates, which differ among entries.
            assert usage.sequences(fleet[1]) == 4.0
            assert usage.cache_utilization(fleet[1], profile) == 4 * single
            profile = attrs.evolve(
                test_hops.PROFILE, zone_link_bytes_per_second=1e9
            )
            link = usage.zone_link_utilization("b", "a", profile)
            view.load = usages.EntryLoad(
                1, {}, {}, {("a", "b"): 9 * test_hops.REQUEST.tokens}
            )
            assert usage.zone_link_utilization(
                "b", "a", profile
            ) == pytest.approx(10 * link)
            view.is_current = False
            assert not usage.knows_load

        virtual.run(body)

    def test_fewer_entries_choose_an_engine_as_it_fills(self) -> None:
        async def body() -> None:
            fleet = test_hops.engines([(0, 40, "a"), (40, 40, "a")])
            capacity = test_hops.PROFILE.token_capacity("large", 40)
            token_layers = (capacity - test_hops.REQUEST.tokens) * 40
            chosen = [
                sum(
                    self.is_chosen(fleet, fill * token_layers, seed)
                    for seed in range(200)
                )
                for fill in (0.95, 1.05, 1.1, 1.2)
            ]
            assert chosen[0] == 200 and chosen[3] == 0
            assert 200 > chosen[1] > chosen[2] > 0

        virtual.run(body)

    def is_chosen(
        self, fleet: list[chain.Upstream], token_layers: float, seed: int
    ) -> bool:
        engine = usages.EngineLoad(20, token_layers)
        usage = usages.InFlight(random.Random(seed))
        usage.set_fleet_load(
            Others(usages.EntryLoad(25, {fleet[0].name: engine}))
        )
        planner = hops.HopPlanner(usage)
        return planner.plan(fleet, test_hops.REQUEST) is not None

    def test_own_load_has_first_events_and_paths(self) -> None:
        async def body() -> None:
            usage, fleet, _ = self.make(usages.EntryLoad())
            records = heads.HeadRecords()
            records.note_begun(fleet[0].name, "a")
            records.note_begun(fleet[0].name, "b")
            await anyio.sleep(0.2)
            records.note_first_event(fleet[0].name, "a")
            own = usage.own_load(
                records.recent_first_events(), {("model", 1): 2}
            )
            tokens = int(test_hops.REQUEST.tokens)
            held = usages.EngineLoad(1, 40 * tokens)
            begun = attrs.evolve(
                held,
                starting=1,
                first_event_seconds=0.2,
                first_event_count=1.0,
            )
            assert own.engines == {fleet[0].name: begun, fleet[1].name: held}
            assert own.zone_link_tokens == {("a", "b"): tokens}
            # The one that still waits takes longer by now.
            await anyio.sleep(0.8)
            found = records.recent_first_events()[fleet[0].name]
            assert 0.5 < found.seconds < 0.75
            await anyio.sleep(20.0)
            records.note_ended(fleet[0].name, "b")
            assert not records.recent_first_events()

        virtual.run(body)

    def test_heads_that_are_slow_for_others_are_left_out(self) -> None:
        async def body() -> None:
            usage, fleet, view = self.make(usages.EntryLoad())
            engine = usages.EngineLoad(
                first_event_seconds=0.8, first_event_count=3.0
            )
            view.load = usages.EntryLoad(1, {fleet[0].name: engine})
            request = attrs.evolve(
                test_hops.REQUEST, max_first_event_seconds=0.5
            )
            planner = hops.HopPlanner(usage)
            assert planner.plan(fleet, request) is None
            view.load = usages.EntryLoad(1)
            assert planner.plan(fleet, request) is not None

        virtual.run(body)

    def test_heads_without_a_free_slot_are_left_out(self) -> None:
        async def body() -> None:
            usage, fleet, view = self.make(usages.EntryLoad())
            slots = test_hops.REQUEST.profile.slots
            planner = hops.HopPlanner(usage)
            # One request is this entry's own.
            held = usages.EngineLoad(sequences=slots - 2)
            view.load = usages.EntryLoad(1, {fleet[0].name: held})
            assert planner.plan(fleet, test_hops.REQUEST) is not None
            bounded = attrs.evolve(
                test_hops.REQUEST, max_cache_utilization=0.9
            )
            assert planner.plan(fleet, bounded) is None
            held = attrs.evolve(held, sequences=2 * slots)
            view.load = usages.EntryLoad(1, {fleet[0].name: held})
            assert planner.plan(fleet, test_hops.REQUEST) is None

        virtual.run(body)

    def test_means_are_weighted_by_their_streams(self) -> None:
        total = usages.EngineLoad(1, 1.0, 1, 0.2, 3.0).plus(
            usages.EngineLoad(2, 2.0, 0, 1.0, 1.0)
        )
        assert total == usages.EngineLoad(3, 3.0, 1, 0.4, 4.0)
        assert total.minus(total) == usages.EngineLoad()
