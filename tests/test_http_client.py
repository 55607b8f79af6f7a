# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of the HTTP client: failed connections and request targets."""

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


class TestTarget:
    """The path and query that a server gets."""

    @pytest.mark.parametrize(
        "target",
        ["/", "/a;v=2", "/a;v=2?x=1", "/a;v=2/b", "/a?", "/a?x=1;y", "//a/"],
    )
    def test_is_sent_unchanged(self, target: str) -> None:
        # Guards against an upstream that runs a request with another path.
        received: list[bytes] = []

        async def answer(stream: anyio.abc.SocketStream) -> None:
            received.append((await stream.receive()).split(b" ")[1])
            await stream.send(b"HTTP/1.1 204 No Content\r\n\r\n")
            await stream.aclose()

        async def body() -> None:
            listener = await anyio.create_tcp_listener(local_host=HOST)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            client = http.HttpClient("", keep_alive=False)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, answer)
                url = f"http://{HOST}:{port}{target}"
                await client.send("GET", url, [], b"", 2.0)
                tasks.cancel_scope.cancel()
            await client.close()
            await listener.aclose()

        anyio.run(body)
        assert received == [target.encode()]
