# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Backoff periods that instances requested from this entry."""

import anyio
import attrs


@attrs.define
class _Backoff:
    """One backoff period, in event loop time.

    :ivar is_exception_used: whether the one request allowed in it was claimed.
    """

    since: float
    until: float
    is_exception_used: bool = False


class Backoffs:
    """Backoff periods by the names of instances."""

    def __init__(self) -> None:
        self._backoffs: dict[str, _Backoff] = {}

    def begin(self, name: str, seconds: float) -> bool:
        """Begin or extend a backoff; return whether its end has changed.

        A shorter period does not end a longer one early: the responses to two
        requests may arrive in any order.
        """
        now = anyio.current_time()
        backoff = self._backoffs.get(name)
        until = now + seconds
        if until <= (backoff.until if backoff is not None else 0.0):
            return False
        if backoff is None or backoff.until <= now:
            self._backoffs[name] = _Backoff(now, until)
        else:
            backoff.until = until
        return True

    def is_active(self, name: str) -> bool:
        """Whether an instance is in a backoff period now."""
        backoff = self._backoffs.get(name)
        return backoff is not None and backoff.until > anyio.current_time()

    def seconds_left(self, name: str) -> float:
        """Return the seconds left of an instance's backoff, 0 for none."""
        backoff = self._backoffs.get(name)
        if backoff is None:
            return 0.0
        return max(0.0, backoff.until - anyio.current_time())

    def claim_probe(self, name: str) -> bool:
        """Claim the one request that is allowed in a backoff period.

        :return: whether the instance may be contacted to save a stalled
            stream; always true outside a backoff period.
        """
        if not self.is_active(name):
            return True
        backoff = self._backoffs[name]
        if backoff.is_exception_used:
            return False
        backoff.is_exception_used = True
        return True

    def active(self) -> tuple[tuple[str, float, float], ...]:
        """Return name, begin and end of each backoff that is not over.

        Times are event loop times.
        """
        now = anyio.current_time()
        return tuple(
            (name, backoff.since, backoff.until)
            for name, backoff in self._backoffs.items()
            if backoff.until > now
        )

    def forget(self, name: str) -> None:
        """Drop the backoff of an instance that has ended."""
        self._backoffs.pop(name, None)
