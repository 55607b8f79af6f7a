# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of failed connections of the HTTP client."""

import anyio
import anyio.abc
import pytest

from crowdeck import errors
from crowdeck import http

HOST = "127.0.0.1"


async def request_error(port: int) -> errors.CrowdeckError:
    client = http.HttpClient(f"http://{HOST}:{port}", keep_alive=False)
    try:
        with pytest.raises(errors.CrowdeckError) as caught:
            await client.send("GET", "/", [], b"", 2.0)
        return caught.value
    finally:
        await client.close()


class TestFailedConnection:
    """Only a refused connection shows that an instance is gone."""

    def test_refused_connection_is_from_a_gone_instance(self) -> None:
        async def body() -> None:
            listener = await anyio.create_tcp_listener(local_host=HOST)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            await listener.aclose()
            error = await request_error(port)
            assert isinstance(error, errors.InstanceGone)
            assert error.code is errors.Code.UPSTREAM_LOST
            assert error.verdict.is_retry_safe

        anyio.run(body)

    def test_closed_connection_is_not_from_a_gone_instance(self) -> None:
        async def close(stream: anyio.abc.SocketStream) -> None:
            await stream.aclose()

        async def body() -> None:
            listener = await anyio.create_tcp_listener(local_host=HOST)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, close)
                error = await request_error(port)
                tasks.cancel_scope.cancel()
            await listener.aclose()
            assert error.code is errors.Code.UPSTREAM_LOST
            assert not isinstance(error, errors.InstanceGone)

        anyio.run(body)
