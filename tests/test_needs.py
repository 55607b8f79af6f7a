# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Backpressure of instances, as operators see it."""

import collections
import typing

import anyio
import eliot
import orjson
import pytest

from crowdeck import chain
from crowdeck.cmd import cli
from crowdeck.cmd import commands
from crowdeck.cmd import entry_status
from crowdeck.cmd import http_server
from crowdeck.cmd import operator as operators
from crowdeck import http
from crowdeck.observe import counters
from crowdeck.observe import explain
from crowdeck.observe import losses
from crowdeck.relay import backpressure_monitor
from crowdeck.relay import retry_advice
from crowdeck import route as routes
from crowdeck.standin import store_http
from crowdeck.wire import questions
from tests import fleet_system
from tests import test_fleet_process
from tests import test_losses
from tests import virtual

ONCE = routes.RepeatPolicy.ONCE
STREAM = routes.RepeatPolicy.STREAM
PLAIN = fleet_system.PLAIN
System = fleet_system.FleetSystem
Work = typing.Callable[[System], typing.Awaitable[None]]
Lines = list[dict[str, typing.Any]]


@pytest.fixture
def lines() -> typing.Iterator[Lines]:
    """Every line of the log."""
    found: Lines = []
    eliot.add_destinations(found.append)
    # Eliot delivers earlier messages to the first destination.
    found.clear()
    yield found
    eliot.remove_destination(found.append)


def lines_of(kind: str, lines: Lines) -> Lines:
    return [
        line for line in lines if line["message_type"] == f"crowdeck:{kind}"
    ]


def serialize(lines: Lines) -> list[str]:
    """Return log lines in their serialized form."""
    return [orjson.dumps(line, default=str).decode() for line in lines]


def run_scenario(work: Work, plain_count: int = 2) -> None:
    async def body() -> None:
        system = System(name="entry")
        system.install(system.config)
        system.add_model(copies=1)
        for number in range(plain_count):
            system.add(
                fleet_system.upstream(
                    f"records-{number}", service=PLAIN, card=""
                )
            )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(system.context.backpressure.run)
            await fleet_system.run_with(system, work)
            tasks.cancel_scope.cancel()

    virtual.run(body)


def plain_instance(system: System, number: int = 0) -> chain.Upstream:
    return system.listed[f"records-{number}"]


async def send_calls(system: System, seconds: float, interval: float) -> None:
    async with anyio.create_task_group() as tasks:
        until = anyio.current_time() + seconds
        while anyio.current_time() < until:
            tasks.start_soon(system.ask, system.request(ONCE))
            await anyio.sleep(interval)


class TestSignals:
    """Signals in force, and when they began."""

    def test_rate_limit_and_its_usage(self) -> None:
        async def work(system: System) -> None:
            for number in range(2):
                system.fleet.at(
                    plain_instance(system, number).address
                ).limit = 6.0
            await send_calls(system, 20.0, 0.05)
            signals = {
                signal.key: signal
                for signal in system.context.backpressure.active_signals()
            }
            signal = signals[
                (
                    plain_instance(system).name,
                    backpressure_monitor.SignalKind.LIMIT,
                )
            ]
            assert signal.per_second == 6.0
            assert signal.share == pytest.approx(1.0)
            since = anyio.current_time() - 5.0
            sent = sum(
                run.upstream == signal.upstream.name
                and run.started_at >= since
                for run in system.fleet.runs
            )
            assert signal.used == pytest.approx(sent / 5.0, rel=0.1)
            assert anyio.current_time() - signal.since == pytest.approx(
                20, abs=1
            )

        run_scenario(work)

    def test_backoff_and_its_end(self) -> None:
        async def work(system: System) -> None:
            system.registry.back_off(plain_instance(system).name, 3.0)
            await anyio.sleep(1.0)
            (signal,) = system.context.backpressure.active_signals()
            assert signal.kind is backpressure_monitor.SignalKind.BACKOFF
            assert signal.since == 0.0
            assert signal.seconds_left == pytest.approx(2.0)
            # Extending a backoff does not start a new backoff.
            system.registry.back_off(plain_instance(system).name, 3.0)
            (signal,) = system.context.backpressure.active_signals()
            assert signal.since == 0.0
            await anyio.sleep(3.1)
            assert not system.context.backpressure.active_signals()

        run_scenario(work)

    def test_announced_leaving(self) -> None:
        async def work(system: System) -> None:
            system.registry.note_leaving(plain_instance(system).name)
            await anyio.sleep(1.0)
            (signal,) = system.context.backpressure.active_signals()
            assert signal.kind is backpressure_monitor.SignalKind.LEAVING
            system.registry.on_changed(
                (), (plain_instance(system).incarnation.id,)
            )
            assert not system.context.backpressure.active_signals()

        run_scenario(work)


