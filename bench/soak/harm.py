# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Times in which instances and entries were harmed, not only silent."""

import contextlib
import typing

import anyio

# A fault acts a little before or after the time at which it is recorded.
MARGIN_SECONDS = 0.3


class HarmLog:
    """Records what may end an answer, by the name of its target."""

    def __init__(self) -> None:
        self._intervals: dict[str, list[tuple[float, float]]] = {}

    def note(self, name: str) -> None:
        """Record a harm of this moment."""
        now = anyio.current_time()
        self._intervals.setdefault(name, []).append((now, now))

    @contextlib.contextmanager
    def harming(self, name: str) -> typing.Iterator[None]:
        """Record a harm that lasts as long as the body."""
        intervals = self._intervals.setdefault(name, [])
        started_at = anyio.current_time()
        open_interval = (started_at, float("inf"))
        intervals.append(open_interval)
        try:
            yield
        finally:
            intervals.remove(open_interval)
            intervals.append((started_at, anyio.current_time()))

    def is_harmed(self, name: str, start: float, end: float) -> bool:
        """Whether a target was harmed within a time."""
        return any(
            first - MARGIN_SECONDS <= end and start <= last + MARGIN_SECONDS
            for first, last in self._intervals.get(name, ())
        )


def name_instance(number: int) -> str:
    """Return the name of an instance in the log."""
    return f"instance-{number}"


def name_entry(number: int) -> str:
    """Return the name of an entry in the log."""
    return f"entry-{number}"
