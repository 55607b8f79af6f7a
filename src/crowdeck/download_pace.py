# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Keeps part of an instance's link free while it reads large responses."""

import typing

import anyio

# Share of the link that a large response may take. The rest is for the events
# of streams, which would pause for as long as the response takes.
LINK_SHARE = 0.5
# Smaller responses are read at once.
UNPACED_BYTES = 64 * 1024
BYTES_PER_MEGABIT = 125_000.0


class DownloadPace:
    """Delays the reads of a large response; its sender then sends slower.

    :param link_mbps: bandwidth of the link, 0 if unknown; nothing is delayed
        then.
    :param max_seconds: a response is not delayed for longer than this after
        it has begun.
    :param is_enabled: returns whether to delay reads now.
    """

    def __init__(
        self,
        link_mbps: float,
        max_seconds: float,
        is_enabled: typing.Callable[[], bool],
    ) -> None:
        self._bytes_per_second = LINK_SHARE * BYTES_PER_MEGABIT * link_mbps
        self._max_seconds = max_seconds
        self._is_enabled = is_enabled

    async def wait(self, read_bytes: int, began_at: float) -> None:
        """Wait until more of a response may be read.

        :param read_bytes: number of bytes of it that were read so far.
        :param began_at: loop time at which its body began.
        """
        if read_bytes <= UNPACED_BYTES or not self._bytes_per_second:
            return
        if not self._is_enabled():
            return
        seconds = read_bytes / self._bytes_per_second
        await anyio.sleep_until(began_at + min(seconds, self._max_seconds))
