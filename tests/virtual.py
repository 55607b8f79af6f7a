# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""An event loop with virtual time, for fast and deterministic tests."""

import asyncio
import selectors
import typing

import anyio


class _VirtualSelector(selectors.DefaultSelector):
    """Advances the clock instead of waiting.

    :ivar now: virtual time in seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> typing.Any:
        if timeout is None:
            raise RuntimeError("all tasks wait, and no callback is scheduled")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time passes only while nothing is ready."""

    def __init__(self) -> None:
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.now

    def pass_time(self, seconds: float) -> None:
        """Advance the time while nothing runs, as in a suspended process."""
        self._virtual.now += seconds


def run(function: typing.Any, *arguments: typing.Any) -> typing.Any:
    """Run an asynchronous test in virtual time."""
    return anyio.run(
        function, *arguments, backend_options={"loop_factory": VirtualLoop}
    )