class TestLog:
    """Log lines and gauges when signals begin and end."""

    def test_begin_and_end_are_logged(self, lines: Lines) -> None:
        async def work(system: System) -> None:
            system.registry.back_off(plain_instance(system).name, 3.0)
            await anyio.sleep(5.0)

        run_scenario(work)
        (begun,) = lines_of("need_begun", lines)
        (ended,) = lines_of("need_ended", lines)
        for line in (begun, ended):
            assert line["need"] == "rest"
            assert line["service"] == PLAIN
            assert line["zone"] == "plateau"
            assert line["upstream"] == "records-0"
        assert (
            3.0
            <= ended["seconds"]
            <= 3.0 + 2 * backpressure_monitor.POLL_SECONDS
        )

    def test_number_of_lines_is_bounded(self, lines: Lines) -> None:
        async def work(system: System) -> None:
            for number in range(300):
                system.registry.back_off(
                    plain_instance(system, number).name, 3.0
                )
            await anyio.sleep(5.0)

        run_scenario(work, plain_count=300)
        for event in ("need_begun", "need_ended"):
            assert (
                len(lines_of(event, lines))
                == backpressure_monitor.MAX_LOG_LINES
            )
            (others,) = lines_of(f"{event}_by_others", lines)
            assert others["instances"] == {
                f"{PLAIN} plateau rest": 300
                - backpressure_monitor.MAX_LOG_LINES
            }

    def test_gauges_by_service_and_zone(self) -> None:
        async def work(system: System) -> None:
            system.registry.back_off(plain_instance(system).name, 3.0)
            system.fleet.at(plain_instance(system, 1).address).limit = 6.0
            await send_calls(system, 2.0, 0.05)
            gauge = counters.COUNTERS.gauge
            assert gauge(f"needs.rest.{PLAIN}.plateau") == 1
            assert gauge(f"needs.limit.{PLAIN}.plateau") == 1
            allowed = f"needs.allowed_per_second.{PLAIN}.plateau"
            assert gauge(allowed) == 6.0
            assert gauge(f"needs.used_per_second.{PLAIN}.plateau") > 0.0
            await anyio.sleep(2.0)
            assert gauge(f"needs.rest.{PLAIN}.plateau") == 0

        run_scenario(work)


