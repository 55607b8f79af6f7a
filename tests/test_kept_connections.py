# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of which connections to upstreams are kept, and for which requests."""

import functools
import typing

import anyio
import attrs
import pytest

from crowdeck import chain
from crowdeck import errors
from crowdeck import kept_connections
from crowdeck.relay import interfaces
from crowdeck.relay import probes
from crowdeck import route as routes
from crowdeck.routing import connection_policy
from tests import fleet_system
from tests import virtual

Reason = connection_policy.CloseReason
ENGINE = fleet_system.upstream("e-1")
CONNECTION_LIMIT = 1088
LONG_SECONDS = 100.0


def in_virtual_time(
    test: typing.Callable[..., typing.Awaitable[None]],
) -> typing.Callable[..., None]:
    @functools.wraps(test)
    def run(*arguments: typing.Any, **parameters: typing.Any) -> None:
        virtual.run(functools.partial(test, *arguments, **parameters))

    return run


@attrs.define
class Instances:
    """Instances of one service, and which of them may get work."""

    unusable: set[str] = attrs.field(factory=set)

    def find(self, name: str) -> chain.Upstream | None:
        return attrs.evolve(ENGINE, name=name)

    def is_usable(self, name: str) -> bool:
        return name not in self.unusable


@attrs.define(eq=False)
class Connection:
    """An idle connection with a given fault."""

    fault: connection_policy.CloseReason | None = None
    is_closed: bool = False

    def idle_fault(self) -> connection_policy.CloseReason | None:
        return self.fault

    def close(self) -> None:
        self.is_closed = True


class System:
    """A policy with the connections that are kept by it."""

    def __init__(
        self, entry_count: int = 8, connection_limit: int = CONNECTION_LIMIT
    ) -> None:
        self.instances = Instances()
        self.entry_count = entry_count
        service = routes.Service(fleet_system.MODEL, connection_limit)
        self.policy = connection_policy.ConnectionPolicy(
            self.instances, lambda: (service,), lambda: self.entry_count
        )
        self.kept: kept_connections.KeptConnections[Connection] = (
            kept_connections.KeptConnections(self.policy)
        )

    def keep(self, count: int = 1, name: str = "e-1") -> list[Connection]:
        added = [Connection() for _ in range(count)]
        for connection in added:
            self.kept.keep(name, connection, 4.0)
        return added


def completion(**changes: typing.Any) -> connection_policy.Completion:
    sound = connection_policy.Completion(
        200, True, True, False, True, False, True, False
    )
    return attrs.evolve(sound, **changes)


class TestPolicy:
    """Which requests use kept connections, and what is kept."""

    @pytest.mark.parametrize(
        ("changes", "reason"),
        [
            ({}, None),
            ({"is_whole": False}, Reason.UNFINISHED),
            ({"has_own_id": False}, Reason.NO_ID),
            ({"has_foreign_id": True}, Reason.FOREIGN_ANSWER),
            ({"is_framed": False}, Reason.UNFRAMED),
            ({"requests_close": True}, Reason.REQUESTED),
            ({"was_sent_at_once": False}, Reason.SLOWLY_SENT),
            ({"has_surplus": True}, Reason.SURPLUS),
            ({"status": 503}, Reason.STATUS),
        ],
    )
    def test_any_doubt_closes(
        self,
        changes: dict[str, typing.Any],
        reason: connection_policy.CloseReason | None,
    ) -> None:
        found = System().policy.reason_to_close(completion(**changes))
        assert found is reason

    @in_virtual_time
    @pytest.mark.parametrize(
        ("entries", "limit"), [(8, 34), (390, 0), (272, 1), (0, 0)]
    )
    async def test_entries_together_keep_a_share_of_the_limit(
        self, entries: int, limit: int
    ) -> None:
        system = System(entries)
        assert system.policy.idle_limit("e-1") == limit
        system.keep(limit + 3)
        assert system.kept.count == limit

    @in_virtual_time
    async def test_idle_time_is_well_below_that_of_the_upstream(self) -> None:
        policy = System().policy
        assert policy.idle_seconds("e-1", 2.0) == 1.0
        assert policy.idle_seconds("e-1", 600.0) == 10.0
        assert policy.idle_seconds("e-1", None) == 4.0

    @in_virtual_time
    async def test_silently_dropped_connections_are_kept_shorter(self) -> None:
        policy = System().policy
        policy.note_reused("e-1", 0.8, has_failed=True)
        assert policy.idle_seconds("e-3", None) == 4.0
        policy.note_reused("e-2", 0.8, has_failed=True)
        policy.note_reused("e-1", 3.0, has_failed=True)
        assert policy.idle_seconds("e-3", None) == 0.4
        await anyio.sleep(LONG_SECONDS)
        assert policy.idle_seconds("e-3", None) == 4.0

    @in_virtual_time
    async def test_few_or_quick_failures_are_not_due_to_the_rest(self) -> None:
        policy = System().policy
        for _ in range(20):
            policy.note_reused("e-1", 0.05, has_failed=True)
            for number in range(20):
                policy.note_reused("e-1", 1.0, has_failed=not number)
        assert policy.idle_seconds("e-1", None) == 4.0


