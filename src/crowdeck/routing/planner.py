# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Choice of the path that a request takes through the stages.

The cost of a path is the predicted time of one position along it: each
stage's queue and step, and each link on the way. A shortest-path search
over layer boundaries finds the cheapest; near-equal ones are chosen among
at random, so that many entries with the same lagging reports do not all
pick the same stages.
"""

import random

import attrs

from crowdeck import availability_zone as zones
from crowdeck import errors
from crowdeck.membership import fleet as fleets
from crowdeck.observe import counters
from crowdeck import pipeline
from crowdeck.routing import policies

# Costs within a tenth of each other cannot be told apart by reports that
# are some tenths of a second old; see docs/decisions/0007.
NEAR_EQUAL = 0.1
# Promises are about 95 of 100 gaps, predictions about their mean; bench's
# steady scenario gave 1.3 to 1.5 between the two.
GAP_SPREAD = 1.4


@attrs.frozen
class Candidate:
    """One sidecar that could be a stage."""

    view: fleets.SidecarView
    offer: pipeline.Offer
    seconds: float

    @property
    def ref(self) -> pipeline.StageRef:
        """This run of it, as a stage."""
        return pipeline.StageRef(
            instance=self.view.name,
            incarnation=self.view.incarnation,
            first_layer=self.offer.layers.first,
            end_layer=self.offer.layers.end,
        )


@attrs.frozen
class _Partial:
    """The cheapest way found to a stage."""

    seconds: float
    stages: tuple[Candidate, ...]


class Planner:
    """Chooses paths for one entry."""

    def __init__(
        self,
        fleet: fleets.Fleet,
        zone_links: zones.ZoneLinks,
        availability_zone: str,
        randomness: random.Random,
        policy: policies.Policy,
    ) -> None:
        self._policy = policy
        self._fleet = fleet
        self._zone_links = zone_links
        self._zone = availability_zone
        self._random = randomness

    @property
    def models(self) -> tuple[str, ...]:
        """Names of the models that some usable sidecar holds a part of."""
        names = {
            offer.model for view in self._fleet.usable for offer in view.offers
        }
        return tuple(sorted(names))

    def choose(
        self,
        model: str,
        avoid: frozenset[str] = frozenset(),
        adapter: str = "",
        gap_limit: float = 0.0,
    ) -> pipeline.Path:
        """Return a path for a new attempt.

        :param avoid: instances not to use.
        :param gap_limit: seconds between tokens that may be predicted at
            the most; 0 for any.
        :raises CrowdeckError: ``NO_PATH`` when none covers every layer,
            ``OVERLOADED`` when all would be too slow.
        """
        groups = self._group(model, adapter, avoid)
        found = [
            one
            for group in groups.values()
            if (one := self._search(group)) is not None
        ]
        if not found:
            counters.COUNTERS.add("planner.no_path")
            raise errors.CrowdeckError(
                errors.Code.NO_PATH,
                f"no live stages cover all layers of {model}",
                retry_after=1.0,
            )
        best = min(found, key=lambda one: one.seconds)
        self._require_fast(best, gap_limit)
        first = best.stages[0].offer
        return pipeline.Path(
            model=first.model,
            version=first.version,
            adapter=first.adapter,
            layer_count=first.layer_count,
            stages=tuple(candidate.ref for candidate in best.stages),
        )

    def acquire(self, path: pipeline.Path) -> None:
        """Count an answer as in progress on a path."""
        for view in self._views(path):
            view.own_inflight += 1
            view.times_chosen += 1

    def release(self, path: pipeline.Path) -> None:
        """Count it as no longer in progress there."""
        for view in self._views(path):
            # A view that was dropped and made anew starts from nothing.
            view.own_inflight = max(0, view.own_inflight - 1)

    def _views(self, path: pipeline.Path) -> list[fleets.SidecarView]:
        found = [self._fleet.find(stage.instance) for stage in path.stages]
        return [view for view in found if view is not None]

    def _require_fast(self, best: _Partial, gap_limit: float) -> None:
        if not gap_limit:
            return
        gap = GAP_SPREAD * max(
            policies.congestion_seconds(one.view, one.offer)
            for one in best.stages
        )
        if gap > gap_limit:
            counters.COUNTERS.add("planner.overloaded")
            # Streams end all the time, so room comes soon; the jitter
            # keeps those that were refused together from coming back so.
            raise errors.CrowdeckError(
                errors.Code.OVERLOADED,
                f"tokens would come {gap:.2f} s apart, over the "
                f"{gap_limit:g} s that are promised",
                retry_after=self._random.uniform(1.0, 3.0),
            )

    def replace(
        self, path: pipeline.Path, instance: str
    ) -> pipeline.Path | None:
        """Return ``path`` with another stage in place of ``instance``.

        Only a stage of the very same layers, model version and adapter
        will do, since it takes over the KV cache.
        """
        used = {stage.instance for stage in path.stages}
        leaving = next(
            stage for stage in path.stages if stage.instance == instance
        )
        group = self._group(path.model, path.adapter, frozenset(used))
        fitting = [
            candidate
            for candidate in group.get((path.version, path.layer_count), [])
            if candidate.ref.first_layer == leaving.first_layer
            and candidate.ref.end_layer == leaving.end_layer
        ]
        if not fitting:
            return None
        chosen = min(fitting, key=lambda one: one.seconds)
        return attrs.evolve(
            path,
            stages=tuple(
                chosen.ref if stage is leaving else stage
                for stage in path.stages
            ),
        )

    def _group(
        self, model: str, adapter: str, avoid: frozenset[str]
    ) -> dict[tuple[str, int], list[Candidate]]:
        """Return candidates by version: a path never mixes two."""
        groups: dict[tuple[str, int], list[Candidate]] = {}
        for view in self._fleet.usable:
            if view.name in avoid:
                continue
            for offer in view.offers:
                if (offer.model, offer.adapter) != (model, adapter):
                    continue
                spread = 1.0 + self._random.uniform(0.0, NEAR_EQUAL)
                cost = self._policy.cost(view, offer)
                candidate = Candidate(view, offer, cost * spread)
                key = (offer.version, offer.layer_count)
                groups.setdefault(key, []).append(candidate)
        return groups

    def _search(self, group: list[Candidate]) -> _Partial | None:
        """Find the cheapest path, by its stages' first layers in order.

        A stage extends every way that ends at its first layer, and since
        candidates come sorted by that layer, each way to it is complete
        when it is reached.
        """
        best: dict[int, dict[str, _Partial]] = {}
        for candidate in sorted(group, key=lambda one: one.ref.first_layer):
            way = self._way_to(candidate, best)
            if way is not None:
                ends = best.setdefault(candidate.ref.end_layer, {})
                ends[candidate.view.name] = way
        whole = best.get(group[0].offer.layer_count, {})
        closed = [self._close(way) for way in whole.values()]
        return min(closed, key=lambda one: one.seconds, default=None)

    def _way_to(
        self, candidate: Candidate, best: dict[int, dict[str, _Partial]]
    ) -> _Partial | None:
        first = candidate.ref.first_layer
        if first == 0:
            seconds = candidate.seconds + self._entry_seconds(candidate)
            return _Partial(seconds, (candidate,))
        ways = [
            _Partial(
                way.seconds
                + self._link_seconds(way.stages[-1], candidate)
                + candidate.seconds,
                (*way.stages, candidate),
            )
            for way in best.get(first, {}).values()
        ]
        return min(ways, key=lambda one: one.seconds, default=None)

    def _close(self, way: _Partial) -> _Partial:
        """Add the token's way back from the tail to the head."""
        back = self._link_seconds(way.stages[-1], way.stages[0])
        return _Partial(way.seconds + back, way.stages)

    def _entry_seconds(self, candidate: Candidate) -> float:
        zone = candidate.view.instance.availability_zone
        return self._zone_links.between(self._zone, zone).seconds

    def _link_seconds(self, one: Candidate, other: Candidate) -> float:
        return self._zone_links.between(
            one.view.instance.availability_zone,
            other.view.instance.availability_zone,
        ).seconds
