# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Large responses that fill the link of an entry."""

import typing

import anyio

from crowdeck import chain
from crowdeck import http
from crowdeck.relay import probes
from tests import fleet_system
from tests import virtual

CHUNK = bytes(32 * 1024)
CHUNK_SECONDS = 0.02


async def carry(chunks: int) -> typing.AsyncIterator[bytes]:
    for _ in range(chunks):
        await anyio.sleep(CHUNK_SECONDS)
        yield CHUNK


class _SilentEngines:
    """Engines that give no report."""

    async def report(self, upstream: chain.Upstream) -> chain.EngineReport:
        await anyio.sleep_forever()
        raise AssertionError("cancelled before")


class TestLargeDownloads:
    """What an entry knows of its link while it reads responses."""

    def test_only_large_responses_fill_the_link(self) -> None:
        async def body() -> None:
            for chunks, fills in ((2, False), (20, True)):
                downloads = http.LargeDownloads()
                response = http.OpenResponse(200, [], carry(chunks))
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(
                        response.read, http.RESPONSE_LIMIT_BYTES, downloads
                    )
                    await anyio.sleep((chunks - 0.5) * CHUNK_SECONDS)
                    assert downloads.fill_link is fills
                assert downloads.fill_link is fills
                await anyio.sleep(2.0 * http.DOWNLOAD_SETTLE_SECONDS)
                assert not downloads.fill_link

        virtual.run(body)

    def test_a_response_that_is_given_up_frees_the_link(self) -> None:
        async def body() -> None:
            downloads = http.LargeDownloads()
            response = http.OpenResponse(200, [], carry(1000))
            with anyio.move_on_after(0.5):
                await response.read(http.RESPONSE_LIMIT_BYTES, downloads)
            assert downloads.fill_link
            await anyio.sleep(2.0 * http.DOWNLOAD_SETTLE_SECONDS)
            assert not downloads.fill_link

        virtual.run(body)

    def test_silence_shows_nothing_while_the_link_is_full(self) -> None:
        async def body() -> None:
            full_until = anyio.current_time() + 1.0
            prober = probes.Prober(
                _SilentEngines(),  # type: ignore[arg-type]
                lambda _: True,
                lambda: anyio.current_time() < full_until,
            )
            engine = fleet_system.upstream("engine")
            assert not (await prober.probe(engine)).is_unreachable
            await anyio.sleep(1.0)
            assert (await prober.probe(engine)).is_unreachable

        virtual.run(body)