class TestKeptConnections:
    """Idle connections, and when they are closed."""

    @in_virtual_time
    async def test_the_newest_that_is_sound_is_taken(self) -> None:
        system = System()
        first, second, third = system.keep(3)
        third.fault = Reason.CLOSED_BY_UPSTREAM
        taken = system.kept.take("e-1", LONG_SECONDS)
        assert taken is not None and taken.connection is second
        assert third.is_closed and not first.is_closed
        await anyio.sleep(1.5)
        assert system.kept.take("e-1", 1.0) is None
        assert not first.is_closed
        await anyio.sleep(3.0)
        assert system.kept.take("e-1", LONG_SECONDS) is None
        assert first.is_closed

    @in_virtual_time
    async def test_surplus_bytes_close_all_of_the_instance_for_a_time(
        self,
    ) -> None:
        system = System()
        kept = system.keep(3)
        other = system.keep(1, "e-2")[0]
        kept[-1].fault = Reason.SURPLUS
        assert system.kept.take("e-1", LONG_SECONDS) is None
        assert all(connection.is_closed for connection in kept)
        assert not other.is_closed
        assert system.keep()[0].is_closed
        await anyio.sleep(LONG_SECONDS)
        assert not system.keep()[0].is_closed

    @in_virtual_time
    async def test_a_failure_closes_the_others_of_the_instance(self) -> None:
        system = System()
        kept = system.keep(2)
        system.kept.discard("e-1", Connection(), Reason.FAILED)
        assert all(connection.is_closed for connection in kept)

    @in_virtual_time
    async def test_unusable_and_ended_instances_keep_none(self) -> None:
        system = System()
        kept = [system.keep(1, name)[0] for name in ("e-1", "e-2", "e-3")]
        system.instances.unusable.add("e-1")
        system.kept.close_excess()
        system.kept.note_ended(attrs.evolve(ENGINE, name="e-2"))
        assert [one.is_closed for one in kept] == [True, True, False]
        system.instances.unusable.add("e-3")
        assert system.kept.take("e-3", LONG_SECONDS) is None
        assert system.kept.count == 0

    @in_virtual_time
    async def test_entries_that_join_reduce_what_is_kept(self) -> None:
        system = System()
        kept = system.keep(4)
        system.entry_count = 136
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(system.kept.run)
            await anyio.sleep(1.0)
            tasks.cancel_scope.cancel()
        open_count = sum(not connection.is_closed for connection in kept)
        assert open_count == system.kept.count == 2

    @in_virtual_time
    async def test_total_is_bounded(self) -> None:
        system = System(1)
        oldest = system.keep(1, "e-0")[0]
        for number in range(1, 4):
            system.keep(200, f"e-{number}")
        assert oldest.is_closed
        assert system.kept.count == kept_connections.MAX_KEPT_CONNECTIONS


class TestProbe:
    """Probes over a kept connection that fails."""

    @in_virtual_time
    @pytest.mark.parametrize("failures", [1, 2])
    async def test_failed_kept_connection_is_no_loss(
        self, failures: int
    ) -> None:
        calls: list[float] = []

        class Engine:
            async def report(self, upstream: object) -> str:
                calls.append(anyio.current_time())
                await anyio.sleep(0.03)
                if len(calls) <= failures:
                    raise errors.KeptConnectionFailed("reset")
                return "report"

        client = typing.cast(interfaces.Upstreams, Engine())
        probe = await probes.Prober(client, lambda _: True).probe(ENGINE)
        assert not probe.is_unreachable
        assert (probe.report is None) == (failures == 2)
        assert len(calls) == 2
