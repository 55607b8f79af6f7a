# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Instances that asked this entry for rest, and until when."""

import anyio
import attrs


@attrs.define
class _Rest:
    since: float
    until: float
    is_asked: bool = False


class Backoffs:
    """Times of rest by the names of instances."""

    def __init__(self) -> None:
        self._rests: dict[str, _Rest] = {}

    def begin(self, name: str, seconds: float) -> bool:
        """Note that an instance wants rest; false if it does until later.

        A shorter time asked for later takes nothing back: it was said to
        another request of ours, and the longer one still holds.
        """
        now = anyio.current_time()
        rest = self._rests.get(name)
        until = now + seconds
        if until <= (rest.until if rest is not None else 0.0):
            return False
        if rest is None or rest.until <= now:
            self._rests[name] = _Rest(now, until)
        else:
            rest.until = until
        return True

    def is_resting(self, name: str) -> bool:
        """Whether an instance wants nothing from us now."""
        rest = self._rests.get(name)
        return rest is not None and rest.until > anyio.current_time()

    def seconds_left(self, name: str) -> float:
        """Return for how long an instance still wants nothing from us."""
        rest = self._rests.get(name)
        if rest is None:
            return 0.0
        return max(0.0, rest.until - anyio.current_time())

    def may_probe(self, name: str) -> bool:
        """Whether an instance may be asked, or led, for a stream's sake.

        Once in a time of rest: a stream that passes an instance which fell
        silent is lost otherwise.
        """
        if not self.is_resting(name):
            return True
        rest = self._rests[name]
        if rest.is_asked:
            return False
        rest.is_asked = True
        return True

    def now(self) -> tuple[tuple[str, float, float], ...]:
        """Return who rests: name, since when, until when."""
        now = anyio.current_time()
        return tuple(
            (name, rest.since, rest.until)
            for name, rest in self._rests.items()
            if rest.until > now
        )

    def forget(self, name: str) -> None:
        """Forget an instance that has ended."""
        self._rests.pop(name, None)
