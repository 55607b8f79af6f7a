# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Entries of one zone whose connections can fall silent, in virtual time.

A silent connection gives no answer and no error. The call that waits on it
fails with its own timeout; later calls use other connections.
"""

import pathlib
import typing

import anyio
import orjson

from crowdeck.cmd import store_view
from crowdeck import errors
from crowdeck.membership import peer_http
from crowdeck.membership import peer_selection
from crowdeck.membership import roster as rosters
from crowdeck.platform import names
from crowdeck.platform import store as platform_store
from crowdeck.settings import config as configs
from crowdeck.standin import store as standin_store
from crowdeck.state import objects as stores
from tests import test_fleet_process
from tests import test_platform_formats

TEMPLATE = pathlib.Path(__file__).parent.parent / "deploy" / "entry.ini"
SERVICE = "records"
KINDS = (names.UPSTREAM_KIND, names.CONFIG_KIND, rosters.KIND)
Value = typing.TypeVar("Value")


class Connections:
    """The connections of one process on which watches wait, by kind."""

    def __init__(self) -> None:
        self._waiting: list[tuple[str, anyio.Event]] = []

    def silence(self, kind: str = "") -> int:
        """Silence the connections on which watches wait now.

        :param kind: only those of watches of this kind.
        :returns: how many were silenced.
        """
        found = [
            is_silent
            for waiting_kind, is_silent in self._waiting
            if kind in ("", waiting_kind)
        ]
        for is_silent in found:
            is_silent.set()
        return len(found)

    async def call(
        self,
        kind: str,
        timeout: float,
        function: typing.Callable[[], typing.Awaitable[Value]],
        error: errors.CrowdeckError,
    ) -> Value:
        """Call a function on a connection.

        :param timeout: seconds after which a call without answer fails.
        :param error: raised then.
        """
        ends_at = anyio.current_time() + timeout
        is_silent = anyio.Event()
        waiting = (kind, is_silent)
        self._waiting.append(waiting)
        results: list[Value] = []
        failures: list[errors.CrowdeckError] = []
        try:
            async with anyio.create_task_group() as tasks:

                async def run() -> None:
                    try:
                        results.append(await function())
                    except errors.CrowdeckError as failure:
                        failures.append(failure)
                    tasks.cancel_scope.cancel()

                tasks.start_soon(run)
                await is_silent.wait()
                tasks.cancel_scope.cancel()
        finally:
            self._waiting.remove(waiting)
        if is_silent.is_set():
            await anyio.sleep_until(ends_at)
            raise error
        if failures:
            raise failures[0]
        return results[0]


class EntryStore:
    """One entry's access to the store.

    :ivar is_cut: calls fail after their timeout, without an answer.
    """

    def __init__(self, store: standin_store.StandinStore) -> None:
        self._store = store
        self.connections = Connections()
        self.is_cut = False

    @property
    def epoch(self) -> int | None:
        return self._store.epoch

    async def watch(
        self, kind: str, after: stores.Position, wait: float
    ) -> stores.Changes:
        timeout = wait + platform_store.WATCH_SLACK_SECONDS
        await self._fail_if_cut(timeout)
        return await self.connections.call(
            kind,
            timeout,
            lambda: self._store.watch(kind, after, wait),
            _store_lost(),
        )

    async def list(self, kind: str) -> stores.Changes:
        await self._fail_if_cut(platform_store.CALL_TIMEOUT_SECONDS)
        return await self._store.list(kind)

    async def get(
        self, kind: str, name: str, *, allow_stale: bool = False
    ) -> stores.StoredObject | None:
        await self._fail_if_cut(platform_store.CALL_TIMEOUT_SECONDS)
        return await self._store.get(kind, name)

    async def put(
        self, kind: str, name: str, value: bytes, expected: int
    ) -> int:
        await self._fail_if_cut(platform_store.CALL_TIMEOUT_SECONDS)
        return await self._store.put(kind, name, value, expected)

    async def _fail_if_cut(self, timeout: float) -> None:
        if self.is_cut:
            await anyio.sleep(timeout)
            raise _store_lost()


class Peers:
    """One entry's access to its peers; implements ``PeerClient``."""

    def __init__(self, system: "SilentSystem") -> None:
        self._system = system
        self.connections = Connections()

    async def watch(
        self,
        peer: peer_selection.Peer,
        kind: str,
        after: stores.Position,
        wait_seconds: float,
    ) -> stores.PeerChanges:
        view = self._system.views[int(peer.name.removeprefix("entry-"))]
        mirrors_by_kind = {mirror.kind: mirror for mirror in view.mirrors}

        async def answer() -> stores.PeerChanges:
            await anyio.sleep(0.001)
            view.peer_selector.note_peer_request()
            return await mirrors_by_kind[kind].changes_since(
                after, wait_seconds
            )

        return await self.connections.call(
            kind,
            wait_seconds + peer_http.RESPONSE_SLACK_SECONDS,
            answer,
            errors.CrowdeckError(errors.Code.UPSTREAM_LOST, "no response"),
        )