class TestRequests:
    """Requests that backpressure diverted, delayed or refused."""

    def test_served_elsewhere(self, lines: Lines) -> None:
        async def work(system: System) -> None:
            system.registry.back_off(plain_instance(system).name, 3.0)
            await system.ask(system.request(ONCE))

        run_scenario(work)
        (line,) = lines_of("call_answered", lines)
        found = explain.explain(line["request"], serialize(lines))
        address = str(fleet_system.upstream("records-0").address)
        assert found.held_back == (address,)
        assert not found.has_failed

    def test_without_backpressure_no_instance_is_named(
        self, lines: Lines
    ) -> None:
        async def work(system: System) -> None:
            await system.ask(system.request(ONCE))
            await system.ask(system.request(STREAM))

        run_scenario(work)
        for kind in ("call_answered", "path_chosen"):
            (line,) = lines_of(kind, lines)
            assert line["held_back"] == ""

    def test_unused_rate_limit_excludes_no_instance(
        self, lines: Lines
    ) -> None:
        async def work(system: System) -> None:
            for number in range(2):
                system.fleet.at(
                    plain_instance(system, number).address
                ).limit = 1000.0
            await send_calls(system, 3.0, 0.5)

        run_scenario(work)
        assert not any(
            line["held_back"] for line in lines_of("call_answered", lines)
        )

    def test_backoff_of_all_engines_of_some_layers_is_the_cause(
        self, lines: Lines
    ) -> None:
        async def work(system: System) -> None:
            for upstream in system.listed.values():
                if upstream.layers is not None and upstream.layers.first:
                    system.registry.back_off(upstream.name, 3.0)
            began = anyio.current_time()
            caller = await system.ask(system.request(STREAM, id="r1"))
            # Refused at once, with the time after which it can be served.
            assert anyio.current_time() - began < 0.01
            assert caller.error is not None
            assert caller.error.retry_after is not None
            assert 3.0 <= caller.error.retry_after <= 4.0
            await anyio.sleep(caller.error.retry_after)
            again = await system.ask(system.request(STREAM))
            assert again.error is None

        run_scenario(work)
        refusal = test_losses.refused(9e9, "r1", "NO_PATH", "no path")
        texts = [*serialize(lines), refusal]
        found = explain.explain("r1", texts)
        assert "at a rate limit, in a backoff or shutting down" in found.cause
        assert losses.build_report(
            texts, test_losses.OBJECTIVES, 2.0
        ).causes == {
            "refused: NO_PATH, instances at their limits or in rest": 1,
            # The retried request.
            "in time": 1,
        }

    def test_backoff_is_not_the_cause_if_other_layers_are_missing(
        self,
    ) -> None:
        async def work(system: System) -> None:
            for upstream in system.listed.values():
                if upstream.layers is not None and upstream.layers.first == 20:
                    system.registry.back_off(upstream.name, 3.0)
                if upstream.layers is not None and upstream.layers.first == 40:
                    system.registry.avoid(upstream.name, "silent")
            caller = await system.ask(system.request(STREAM))
            assert caller.error is not None
            assert caller.error.retry_after is not None
            assert caller.error.retry_after <= retry_advice.MAX_DELAY_SECONDS

        run_scenario(work)

    def test_causes_of_refused_calls_are_distinguished(self) -> None:
        line = test_losses.line
        log = [
            line(1.0, "no_instance", request="r1", listed=0),
            line(1.0, "no_instance", request="r2", listed=2, held_back="a:1"),
            line(
                1.0, "no_instance", request="r3", ready_in=0.9, held_back="a"
            ),
        ]
        for name in ("r1", "r2", "r3"):
            log.append(test_losses.refused(2.0, name, "NO_PATH", "x"))
        assert losses.build_report(
            log, test_losses.OBJECTIVES, 2.0
        ).causes == {
            "refused: NO_PATH, no instance": 1,
            "refused: NO_PATH, the instances left were in need": 1,
            "refused: NO_PATH, instances at their limits or in rest": 1,
        }
        assert (
            "2 instances were listed; a:1" in explain.explain("r2", log).cause
        )

    @pytest.mark.parametrize("repeat", [ONCE, STREAM])
    def test_refusal_names_the_instances(
        self, lines: Lines, repeat: routes.RepeatPolicy
    ) -> None:
        async def work(system: System) -> None:
            for upstream in system.listed.values():
                system.registry.back_off(upstream.name, 3.0)
            await system.ask(system.request(repeat, id="r1"))

        run_scenario(work)
        refusal = test_losses.refused(9e9, "r1", "NO_PATH", "in need")
        texts = [*serialize(lines), refusal]
        found = explain.explain("r1", texts)
        assert found.held_back
        assert found.held_back[0] in found.cause
        assert "the first accepts requests again in 3.0 s" in found.cause
        causes = losses.build_report(texts, test_losses.OBJECTIVES, 2.0).causes
        assert causes == {
            "refused: NO_PATH, instances at their limits or in rest": 1
        }

    def test_late_stream_that_waited(self, lines: Lines) -> None:
        async def work(system: System) -> None:
            for upstream in system.listed.values():
                system.registry.back_off(upstream.name, 0.8)
            await system.ask(system.request(STREAM))

        run_scenario(work)
        causes = losses.build_report(
            serialize(lines), test_losses.OBJECTIVES, 2.0
        ).causes
        assert causes == {
            "late: its first event; it waited for instances in need": 1
        }

    def test_causes_sum_to_the_requests(self, lines: Lines) -> None:
        async def work(system: System) -> None:
            for number in range(2):
                system.fleet.at(
                    plain_instance(system, number).address
                ).limit = 4.0
            callers: collections.Counter[bool] = collections.Counter()

            async def ask() -> None:
                request = system.request(ONCE)
                caller = await system.ask(request)
                callers[caller.error is None] += 1
                if caller.error is not None:
                    code, message = caller.error.code, caller.error.message
                    refusals.append(
                        test_losses.refused(
                            9e9, request.id, str(code), message
                        )
                    )

            async with anyio.create_task_group() as tasks:
                for _ in range(300):
                    tasks.start_soon(ask)
                    await anyio.sleep(0.04)
            assert callers.total() == 300

        refusals: list[str] = []
        run_scenario(work)
        found = losses.build_report(
            [*serialize(lines), *refusals], test_losses.OBJECTIVES, 2
        )
        assert found.requests == 300
        assert sum(found.causes.values()) == 300
        assert found.causes == {
            "in time": 300 - len(refusals),
            "refused: NO_PATH, instances at their limits or in rest": len(
                refusals
            ),
        }


