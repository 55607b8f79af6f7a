# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Limits that instances name, in requests a second from all entries."""

from crowdeck import chain
from crowdeck.observe import logs


class RateLimits:
    """The limits that instances name in their answers."""

    def __init__(self) -> None:
        self._limits: dict[str, float] = {}

    def note(self, upstream: chain.Upstream, limit: float | None) -> None:
        """Take the limit that an answer names, or that it names none."""
        before = self._limits.get(upstream.name)
        if limit == before:
            return
        if limit is None:
            del self._limits[upstream.name]
        else:
            self._limits[upstream.name] = limit
        logs.change(
            "upstream_limited",
            upstream=upstream.name,
            address=str(upstream.address),
            per_second=limit,
            before=before,
        )

    def forget(self, upstream: chain.Upstream) -> None:
        """Forget an instance that has ended."""
        self._limits.pop(upstream.name, None)
