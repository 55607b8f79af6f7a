# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Estimates of upstream load from this entry's requests in progress."""

import collections

import anyio
import attrs

from crowdeck import chain

# Age at which a load report expires. By then half of the requests that it
# counted have ended.
LOAD_REPORT_TTL_SECONDS = 1.5
# Length of the sliding window for transfers between zones. About the time that
# a prompt takes to cross a link which several others use.
LINK_WINDOW_SECONDS = 1.0
# Time over which the load that an engine had when this entry started is
# reduced to zero. About the duration of a stream.
EXISTING_LOAD_SECONDS = 2.5


@attrs.frozen
class _ExistingLoad:
    """The load that an engine had when this entry started.

    :ivar token_layers: tokens in its cache, times layers.
    :ivar recorded_at: loop time.
    """

    token_layers: float
    recorded_at: float


@attrs.frozen
class _LoadReport:
    """The load that a first engine reported.

    :ivar running: requests of all entries in progress.
    :ivar recorded_at: loop time.
    """

    running: int
    recorded_at: float


class InFlight:
    """This entry's requests in progress, by upstream instance.

    Other entries use the same engines. Load is estimated from this entry's own
    requests, multiplied by the ratio of the requests that the first engine
    reports as running to this entry's requests there. Without a recent report,
    each entry of the availability zone is assumed to send as much as this one.
    """

    def __init__(self) -> None:
        # By engine, then by the first engine of the path.
        self._sequences: dict[str, collections.Counter[str]] = {}
        self._token_layers: dict[str, collections.Counter[str]] = {}
        self._own_requests: collections.Counter[str] = collections.Counter()
        self._reported: dict[str, _LoadReport] = {}
        self._existing: dict[str, _ExistingLoad] = {}
        # Loop time and tokens of each transfer, by the pair of zones.
        self._crossings: dict[
            frozenset[str], collections.deque[tuple[float, float]]
        ] = {}
        self._zone_entry_count = 1
        self._entry_count = 1

    def set_entry_count(self, zone_entries: int, all_entries: int = 0) -> None:
        """Set the numbers of entries, this one included.

        :param zone_entries: entries of this availability zone.
        :param all_entries: entries of all zones.
        """
        self._zone_entry_count = max(1, zone_entries)
        self._entry_count = max(self._zone_entry_count, all_entries)

    def zone_link_utilization(
        self, zone: str, other_zone: str, profile: chain.EngineProfile
    ) -> float:
        """Return the used share of the link between two zones."""
        crossings = self._crossings.get(frozenset((zone, other_zone)))
        if not crossings or not profile.zone_link_bytes_per_second:
            return 0.0
        since = anyio.current_time() - LINK_WINDOW_SECONDS
        while crossings and crossings[0][0] < since:
            crossings.popleft()
        tokens = sum(count for _, count in crossings)
        used_bytes = tokens * profile.activation_bytes * self._entry_count
        return used_bytes / (
            profile.zone_link_bytes_per_second * LINK_WINDOW_SECONDS
        )

    def note_load(self, head: chain.Upstream, running: int) -> None:
        """Record how many requests a first engine reports as running."""
        now = anyio.current_time()
        for expired in [
            name
            for name, report in self._reported.items()
            if _is_expired(report, now)
        ]:
            del self._reported[expired]
        self._reported[head.name] = _LoadReport(running, now)

    def note_existing_load(
        self, upstream: chain.Upstream, token_layers: float
    ) -> None:
        """Record the load that an engine had when this entry started.

        :param token_layers: tokens in its cache, times layers.
        """
        now = anyio.current_time()
        self._existing[upstream.name] = _ExistingLoad(token_layers, now)

    def sequences(self, upstream: chain.Upstream) -> float:
        """Estimate how many requests, of all entries, use an engine."""
        return self._estimate(self._sequences.get(upstream.name))

    def own_requests(self, upstream: chain.Upstream) -> int:
        """Return the number of this entry's requests at an instance."""
        return self._own_requests[upstream.name]

    def cache_utilization(
        self, upstream: chain.Upstream, profile: chain.EngineProfile
    ) -> float:
        """Estimate the used share of an engine's cache; it may exceed 1."""
        if upstream.layers is None:
            return 0.0
        count = upstream.layers.end - upstream.layers.first
        capacity = profile.token_capacity(upstream.card, count) * count
        used = self._estimate(self._token_layers.get(upstream.name))
        if upstream.layers.first == 0 and not used:
            # Without own requests the reported number cannot be applied as a
            # ratio, so it is used directly.
            mean_tokens = (
                profile.mean_prompt_tokens + profile.mean_answer_tokens / 2.0
            )
            used = self._reported_running(upstream.name) * mean_tokens * count
        used += self._existing_token_layers(upstream.name)
        return used / max(1.0, capacity)

    def _existing_token_layers(self, name: str) -> float:
        """Return the part of an engine's existing load that still counts.

        The result is in tokens times layers.
        """
        existing = self._existing.get(name)
        if existing is None:
            return 0.0
        age_seconds = anyio.current_time() - existing.recorded_at
        if age_seconds >= EXISTING_LOAD_SECONDS:
            del self._existing[name]
            return 0.0
        return existing.token_layers * (
            1.0 - age_seconds / EXISTING_LOAD_SECONDS
        )

    def add_request(self, path: chain.ChainPath, tokens: float) -> None:
        """Count a request on a path.

        :param tokens: mean tokens that it holds while it runs.
        """
        self._add(path, tokens, 1)
        for previous, hop in zip(path.hops, path.hops[1:], strict=False):
            zone = previous.upstream.availability_zone
            other_zone = hop.upstream.availability_zone
            if zone != other_zone:
                crossings = self._crossings.setdefault(
                    frozenset((zone, other_zone)), collections.deque()
                )
                crossings.append((anyio.current_time(), tokens))

    def remove_request(self, path: chain.ChainPath, tokens: float) -> None:
        """Stop counting a request on a path.

        Its transfers between zones still count.
        """
        self._add(path, tokens, -1)

    def add_call(self, upstream: chain.Upstream) -> None:
        """Count a call of a plain service."""
        self._own_requests[upstream.name] += 1

    def remove_call(self, upstream: chain.Upstream) -> None:
        """Undo :meth:`add_call`."""
        self._own_requests[upstream.name] -= 1
        if not self._own_requests[upstream.name]:
            del self._own_requests[upstream.name]

    def _add(self, path: chain.ChainPath, tokens: float, sign: int) -> None:
        head = path.head.name
        self._own_requests[head] += sign
        for hop in path.hops:
            name = hop.upstream.name
            layers = hop.layers.end - hop.layers.first
            sequences = self._sequences.setdefault(name, collections.Counter())
            token_layers = self._token_layers.setdefault(
                name, collections.Counter()
            )
            sequences[head] += sign
            token_layers[head] += sign * int(tokens) * layers
            if not sequences[head]:
                # Prevents a leak: engines get new names when they restart.
                del sequences[head]
                del token_layers[head]
            if not sequences:
                del self._sequences[name]
                del self._token_layers[name]
        if not self._own_requests[head]:
            del self._own_requests[head]

    def _estimate(self, own_by_head: collections.Counter[str] | None) -> float:
        """Estimate the load of all entries from this entry's own load.

        :param own_by_head: this entry's load, by first engine.
        """
        if not own_by_head:
            return 0.0
        return sum(
            count * self._scale(head) for head, count in own_by_head.items()
        )

    def _scale(self, head: str) -> float:
        """Return the ratio of all entries' requests to this entry's own."""
        running = self._reported_running(head)
        if running <= 0:
            return float(self._zone_entry_count)
        return max(1.0, running / max(1, self._own_requests[head]))

    def _reported_running(self, head: str) -> int:
        report = self._reported.get(head)
        if report is None or _is_expired(report, anyio.current_time()):
            return 0
        return report.running


def _is_expired(report: _LoadReport, now: float) -> bool:
    return now - report.recorded_at > LOAD_REPORT_TTL_SECONDS