class _FakeOperator:
    """Operator that returns given rows of entries."""

    def __init__(self, rows: list[entry_status.Row]) -> None:
        self._rows = rows

    async def ask_all(
        self, question: questions.Question
    ) -> list[operators.InstanceReply]:
        return []

    async def read_entry_statuses(self) -> list[entry_status.Row]:
        return self._rows


def status_of(rows: list[entry_status.Row]) -> commands.Result:
    operator = typing.cast(operators.OperatorClient, _FakeOperator(rows))
    return anyio.run(commands.show_status, operator)


class TestStatus:
    """Output of ``crowdeck status``."""

    def row(
        self, name: str, signals: list[entry_status.Row]
    ) -> dict[str, object]:
        return {
            "instance": name,
            "role": "entry",
            "state": "up",
            "running": 3,
            "generation": 7,
            "needs": signals,
            "unheld": [
                {
                    "service": "m",
                    "layers": "20-40",
                    "seconds": 4.0,
                    "can_hold": 77,
                    "of": 80,
                    "needed": "engines for 3 more layers: 1 large",
                }
            ],
        }

    def need(
        self, address: str, seconds: float, used: float
    ) -> dict[str, object]:
        return {
            "upstream": f"u-{address}",
            "address": address,
            "service": "s",
            "zone": "z",
            "need": "limit",
            "seconds": seconds,
            "per_second": 4.0,
            "used": used,
        }

    def test_sums_by_service_and_zone(self) -> None:
        rows = [
            self.row("e1", [self.need("a", 9.0, 1.0), self.need("b", 1, 0.5)]),
            self.row("e2", [self.need("a", 5.0, 2.0)]),
        ]
        found = status_of(rows)
        assert found.exit_code == commands.EXIT_OK
        assert entry_status.sum_backpressure(rows) == [
            {
                "service": "s",
                "zone": "z",
                "need": "limit",
                "instances": 2,
                "longest s": 9.0,
                "limit/s": 8.0,
                "used/s": 3.5,
                "entries": 2,
            }
        ]
        for text in ("20-40", "engines for 3 more layers", "u-a", "e2"):
            assert text in found.text
        assert len(found.data) == 2

    def test_number_of_rows_is_bounded(self) -> None:
        many = [self.need(f"a{number}", 1.0, 0.1) for number in range(300)]
        text = status_of([self.row("e1", many)]).text
        assert len(text.splitlines()) < entry_status.MAX_SHOWN_ROWS + 20
        assert f"and {300 - entry_status.MAX_SHOWN_ROWS} more" in text

    def test_entry_that_does_not_answer_is_lost(self) -> None:
        row = {"instance": "e", "role": "entry", "state": "lost"}
        assert status_of([row]).exit_code == commands.EXIT_UNREACHABLE

    def test_is_served_by_the_entry(self) -> None:
        async def work(running: test_fleet_process.RunningEntry) -> None:
            target = next(
                upstream
                for upstream in running.fleet.upstreams
                if upstream.listed.service == PLAIN
            )
            target.limit = 4.0
            response = await running.send("/a/b/x", "r1")
            assert response.status == 200
            client = http.HttpClient("")
            try:
                rows = await entry_status.read(running.store, client, 2.0)
            finally:
                await client.close()
            (row,) = rows
            assert row["state"] == "up"
            assert row["generation"] >= 1
            (need,) = row["needs"]
            assert need["need"] == "limit"
            assert need["per_second"] == 4.0
            assert need["address"] == str(target.listed.address)
            assert row["unheld"] == []

        anyio.run(test_fleet_process.run_entry, work)

    def test_is_shown_by_the_command(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        async def work(running: test_fleet_process.RunningEntry) -> None:
            for target in running.fleet.upstreams:
                target.limit = 4.0
            await running.send("/a/b/x", "r1")
            async with anyio.create_task_group() as tasks:
                app = store_http.StoreApp(running.store).build()
                port = await tasks.start(
                    http_server.serve_http, app, test_fleet_process.HOST, 0
                )
                url = f"http://{test_fleet_process.HOST}:{port}"
                code = await anyio.to_thread.run_sync(
                    cli.main, ["--platform", url, "status", "--json"]
                )
                assert code == commands.EXIT_OK
                tasks.cancel_scope.cancel()

        anyio.run(test_fleet_process.run_entry, work)
        text = capsys.readouterr().out.splitlines()[-1]
        (row,) = orjson.loads(text)
        assert {need["service"] for need in row["needs"]} >= {PLAIN}
