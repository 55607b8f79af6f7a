# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Layers that no engine holds.

Callers must be refused at once with a realistic retry time, and operators must
see which layers are missing and what would close the gap.
"""

import pathlib
import random
import typing

import anyio
import attrs
import eliot
import pytest

from crowdeck import chain
from crowdeck.cmd import entry_status
from crowdeck import errors
from crowdeck import http
from crowdeck.observe import counters
from crowdeck.observe import losses
from crowdeck.placement import plan
from crowdeck.platform import names
from crowdeck.relay import gaps
from crowdeck.relay import retry_advice
from crowdeck import route as routes
from crowdeck import verdict as verdicts
from tests import fleet_system
from tests import test_fleet_process
from tests import test_losses
from tests import virtual

STREAM = routes.RepeatPolicy.STREAM
PROFILE = fleet_system.PROFILE
System = fleet_system.FleetSystem
Work = typing.Callable[[System], typing.Awaitable[None]]
# Allows a few iterations of the event loop, but no wait.
AT_ONCE_SECONDS = 0.01


def run_scenario(work: Work, card: str = "small", count: int = 4) -> None:
    """Run ``work`` on one copy of the model in one zone."""

    async def body() -> None:
        system = System(name="entry")
        system.install(system.config)
        size = PROFILE.layer_count // count
        for number in range(count):
            layers = (number * size, (number + 1) * size)
            system.add(
                fleet_system.upstream(f"e-{number}", "plateau", layers, card)
            )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(system.context.gaps.run, services(system))
            await anyio.sleep(1.0)
            await fleet_system.run_with(system, work)
            tasks.cancel_scope.cancel()

    virtual.run(body)


def services(system: System) -> gaps.ServicesSource:
    return lambda: system.config.services


def remove_engines(system: System, *names: str) -> None:
    """End engines and remove their store entries."""
    for name in names:
        system.fleet.at(system.listed[name].address).is_dead = True
        system.registry.on_changed((), (name,))


def lines_of(kind: str, lines: list[dict[str, typing.Any]]) -> list[str]:
    return [
        line["message_type"]
        for line in lines
        if line["message_type"] == f"crowdeck:{kind}"
    ]


@pytest.fixture
def lines() -> typing.Iterator[list[dict[str, typing.Any]]]:
    """Every line of the log."""
    found: list[dict[str, typing.Any]] = []
    eliot.add_destinations(found.append)
    # Eliot delivers earlier messages to the first destination.
    found.clear()
    yield found
    eliot.remove_destination(found.append)


async def expect_refusal(system: System) -> errors.CrowdeckError:
    """Request a stream that must be refused, and return the error."""
    caller = await system.ask(system.request(STREAM))
    assert caller.error is not None
    assert caller.error.code is errors.Code.NO_PATH
    assert caller.error.verdict is verdicts.Verdict.NOT_RUN
    return caller.error


class TestCallers:
    """Errors and retry times that callers receive."""

    # Small cards hold at most 11 layers, large ones 39.
    @pytest.mark.parametrize(("card", "count"), [("small", 8), ("large", 4)])
    def test_new_stream_is_refused_at_once(
        self, card: str, count: int
    ) -> None:
        async def work(system: System) -> None:
            remove_engines(system, "e-1")
            await anyio.sleep(0.6)
            began = anyio.current_time()
            await expect_refusal(system)
            assert anyio.current_time() - began < AT_ONCE_SECONDS

        run_scenario(work, card, count)

    def test_late_listing_is_waited_for(self) -> None:
        async def work(system: System) -> None:
            engine = system.listed["e-1"]
            remove_engines(system, "e-1")
            async with anyio.create_task_group() as tasks:
                callers: list[fleet_system.Caller] = []

                async def ask() -> None:
                    callers.append(await system.ask(system.request(STREAM)))

                tasks.start_soon(ask)
                await anyio.sleep(0.05)
                system.add(attrs.evolve(engine, name="e-9"))
            assert callers[0].error is None

        run_scenario(work, "large")

    def test_started_stream_does_not_wait_for_layers_that_cannot_be_held(
        self,
    ) -> None:
        async def work(system: System) -> None:
            system.fleet.events = 300
            caller = fleet_system.Caller()
            ended: list[float] = []

            async def ask() -> None:
                with pytest.raises(errors.CrowdeckError):
                    await system.relay.serve(system.request(STREAM), caller)
                ended.append(anyio.current_time())

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                await anyio.sleep(0.5)
                remove_engines(system, "e-0")
                system.fleet.at(
                    system.listed["e-0"].address
                ).break_stream_after = 30
                await anyio.sleep(0.8)
                broken_at = anyio.current_time()
            assert caller.has_started
            assert ended[0] - broken_at < AT_ONCE_SECONDS

        run_scenario(work, "small", 8)

    def test_retry_time_is_that_of_the_load(self) -> None:
        async def work(system: System) -> None:
            lost_at = anyio.current_time()
            remove_engines(system, "e-1")
            load = PROFILE.load_seconds * 20 / PROFILE.layer_count
            for _ in range(4):
                await anyio.sleep(1.0)
                error = await expect_refusal(system)
                assert error.retry_after is not None
                retry_at = anyio.current_time() + error.retry_after - lost_at
                earliest = load + gaps.GAP_OVERHEAD_SECONDS
                assert earliest - 0.1 <= retry_at
                # Detected up to one poll late, and spread at random.
                latest = (
                    earliest + gaps.POLL_SECONDS + retry_advice.WINDOW_SECONDS
                )
                assert retry_at <= latest + 0.1
                assert "20-40" in error.message

        run_scenario(work, "large")

    def test_retry_time_is_short_if_the_layers_cannot_be_held(self) -> None:
        async def work(system: System) -> None:
            remove_engines(system, "e-1")
            await anyio.sleep(0.6)
            error = await expect_refusal(system)
            assert error.retry_after is not None
            assert error.retry_after <= retry_advice.MAX_DELAY_SECONDS
            assert "10-20" in error.message
            assert "remaining engines can hold" in error.message

        run_scenario(work, "small", 8)

    def test_expected_time_is_dropped_once_it_is_over(self) -> None:
        async def work(system: System) -> None:
            remove_engines(system, "e-1")
            await anyio.sleep(PROFILE.load_seconds)
            (gap,) = system.context.gaps.current_gaps
            assert gap.can_be_closed
            assert gap.seconds_left is None
            error = await expect_refusal(system)
            assert error.retry_after is not None
            assert error.retry_after <= retry_advice.MAX_DELAY_SECONDS

        run_scenario(work, "large")

    def test_expected_time_follows_a_new_engine(self) -> None:
        async def work(system: System) -> None:
            engine = system.listed["e-1"]
            remove_engines(system, "e-1")
            # Longer than any load; the remaining engines cannot hold them.
            await anyio.sleep(PROFILE.load_seconds)
            assert (
                "remaining engines can hold"
                in (await expect_refusal(system)).message
            )
            listed_at = anyio.current_time()
            system.add(attrs.evolve(engine, name="e-9", layers=None))
            await anyio.sleep(0.6)
            error = await expect_refusal(system)
            assert error.retry_after is not None
            load = PROFILE.load_seconds * 10 / PROFILE.layer_count
            earliest = listed_at + load + gaps.GAP_OVERHEAD_SECONDS
            retry_at = anyio.current_time() + error.retry_after
            assert earliest - 0.1 <= retry_at
            assert retry_at <= earliest + 0.6 + retry_advice.WINDOW_SECONDS

        run_scenario(work, "small", 8)

    def test_load_that_is_nearly_done_is_waited_for(self) -> None:
        async def work(system: System) -> None:
            engine = system.listed["e-1"]
            remove_engines(system, "e-1")
            await anyio.sleep(0.6)
            (gap,) = system.context.gaps.current_gaps
            assert gap.seconds_left is not None
            await anyio.sleep(gap.seconds_left - 0.5)
            callers: list[fleet_system.Caller] = []

            async def ask() -> None:
                callers.append(await system.ask(system.request(STREAM)))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                await anyio.sleep(0.4)
                system.add(attrs.evolve(engine, name="e-9"))
            assert callers[0].error is None

        run_scenario(work, "large")

    def test_model_that_was_never_complete_has_no_expected_time(self) -> None:
        async def work(system: System) -> None:
            new_entry = System(system.fleet, "other")
            new_entry.install(new_entry.config)
            for name in ("e-0", "e-2", "e-3"):
                new_entry.list_instance(system.listed[name])
            error = await expect_refusal(new_entry)
            assert error.retry_after is not None
            assert error.retry_after <= retry_advice.MAX_DELAY_SECONDS

        run_scenario(work, "large")

    def test_leaving_engine_is_used_only_until_it_leaves(self) -> None:
        async def work(system: System) -> None:
            engine = system.listed["e-1"]
            system.list_instance(attrs.evolve(engine, is_leaving=True))
            caller = await system.ask(system.request(STREAM))
            assert caller.error is None
            await anyio.sleep(1.5)
            began = anyio.current_time()
            await expect_refusal(system)
            assert anyio.current_time() - began < AT_ONCE_SECONDS

        run_scenario(work, "large")

    def test_ended_engine_counts_as_gone_while_listed(self) -> None:
        async def work(system: System) -> None:
            system.registry.avoid("e-1", "refused", has_ended=True)
            await anyio.sleep(0.6)
            assert [str(gap) for gap in system.context.gaps.current_gaps] == [
                "20-40"
            ]
            began = anyio.current_time()
            await expect_refusal(system)
            assert anyio.current_time() - began < AT_ONCE_SECONDS

        run_scenario(work, "large")


class TestGaps:
    """Missing layers, and what would close the gap."""

    @pytest.mark.parametrize("card", [*PROFILE.cards, "unknown"])
    def test_capacity_agrees_with_the_placement(self, card: str) -> None:
        engine = fleet_system.upstream("one", card=card)
        expected = plan.max_layer_count(engine, PROFILE)
        assert gaps.max_layers(card, PROFILE) == expected

    def test_agrees_with_a_count_of_each_layer(self) -> None:
        rng = random.Random(7)
        for _ in range(300):
            engines = []
            for number in range(rng.randrange(6)):
                first = rng.randrange(80)
                end = rng.randrange(first + 1, 82)
                engines.append(
                    fleet_system.upstream(f"e-{number}", layers=(first, end))
                )
            missing_ranges = gaps.missing_layers(
                chain.engines_within(engines, 80), 80
            )
            coverage = chain.coverage(engines, 80)
            assert [
                layer
                for layers in missing_ranges
                for layer in range(layers.first, layers.end)
            ] == [layer for layer in range(80) if not coverage[layer]]

    def test_many_requests_share_one_check(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        check_times: list[float] = []
        find = gaps.missing_layers

        def count_check(engines: typing.Any, layers: int) -> typing.Any:
            check_times.append(anyio.current_time())
            return find(engines, layers)

        async def work(system: System) -> None:
            remove_engines(system, "e-1")
            await anyio.sleep(0.73)
            monkeypatch.setattr(gaps, "missing_layers", count_check)
            for _ in range(100):
                await expect_refusal(system)
            assert len(check_times) == 1

        run_scenario(work, "large")

    def test_reports_what_would_close_the_gap(self) -> None:
        async def work(system: System) -> None:
            remove_engines(system, "e-1", "e-2")
            await anyio.sleep(0.6)
            (gap,) = system.context.gaps.current_gaps
            max_layers = gaps.max_layers("small", PROFILE)
            assert gap.layer_capacity == 6 * max_layers
            lacking_layers = 80 - 6 * max_layers
            assert gap.needed == (
                f"engines for {lacking_layers} more layers: 1 large or "
                f"{-(-lacking_layers // max_layers)} small"
            )

        run_scenario(work, "small", 8)

    def test_ends_when_the_layers_are_held(self) -> None:
        async def work(system: System) -> None:
            engine = system.listed["e-1"]
            remove_engines(system, "e-1")
            await anyio.sleep(2.0)
            assert system.context.gaps.current_gaps
            system.add(attrs.evolve(engine, name="e-9"))
            await anyio.sleep(0.6)
            assert not system.context.gaps.current_gaps
            caller = await system.ask(system.request(STREAM))
            assert caller.error is None

        run_scenario(work, "large")


class TestOverSockets:
    """A complete entry with its store and its engines."""

    def test_is_reported_to_callers_and_operators(self) -> None:
        async def work(running: test_fleet_process.RunningEntry) -> None:
            engines = [
                upstream
                for upstream in running.fleet.upstreams
                if upstream.listed.service == fleet_system.MODEL
            ]
            # A single engine cannot hold all layers.
            for target in engines[1:]:
                target.is_dead = True
                running.store.remove(
                    names.UPSTREAM_KIND, target.listed.incarnation.id
                )
            await anyio.sleep(2.0)
            began = anyio.current_time()
            for number in range(5):
                answer = await running.send("/a/x", f"r{number}")
                assert answer.status == 503
                response_headers = dict(answer.headers)
                assert float(response_headers[names.RETRY_AFTER]) > 0.0
                assert b"no engine holds layers" in answer.content
            # Five waits of ``UNHELD_WAIT_SECONDS`` would take longer.
            assert anyio.current_time() - began < 0.4
            metrics = await test_fleet_process.status_of(running, "/metrics")
            gauge = f"crowdeck_layers_unheld_{fleet_system.MODEL} "
            (metric_line,) = [
                line
                for line in metrics.content.decode().splitlines()
                if line.startswith(gauge)
            ]
            assert float(metric_line.removeprefix(gauge)) > 0
            client = http.HttpClient("")
            try:
                rows = await entry_status.read(running.store, client, 2.0)
            finally:
                await client.close()
            (gap,) = rows[0]["unheld"]
            assert gap["service"] == fleet_system.MODEL
            assert gap["engines"] == 1
            assert gap["seconds"] > 0.5
            assert "more layers" in gap["needed"]

        anyio.run(test_fleet_process.run_entry, work)


class TestOperators:
    """The log, the gauge and the report of losses."""

    def test_begin_and_end_are_logged_once(
        self, lines: list[dict[str, typing.Any]]
    ) -> None:
        async def work(system: System) -> None:
            engine = system.listed["e-1"]
            remove_engines(system, "e-1")
            await anyio.sleep(10.0)
            gauge = f"layers.unheld.{fleet_system.MODEL}"
            assert counters.COUNTERS.gauge(gauge) == 10
            system.add(attrs.evolve(engine, name="e-9"))
            await anyio.sleep(1.0)
            assert counters.COUNTERS.gauge(gauge) == 0

        run_scenario(work, "small", 8)
        assert len(lines_of("layers_unheld", lines)) == 1
        assert len(lines_of("layers_held_again", lines)) == 1
        (line,) = [
            line
            for line in lines
            if line["message_type"] == "crowdeck:layers_unheld"
        ]
        assert line["layers"] == "10-20"
        assert line["service"] == fleet_system.MODEL
        assert line["seconds"] >= 1.0
        assert line["engines"] == 7
        assert "more layers" in line["needed"]
        assert line["ready_in"] is None

    def test_short_gap_is_not_logged(
        self, lines: list[dict[str, typing.Any]]
    ) -> None:
        async def work(system: System) -> None:
            engine = system.listed["e-1"]
            remove_engines(system, "e-1")
            await anyio.sleep(0.6)
            system.add(attrs.evolve(engine, name="e-9"))
            await anyio.sleep(3.0)

        run_scenario(work, "large")
        assert not lines_of("layers_unheld", lines)
        assert not lines_of("layers_held_again", lines)

    def test_is_a_cause_in_the_loss_report(
        self, tmp_path: pathlib.Path
    ) -> None:
        log = [
            test_losses.line(
                1.0, "no_path", request="r1", missing_layers=3, unheld="1-4"
            ),
            test_losses.refused(1.0, "r1", "NO_PATH", "no engine holds"),
            test_losses.line(1.0, "no_path", request="r2", missing_layers=3),
            test_losses.refused(1.0, "r2", "NO_PATH", "no path"),
        ]
        found = losses.build_report(log, test_losses.OBJECTIVES, 2.0)
        assert found.causes == {
            "refused: NO_PATH, no engine holds some layers": 1,
            "refused: NO_PATH, layers were missing": 1,
        }
