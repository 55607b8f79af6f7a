# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Connections to the store and to peers that fall silent for good."""

import typing

import anyio
import anyio.abc
import orjson
import pytest

from crowdeck import errors
from crowdeck import http
from crowdeck import instance as instances
from crowdeck.membership import peer_http
from crowdeck.membership import peer_selection
from crowdeck.platform import names
from crowdeck.platform import store as platform_store
from crowdeck.standin import store as standin_store
from crowdeck.state import mirror as mirrors
from crowdeck.state import objects as stores
from crowdeck.state import store_health
from tests import silent_system
from tests import virtual
from tests import zone_system

# No call may reach an instance two seconds after the store took the write
# that it leaves. A tenth of a second is left for calls on their way.
LAST_USE_SECONDS = 1.9
SETTLE_SECONDS = 12.0
# Moments of the silence within the cycle of watches.
OFFSETS = (0.0, 0.3, 0.7, 1.1)
# Time from the silence to the write that the instance leaves.
WRITE_DELAYS = (0.05, 0.8, 3.5)

Work = typing.Callable[[silent_system.SilentSystem], typing.Awaitable[None]]
RecordingWork = typing.Callable[
    [standin_store.StandinStore, store_health.StoreHealth],
    typing.Awaitable[None],
]


def run_scenario(
    entry_count: int, work: Work, card: str = "", delay: float = 0.004
) -> None:
    async def body() -> None:
        system = silent_system.SilentSystem(entry_count, card, delay)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(system.run)
            await anyio.sleep(SETTLE_SECONDS)
            assert system.users() == list(range(entry_count))
            await work(system)
            tasks.cancel_scope.cancel()

    virtual.run(body)


def leave(system: silent_system.SilentSystem, how: str) -> None:
    if how == "draining":
        system.write_instance("only", names.STATE_DRAINING)
    else:
        system.remove_instance("only")


@pytest.mark.parametrize("how", ["draining", "removed"])
@pytest.mark.parametrize("delay", WRITE_DELAYS)
@pytest.mark.parametrize("offset", OFFSETS)
class TestWatchOfUpstreams:
    """An instance that leaves gets no work from two seconds after that."""

    def test_silent_watch_of_the_store(
        self, offset: float, delay: float, how: str
    ) -> None:
        # Guards against a watch that waits on a silent connection for longer
        # than an instance may get work after it left.
        async def work(system: silent_system.SilentSystem) -> None:
            await anyio.sleep(offset)
            connections = system.stores[0].connections
            assert connections.silence(names.UPSTREAM_KIND) == 1
            await anyio.sleep(delay)
            leave(system, how)
            assert await system.last_use_seconds() < LAST_USE_SECONDS

        run_scenario(1, work)

    @pytest.mark.parametrize("silent", ["reader", "peers", "both"])
    def test_silent_watch_of_an_entry_that_asks_a_peer(
        self, silent: str, offset: float, delay: float, how: str
    ) -> None:
        # Guards against the same where the copy is that of a peer.
        async def work(system: silent_system.SilentSystem) -> None:
            await anyio.sleep(offset)
            if silent in ("reader", "both"):
                system.stores[0].connections.silence(names.UPSTREAM_KIND)
            if silent in ("peers", "both"):
                for peers in system.peers[1:]:
                    peers.connections.silence(names.UPSTREAM_KIND)
            await anyio.sleep(delay)
            leave(system, how)
            assert await system.last_use_seconds() < LAST_USE_SECONDS

        run_scenario(3, work)

    def test_all_connections_fall_silent(
        self, offset: float, delay: float, how: str
    ) -> None:
        async def work(system: silent_system.SilentSystem) -> None:
            await anyio.sleep(offset)
            for store in system.stores:
                store.connections.silence()
            for peers in system.peers:
                peers.connections.silence()
            await anyio.sleep(delay)
            leave(system, how)
            assert await system.last_use_seconds() < LAST_USE_SECONDS

        run_scenario(3, work)