class SilentSystem:
    """Entries of one zone, the store, and an instance of a plain service.

    Entry 0 reads the store for the others.

    :param card: accelerator of the instance, for an engine.
    :param delay: seconds that each answer of the store takes.
    """

    def __init__(
        self, entry_count: int, card: str = "", delay: float = 0.004
    ) -> None:
        self.store = standin_store.StandinStore(delay=delay)
        self.card = card
        self.stores = [EntryStore(self.store) for _ in range(entry_count)]
        self.peers = [Peers(self) for _ in range(entry_count)]
        self.views = [
            store_view.StoreView(store, _config(number, entry_count), peers)
            for number, (store, peers) in enumerate(
                zip(self.stores, self.peers, strict=True)
            )
        ]
        self.write_config(test_platform_formats.CONFIG)
        self.write_instance("only", names.STATE_READY)

    def write_config(self, body: dict[str, typing.Any]) -> None:
        """Write a version of the config."""
        self.store.write(
            names.CONFIG_KIND, names.CONFIG_NAME, orjson.dumps(body)
        )

    def write_instance(self, name: str, state: str) -> None:
        """Write an instance's record."""
        body = {
            **test_platform_formats.UPSTREAM_BODY,
            names.SERVICE: SERVICE,
            names.STATE: state,
            names.ACCELERATOR_TYPE: self.card,
        }
        self.store.write(names.UPSTREAM_KIND, name, orjson.dumps(body))

    def remove_instance(self, name: str) -> None:
        """Remove an instance's record."""
        self.store.remove(names.UPSTREAM_KIND, name)

    def users(self, name: str = "only") -> list[int]:
        """Return the numbers of the entries that may use an instance."""
        return [
            number
            for number, view in enumerate(self.views)
            if any(
                upstream.name == name
                for upstream in (
                    *view.registry.usable(SERVICE),
                    *view.registry.usable_while_leaving(SERVICE),
                )
            )
        ]

    async def run(self) -> None:
        """Run all entries until cancelled."""
        async with anyio.create_task_group() as tasks:
            for view in self.views:
                for background_task in view.background_tasks:
                    tasks.start_soon(background_task)

    async def last_use_seconds(self, limit_seconds: float = 15.0) -> float:
        """Return the seconds until no entry may use the instance any more."""
        began = anyio.current_time()
        last = 0.0
        while anyio.current_time() - began < limit_seconds:
            if self.users():
                last = anyio.current_time() - began
            await anyio.sleep(0.01)
        return last


def _config(number: int, entry_count: int) -> configs.Config:
    # The entry with the widest link reads the store.
    text = test_fleet_process.render_template(
        TEMPLATE.read_text(),
        {
            **test_fleet_process.SETTINGS,
            "node_name": f"entry-{number}",
            "platform.address": "127.0.0.1:1",
            "internal_port_range.0": str(7340 + number),
            "listen_addresses.frontend": "127.0.0.1:2",
            "listen_addresses.readiness": "127.0.0.1:3",
            "limits.link_mbps": str(float(entry_count - number)),
        },
    )
    return configs.parse(text)


def _store_lost() -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.STORE_DOWN, "the store did not answer"
    )
