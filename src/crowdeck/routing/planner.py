# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Chooses paths over the pipeline stages of sidecars.

With the policy ``crowdeck`` the cost of a path is based on the predicted time
of a token along it; the other policies count answers or choices. Link delays
are added in seconds. A shortest-path search over layer boundaries finds the
cheapest path. Costs are jittered, so that entries with the same outdated
reports do not all choose the same stages.
"""

import random

import attrs

from crowdeck import availability_zone as zones
from crowdeck import errors
from crowdeck.membership import fleet as fleets
from crowdeck.observe import counters
from crowdeck import pipeline
from crowdeck.routing import policies

# Largest relative jitter. Reports are too old to show smaller differences of
# cost; see docs/decisions/0007.
COST_JITTER = 0.1
# 95th percentile of the time between tokens, divided by its predicted mean.
# Limits refer to the 95th percentile. It is 1.3 to 1.5 under steady load.
GAP_P95_FACTOR = 1.4


@attrs.frozen
class Candidate:
    """A sidecar that could be a stage.

    :ivar cost: cost by the policy, with jitter.
    """

    view: fleets.SidecarView
    offer: pipeline.Offer
    cost: float

    @property
    def ref(self) -> pipeline.StageRef:
        """Reference to the sidecar's current incarnation as a stage."""
        return pipeline.StageRef(
            instance=self.view.name,
            incarnation=self.view.incarnation,
            first_layer=self.offer.layers.first,
            end_layer=self.offer.layers.end,
        )


@attrs.frozen
class _PartialPath:
    """The cheapest path found up to a stage."""

    cost: float
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
        gap_limit_seconds: float = 0.0,
    ) -> pipeline.Path:
        """Return a path for a new attempt.

        :param avoid: instances not to use.
        :param gap_limit_seconds: limit on the predicted 95th percentile of
            the time between tokens; 0 for none.
        :raises CrowdeckError: ``NO_PATH`` when none covers every layer,
            ``OVERLOADED`` when the cheapest is predicted to exceed
            ``gap_limit_seconds``.
        """
        groups = self._candidates_by_version(model, adapter, avoid)
        complete_paths = [
            path
            for group in groups.values()
            if (path := self._search(group)) is not None
        ]
        if not complete_paths:
            counters.COUNTERS.add("planner.no_path")
            raise errors.CrowdeckError(
                errors.Code.NO_PATH,
                f"no usable stages cover all layers of {model}",
                retry_after=1.0,
            )
        best = min(complete_paths, key=lambda path: path.cost)
        self._check_gap(best, gap_limit_seconds)
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
        """Count an answer as no longer in progress on a path."""
        for view in self._views(path):
            # If the view was replaced meanwhile, its count began at 0.
            view.own_inflight = max(0, view.own_inflight - 1)

    def _views(self, path: pipeline.Path) -> list[fleets.SidecarView]:
        found = [self._fleet.find(stage.instance) for stage in path.stages]
        return [view for view in found if view is not None]

    def _check_gap(self, best: _PartialPath, gap_limit_seconds: float) -> None:
        if not gap_limit_seconds:
            return
        gap_seconds = GAP_P95_FACTOR * max(
            policies.min_token_gap_seconds(candidate.view, candidate.offer)
            for candidate in best.stages
        )
        if gap_seconds > gap_limit_seconds:
            counters.COUNTERS.add("planner.overloaded")
            # Capacity becomes free as streams end. The jitter spreads the
            # retries of requests that were refused together.
            raise errors.CrowdeckError(
                errors.Code.OVERLOADED,
                "the predicted 95th percentile of the time between tokens is "
                f"{gap_seconds:.2f} s, the limit is {gap_limit_seconds:g} s",
                retry_after=self._random.uniform(1.0, 3.0),
            )

    def replace(
        self, path: pipeline.Path, instance: str
    ) -> pipeline.Path | None:
        """Return ``path`` with another stage in place of ``instance``.

        The other stage must have the same layers, model version and
        adapter, since it takes over the KV cache. Return ``None`` if there
        is no such stage.
        """
        used = {stage.instance for stage in path.stages}
        replaced = next(
            stage for stage in path.stages if stage.instance == instance
        )
        group = self._candidates_by_version(
            path.model, path.adapter, frozenset(used)
        )
        replacements = [
            candidate
            for candidate in group.get((path.version, path.layer_count), [])
            if candidate.ref.first_layer == replaced.first_layer
            and candidate.ref.end_layer == replaced.end_layer
        ]
        if not replacements:
            return None
        chosen = min(replacements, key=lambda candidate: candidate.cost)
        return attrs.evolve(
            path,
            stages=tuple(
                chosen.ref if stage is replaced else stage
                for stage in path.stages
            ),
        )

    def _candidates_by_version(
        self, model: str, adapter: str, avoid: frozenset[str]
    ) -> dict[tuple[str, int], list[Candidate]]:
        """Return candidates by version and layer count.

        A path has stages of one version and layer count only.
        """
        groups: dict[tuple[str, int], list[Candidate]] = {}
        for view in self._fleet.usable:
            if view.name in avoid:
                continue
            for offer in view.offers:
                if (offer.model, offer.adapter) != (model, adapter):
                    continue
                jitter = 1.0 + self._random.uniform(0.0, COST_JITTER)
                cost = self._policy.cost(view, offer)
                candidate = Candidate(view, offer, cost * jitter)
                key = (offer.version, offer.layer_count)
                groups.setdefault(key, []).append(candidate)
        return groups

    def _search(self, group: list[Candidate]) -> _PartialPath | None:
        """Return the cheapest path, if any covers all layers.

        Candidates are visited by first layer, so all partial paths that a
        candidate can extend are known when it is reached.
        """
        partials_by_end: dict[int, dict[str, _PartialPath]] = {}
        for candidate in sorted(
            group, key=lambda candidate: candidate.ref.first_layer
        ):
            partial = self._extend_to(candidate, partials_by_end)
            if partial is not None:
                by_last_stage = partials_by_end.setdefault(
                    candidate.ref.end_layer, {}
                )
                by_last_stage[candidate.view.name] = partial
        complete = partials_by_end.get(group[0].offer.layer_count, {})
        paths = [
            self._add_return_link(partial) for partial in complete.values()
        ]
        return min(paths, key=lambda path: path.cost, default=None)

    def _extend_to(
        self,
        candidate: Candidate,
        partials_by_end: dict[int, dict[str, _PartialPath]],
    ) -> _PartialPath | None:
        first = candidate.ref.first_layer
        if first == 0:
            cost = candidate.cost + self._entry_link_seconds(candidate)
            return _PartialPath(cost, (candidate,))
        extended = [
            _PartialPath(
                partial.cost
                + self._link_seconds(partial.stages[-1], candidate)
                + candidate.cost,
                (*partial.stages, candidate),
            )
            for partial in partials_by_end.get(first, {}).values()
        ]
        return min(extended, key=lambda partial: partial.cost, default=None)

    def _add_return_link(self, partial: _PartialPath) -> _PartialPath:
        """Add the link by which a token returns from the tail to the head."""
        return_seconds = self._link_seconds(
            partial.stages[-1], partial.stages[0]
        )
        return _PartialPath(partial.cost + return_seconds, partial.stages)

    def _entry_link_seconds(self, candidate: Candidate) -> float:
        zone = candidate.view.instance.availability_zone
        return self._zone_links.between(self._zone, zone).delay_seconds

    def _link_seconds(self, sender: Candidate, receiver: Candidate) -> float:
        return self._zone_links.between(
            sender.view.instance.availability_zone,
            receiver.view.instance.availability_zone,
        ).delay_seconds
