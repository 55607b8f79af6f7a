# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""What a connection that fails tells of whoever should have taken it."""

import anyio
import anyio.abc
import pytest

from crowdeck import errors
from crowdeck import http

HOST = "127.0.0.1"


async def ask(port: int) -> errors.CrowdeckError:
    client = http.HttpClient(f"http://{HOST}:{port}", keep_alive=False)
    try:
        with pytest.raises(errors.CrowdeckError) as caught:
            await client.send("GET", "/", [], b"", 2.0)
        return caught.value
    finally:
        await client.close()


class TestFailedConnection:
    """Gone for certain, or merely not to be had."""

    def test_nobody_listens(self) -> None:
        async def body() -> None:
            listener = await anyio.create_tcp_listener(local_host=HOST)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            await listener.aclose()
            error = await ask(port)
            assert isinstance(error, errors.InstanceGone)
            assert error.code is errors.Code.UPSTREAM_LOST
            assert error.verdict.is_retry_safe

        anyio.run(body)

    def test_one_that_closes_at_once_is_not_gone(self) -> None:
        async def close(stream: anyio.abc.SocketStream) -> None:
            await stream.aclose()

        async def body() -> None:
            listener = await anyio.create_tcp_listener(local_host=HOST)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, close)
                error = await ask(port)
                tasks.cancel_scope.cancel()
            await listener.aclose()
            assert error.code is errors.Code.UPSTREAM_LOST
            assert not isinstance(error, errors.InstanceGone)

        anyio.run(body)