class TestSlowStore:
    """Silent connections to a store whose answers take their time."""

    @pytest.mark.parametrize("entry_count", [1, 3, 14])
    @pytest.mark.parametrize("how", ["draining", "removed"])
    @pytest.mark.parametrize("offset", OFFSETS)
    def test_leaving_instance_gets_no_work_after_two_seconds(
        self, offset: float, how: str, entry_count: int
    ) -> None:
        # Guards against a wait that leaves no time for the answer.
        async def work(system: silent_system.SilentSystem) -> None:
            await anyio.sleep(offset)
            for store in system.stores:
                store.connections.silence()
            leave(system, how)
            assert await system.last_use_seconds(4.0) < LAST_USE_SECONDS

        run_scenario(entry_count, work, delay=0.24)


class TestWaitOfWatches:
    """For how long one watch waits for a change."""

    def record_waits(
        self, linger_seconds: float, work: RecordingWork
    ) -> list[float]:
        """Return the waits of the watches that were sent during ``work``."""
        waits: list[float] = []

        class RecordingStore(standin_store.StandinStore):
            async def watch(
                self, kind: str, after: stores.Position, wait: float
            ) -> stores.Changes:
                waits.append(wait)
                return await super().watch(kind, after, wait)

        async def body() -> None:
            store = RecordingStore()
            health = store_health.StoreHealth()
            mirror = mirrors.Mirror(
                store,
                "k",
                zone_system.RecordingListener(),
                1.0,
                lambda: linger_seconds,
                health,
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(mirror.run)
                await anyio.sleep(0.1)
                await work(store, health)
                tasks.cancel_scope.cancel()

        virtual.run(body)
        return waits

    def test_includes_the_time_for_which_changes_were_gathered(self) -> None:
        # Guards against a silent connection that is noticed later by that
        # time, which grows with the number of entries.
        async def work(
            store: standin_store.StandinStore, health: store_health.StoreHealth
        ) -> None:
            store.write("k", "a", b"1")
            await anyio.sleep(0.7)

        waits = self.record_waits(0.6, work)
        assert waits == [pytest.approx(1.0), pytest.approx(0.4)]

    def test_is_none_for_a_probe_of_a_lost_store(self) -> None:
        # Guards against a store that counts as lost until the probe, which
        # succeeds, has waited for a change.
        async def work(
            store: standin_store.StandinStore, health: store_health.StoreHealth
        ) -> None:
            store.write("k", "a", b"1")
            await anyio.sleep(0.1)
            # Another caller fails while this mirror does not call the store.
            await health.record_failure("no answer", was_probe=False)
            await anyio.sleep(0.3)
            assert not health.is_lost

        waits = self.record_waits(0.3, work)
        assert waits == [pytest.approx(1.0), 0.0, pytest.approx(1.0)]


class TestConnectionsAfterAFailure:
    """Connections of an HTTP client, some of which are silent."""

    def test_next_call_of_the_store_uses_a_new_connection(self) -> None:
        # Guards against a call after a failure that waits on another idle
        # connection that fell silent with the first one.
        async def body() -> None:
            server = SilencingServer()
            async with anyio.create_task_group() as tasks:
                port = await tasks.start(server.run)
                client = http.HttpClient(f"http://127.0.0.1:{port}")
                store = platform_store.HttpStore(client)
                async with anyio.create_task_group() as calls:
                    for _ in range(3):
                        calls.start_soon(store.list, "k")
                assert server.connection_count == 3
                server.silence()
                position = stores.Position(1)
                with pytest.raises(errors.CrowdeckError):
                    await store.watch("k", position, 0.0)
                assert (await store.watch("k", position, 0.0)).version == 1
                assert server.connection_count == 4
                await client.close()
                tasks.cancel_scope.cancel()

        anyio.run(body)

    def test_next_question_to_a_peer_uses_a_new_connection(self) -> None:
        # Guards against the same between entries.
        async def body() -> None:
            server = SilencingServer()
            async with anyio.create_task_group() as tasks:
                port = await tasks.start(server.run)
                client = http.HttpClient("")
                peers = peer_http.HttpPeerClient(client)
                peer = peer_selection.Peer(
                    "a", instances.Address("127.0.0.1", port)
                )
                position = stores.Position(1)

                async def ask() -> None:
                    await peers.watch(peer, "k", position, 0.0)

                async with anyio.create_task_group() as calls:
                    for _ in range(3):
                        calls.start_soon(ask)
                server.silence()
                with pytest.raises(errors.CrowdeckError):
                    await ask()
                await ask()
                assert server.connection_count == 4
                await client.close()
                tasks.cancel_scope.cancel()

        anyio.run(body)


class SilencingServer:
    """Answers like the store and like a peer; connections can fall silent."""

    def __init__(self) -> None:
        self.connection_count = 0
        self._silenced_count = 0
        self._arrived = 0

    def silence(self) -> None:
        """Silence all connections that are open now."""
        self._silenced_count = self.connection_count

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        async with await anyio.create_tcp_listener(
            local_host="127.0.0.1"
        ) as listener:
            task_status.started(
                listener.extra(anyio.abc.SocketAttribute.local_port)
            )
            await listener.serve(self._serve)

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        self.connection_count += 1
        number = self.connection_count
        body = orjson.dumps(
            {
                names.ITEMS: [],
                names.EVENTS: [],
                names.STORE_REVISION: 1,
                "version": 1,
                "age": 0.0,
                "objects": [],
                "removed": [],
            }
        )
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        async with stream:
            while True:
                try:
                    await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                if number <= self._silenced_count:
                    await anyio.sleep_forever()
                # The first requests overlap, so that each has a connection.
                self._arrived += 1
                while self._arrived < 3:
                    await anyio.sleep(0.001)
                await stream.send(head.encode() + body)


class TestOtherKinds:
    """Silent watches of what is not an instance."""

    @pytest.mark.parametrize("entry_count", [1, 3])
    @pytest.mark.parametrize(
        ("kind_number", "limit_seconds"), [(1, 2.0), (2, 3.0)]
    )
    def test_copies_are_confirmed_again_in_time(
        self, kind_number: int, limit_seconds: float, entry_count: int
    ) -> None:
        # Guards against decisions by an old config, and against requests sent
        # on although the records say that they end instances.
        kind = silent_system.KINDS[kind_number]

        async def work(system: silent_system.SilentSystem) -> None:
            assert system.stores[0].connections.silence(kind) == 1
            for peers in system.peers[1:]:
                assert peers.connections.silence(kind) == 1
            oldest = 0.0
            for _ in range(1_500):
                oldest = max(
                    oldest,
                    *(
                        mirror.age()
                        for view in system.views
                        for mirror in view.mirrors
                        if mirror.kind == kind
                    ),
                    0.0,
                )
                await anyio.sleep(0.01)
            assert oldest < limit_seconds

        run_scenario(entry_count, work)


class TestLostReader:
    """The entry that reads the store for others is cut from it."""

    @pytest.mark.parametrize("card", ["", "t4"])
    @pytest.mark.parametrize("delay", [0.02, 0.1, 0.8, 1.2])
    def test_removed_instance_gets_no_work_from_the_others(
        self, delay: float, card: str
    ) -> None:
        # Guards against a removal that counts as a lapse around an outage of
        # the store, because a peer has lost the store.
        async def work(system: silent_system.SilentSystem) -> None:
            system.stores[0].is_cut = True
            system.stores[0].connections.silence()
            await anyio.sleep(delay)
            system.remove_instance("only")
            for view in system.views:
                view.registry.subscribe_lapses(
                    lambda upstream, view=view: view.registry.note_healthy(
                        upstream.name
                    )
                )
            assert await system.last_use_seconds() < LAST_USE_SECONDS

        run_scenario(2, work, card)

    def test_records_that_lapse_in_an_outage_are_kept_for_a_while(
        self,
    ) -> None:
        # Guards against dropping all instances when the store returns without
        # their records, which they write again within two seconds.
        async def work(system: silent_system.SilentSystem) -> None:
            system.store.is_down = True
            await anyio.sleep(4.0)
            system.remove_instance("only")
            system.store.is_down = False
            await anyio.sleep(1.7)
            assert system.users() == [0, 1]
            system.write_instance("only", names.STATE_READY)
            await anyio.sleep(1.0)
            assert system.users() == [0, 1]

        run_scenario(2, work)
