# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""What the log tells of requests that end without their answer."""

import typing

import anyio
import eliot
import pytest

from crowdeck.platform import callers
from crowdeck.platform import names
from crowdeck.relay import ingress
from crowdeck.relay import request as requests
from crowdeck import route as routes
from tests import fleet_system
from tests import virtual

STREAM = routes.RepeatPolicy.STREAM

System = fleet_system.FleetSystem
SCOPE: ingress.Scope = {
    "type": "http",
    "method": "GET",
    "raw_path": b"/",
    "query_string": b"",
    "headers": [(names.REQUEST_ID.lower(), b"r1")],
}


class _FailingServer:
    """A server whose code meets bytes that it did not expect."""

    body_limit = 1000
    closes_connections = False

    async def serve(
        self, request: requests.CallerRequest, sink: requests.Sink
    ) -> None:
        raise ValueError("unexpected bytes")


async def _receive_request() -> ingress.Message:
    await anyio.sleep(0.0)
    return {"type": "http.request"}


async def _send_nowhere(message: ingress.Message) -> None:
    """Drop what the application sends."""


@pytest.fixture
def lines() -> typing.Iterator[list[dict[str, typing.Any]]]:
    """Every line of the log."""
    found: list[dict[str, typing.Any]] = []
    eliot.add_destinations(found.append)
    # Eliot delivers earlier messages to the first destination.
    found.clear()
    yield found
    eliot.remove_destination(found.append)


class TestRequestWithoutAnswer:
    """A request that may have run and ends without its answer."""

    def test_config_and_budget_are_logged(
        self, lines: list[dict[str, typing.Any]]
    ) -> None:
        async def work(system: System) -> None:
            request = system.request(STREAM)
            for engine in system.fleet.upstreams:
                engine.break_stream_after = 3
                engine.breaks_every_stream = True
            await system.ask(request)
            found = [
                line
                for line in lines
                if line["message_type"] == "crowdeck:request_unfinished"
            ]
            assert [line["request"] for line in found] == [request.id]
            assert found[0]["has_started"]
            assert found[0]["config"] == found[0]["config_in_force"] == 1
            assert found[0]["config_seconds"] > 0.0
            assert found[0]["budget_left"] > 0.0

        async def body() -> None:
            system = System()
            system.install(fleet_system.make_config())
            system.add_model()
            await fleet_system.run_with(system, work)

        virtual.run(body)

    def test_error_without_a_code_is_logged(
        self, lines: list[dict[str, typing.Any]]
    ) -> None:
        async def body() -> None:
            app = ingress.Ingress(_FailingServer(), callers)
            with pytest.raises(ExceptionGroup):
                await app(SCOPE, _receive_request, _send_nowhere)
            found = [
                line
                for line in lines
                if line["message_type"] == "crowdeck:request_failed"
            ]
            assert [line["request"] for line in found] == ["r1"]
            assert "unexpected bytes" in found[0]["error"]

        anyio.run(body)
