# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0
"""Sums of what the entries of a fleet hold on its engines."""

import collections
import typing

from crowdeck.routing import usage as usages

_NO_LOAD = usages.EngineLoad()


def combine(loads: typing.Iterable[usages.EntryLoad]) -> usages.EntryLoad:
    """Return the sum of loads that have no entry in common."""
    entry_count = 0
    engines: dict[str, usages.EngineLoad] = {}
    waiting: collections.Counter[tuple[str, int]] = collections.Counter()
    link_tokens: dict[tuple[str, str], float] = {}
    lost_engines: collections.Counter[str] = collections.Counter()
    for load in loads:
        entry_count += load.entry_count
        for name, engine in load.engines.items():
            known = engines.get(name)
            engines[name] = engine if known is None else known.plus(engine)
        waiting.update(load.waiting)
        lost_engines.update(load.lost_engines)
        for zones, tokens in load.zone_link_tokens.items():
            link_tokens[zones] = link_tokens.get(zones, 0.0) + tokens
    return usages.EntryLoad(
        entry_count, engines, dict(waiting), link_tokens, dict(lost_engines)
    )


def without(
    total: usages.EntryLoad, part: usages.EntryLoad
) -> usages.EntryLoad:
    """Return a sum without one of the loads that it covers."""
    engines = dict(total.engines)
    for name, engine in part.engines.items():
        rest = engines.pop(name, _NO_LOAD).minus(engine)
        if rest != _NO_LOAD:
            engines[name] = rest
    waiting = dict(total.waiting)
    for key, count in part.waiting.items():
        waiting[key] = max(0, waiting.get(key, 0) - count)
    link_tokens = dict(total.zone_link_tokens)
    for zones, tokens in part.zone_link_tokens.items():
        link_tokens[zones] = max(0.0, link_tokens.get(zones, 0.0) - tokens)
    lost_engines = collections.Counter(total.lost_engines)
    lost_engines.subtract(part.lost_engines)
    return usages.EntryLoad(
        max(0, total.entry_count - part.entry_count),
        engines,
        {key: count for key, count in waiting.items() if count},
        {zones: tokens for zones, tokens in link_tokens.items() if tokens},
        dict(+lost_engines),
    )
