# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of how runs of an instance are identified on the wire."""

import contextlib
import typing

import anyio
import orjson
import pytest

from crowdeck import chain
from crowdeck.cmd import daemon
from crowdeck.cmd import fleet_process
from crowdeck.cmd import store_view
from crowdeck import errors
from crowdeck import http
from crowdeck.platform import callers
from crowdeck.platform import engines
from crowdeck.platform import names
from crowdeck.relay import interfaces
from crowdeck.relay import probes
from crowdeck.relay import survey as surveys
from crowdeck.settings import config as configs
from crowdeck import timers
from tests import entries_system
from tests import fleet_system
from tests import test_fleet_process
from tests import virtual


def make_run(started_ms: int) -> chain.Upstream:
    """Return one run of the engine ``e``."""
    incarnation = chain.Incarnation("e", started_ms)
    base = fleet_system.upstream(
        incarnation.name, layers=(0, 80), card="large"
    )
    return fleet_system.attrs.evolve(
        base, instance_id="e", started_ms=started_ms
    )


class FixedAnswer:
    """An HTTP answer with a fixed body."""

    status = 200
    headers: http.RawHeaders = []

    def __init__(self, content: bytes) -> None:
        self._content = content

    def find(self, name: bytes) -> bytes:
        return b""

    async def read(self, limit: int) -> bytes:
        return self._content


class FixedHttp:
    """Gives every request the same answer and records its headers."""

    def __init__(self, body: dict[str, object]) -> None:
        self._content = orjson.dumps(body)
        self.sent: list[http.RawHeaders] = []

    @contextlib.asynccontextmanager
    async def open(
        self, method: str, url: str, headers: http.RawHeaders, *rest: object
    ) -> typing.AsyncIterator[FixedAnswer]:
        self.sent.append(headers)
        yield FixedAnswer(self._content)


def request_report(
    body: dict[str, object], upstream: chain.Upstream
) -> FixedHttp:
    fixed = FixedHttp(body)
    client = engines.UpstreamClient(typing.cast(http.HttpClient, fixed))
    anyio.run(client.report, upstream)
    return fixed


class TestAdapter:
    """Runs of an instance in the adapter to the platform."""

    def test_reports_are_requested_by_instance_id(self) -> None:
        fixed = request_report(
            {names.ORDERS_TAKEN: 0, names.STARTED_MS: 7}, make_run(7)
        )
        assert (names.EXPECTED_INSTANCE, b"e") in fixed.sent[0]

    def test_requests_are_sent_by_instance_id(self) -> None:
        system = fleet_system.FleetSystem()
        requests: list[object] = []

        async def body() -> None:
            requests.append(system.request(entries_system.STREAM))

        virtual.run(body)
        headers = callers.upstream_request_headers(
            typing.cast(typing.Any, requests[0]),
            make_run(7),
            interfaces.Dispatch("kiosks", 0, 1.0),
        )
        assert (names.EXPECTED_INSTANCE, b"e") in headers

    def test_report_of_a_later_run_means_the_instance_is_gone(self) -> None:
        with pytest.raises(errors.InstanceGone):
            request_report(
                {names.ORDERS_TAKEN: 0, names.STARTED_MS: 8}, make_run(7)
            )

    @pytest.mark.parametrize("start_fields", [{names.STARTED_MS: 6}, {}])
    def test_report_of_an_earlier_or_unknown_run_is_malformed(
        self, start_fields: dict[str, object]
    ) -> None:
        with pytest.raises(errors.CrowdeckError) as caught:
            request_report(
                {names.ORDERS_TAKEN: 0, **start_fields}, make_run(7)
            )
        assert not isinstance(caught.value, errors.InstanceGone)


class UnreadableReports:
    """Engines whose reports cannot be decoded."""

    async def report(self, upstream: chain.Upstream) -> chain.EngineReport:
        raise errors.CrowdeckError(errors.Code.MALFORMED, "no report")


class TestProbe:
    """Probes of an engine whose report cannot be decoded."""

    def test_malformed_report_counts_as_an_answer(self) -> None:
        async def body() -> None:
            client = typing.cast(interfaces.Upstreams, UnreadableReports())
            prober = probes.Prober(client, lambda _: True)
            probe = await prober.probe(make_run(7))
            assert not probe.is_unreachable
            assert not probe.has_error
            assert not probe.is_gone

        virtual.run(body)


class TestStart:
    """The start of an entry, and the clock of daemons."""

    def test_survey_completes_only_after_entries_are_listed(self) -> None:
        class Holder:
            services = ()

            async def wait_known(self) -> None:
                await anyio.sleep(0.0)

        class Roster:
            def __init__(self) -> None:
                self.listed = anyio.Event()

            async def wait_listed(self) -> None:
                await self.listed.wait()

        class View:
            def __init__(self) -> None:
                self.holder = Holder()
                self.roster = Roster()

        async def body() -> None:
            text = test_fleet_process.render_template(
                test_fleet_process.TEMPLATE.read_text(),
                {
                    **test_fleet_process.SETTINGS,
                    "platform.address": "127.0.0.1:1",
                    "listen_addresses.frontend": "127.0.0.1:2",
                    "listen_addresses.readiness": "127.0.0.1:3",
                },
            )
            process = fleet_process.FleetProcess(configs.parse(text))
            system = fleet_system.FleetSystem()
            view = View()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    process._sync_initially,
                    system.context,
                    typing.cast(store_view.StoreView, view),
                )
                survey_seconds = surveys.POLL_SECONDS * surveys.MAX_POLLS
                await anyio.sleep(survey_seconds + 1.0)
                assert not process._initially_synced.is_set()
                view.roster.listed.set()
                await anyio.sleep(0.01)
                assert process._initially_synced.is_set()

        virtual.run(body)

    def test_daemons_use_a_clock_that_counts_suspension(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        calls: list[dict[str, object]] = []

        def run(*arguments: object, **named: object) -> None:
            calls.append(typing.cast(dict[str, object], named))

        monkeypatch.setattr(daemon.anyio, "run", run)
        monkeypatch.setattr(daemon.logs, "to_stdout", lambda: None)
        monkeypatch.setattr(daemon.checks, "check", lambda path: None)
        monkeypatch.setattr(daemon, "HangupRecorder", lambda: None)
        daemon.main(["--config", "entry.ini"])
        options = typing.cast(dict[str, object], calls[0]["backend_options"])
        assert options["loop_factory"] is timers.BootTimeEventLoop
