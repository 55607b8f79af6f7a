# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Large responses leave room on the link for streams."""

import typing

import anyio
import pytest

from crowdeck import http
from tests import virtual

LINK_MBPS = 20.0
CHUNK = bytes(32 * 1024)
MAX_SECONDS = 0.8


class Link:
    """Carries chunks in turn, no faster than its bandwidth."""

    def __init__(self, chunks: int) -> None:
        self._chunks = chunks

    async def carry(self) -> typing.AsyncIterator[bytes]:
        rate = LINK_MBPS * http.BYTES_PER_MEGABIT
        for _ in range(self._chunks):
            await anyio.sleep(len(CHUNK) / rate)
            yield CHUNK


def read_seconds(
    chunks: int, *, is_enabled: bool = True, link_mbps: float = LINK_MBPS
) -> float:
    """Return how long it takes to read a response."""

    async def body() -> float:
        pace = http.DownloadPace(link_mbps, MAX_SECONDS, lambda: is_enabled)
        response = http.OpenResponse(200, [], Link(chunks).carry())
        began_at = anyio.current_time()
        content = await response.read(http.RESPONSE_LIMIT_BYTES, pace)
        assert content == CHUNK * chunks
        return anyio.current_time() - began_at

    return float(virtual.run(body))


def link_seconds(chunks: int) -> float:
    """Return how long the whole link needs."""
    size = chunks * len(CHUNK)
    return size / (LINK_MBPS * http.BYTES_PER_MEGABIT)


class TestDownloadPace:
    """Reads of one response."""

    def test_large_response_takes_its_share_of_the_link(self) -> None:
        expected_seconds = link_seconds(24) / http.LINK_SHARE
        assert read_seconds(24) == pytest.approx(expected_seconds)

    def test_response_is_not_delayed_beyond_the_limit(self) -> None:
        assert MAX_SECONDS < link_seconds(80) < read_seconds(80)
        assert read_seconds(80) < link_seconds(80) + MAX_SECONDS

    @pytest.mark.parametrize("link_mbps", [LINK_MBPS, 0.0])
    def test_others_are_read_at_once(self, link_mbps: float) -> None:
        assert read_seconds(2) == pytest.approx(link_seconds(2))
        seconds = read_seconds(
            24, is_enabled=not link_mbps, link_mbps=link_mbps
        )
        assert seconds == pytest.approx(link_seconds(24))
