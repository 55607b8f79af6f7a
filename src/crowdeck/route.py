# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Routes, services and teams of one version of the operator's config."""

import enum

import attrs

from crowdeck import chain


class RepeatPolicy(enum.StrEnum):
    """Whether a route's requests may be repeated.

    :ivar IDEMPOTENT: they may be repeated.
    :ivar ONCE: they are not repeated if they may have run.
    :ivar STREAM: they are answered by streams, which are repeated only if
        the route is resumable.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@attrs.frozen
class TrafficShare:
    """A service's share of a route's requests.

    :ivar weight: relative to the weights of the route's other shares.
    """

    service: str
    weight: float


@attrs.frozen
class Urgency:
    """The rank of a request among the urgencies that its service has.

    :ivar rank: 0 for the most urgent.
    :ivar rank_count: number of ranks that the config gives the service. With
        a single rank, requests are served in the order of their arrival.
    """

    rank: int = 0
    rank_count: int = 1

    @property
    def is_ranked(self) -> bool:
        """Whether the service has requests of different urgency."""
        return self.rank_count > 1


@attrs.frozen
class Route:
    """Where requests of one host and path prefix go, and how.

    :ivar max_attempts: maximum number of upstreams for one request.
    :ivar timeout_seconds: maximum duration of a request.
    :ivar objective_seconds: latency objective of an answer; for streams, of
        the first event.
    :ivar max_pause_seconds: latency objective of the pause between two events
        of a stream; 0 where the config sets none, so that
        ``objective_seconds`` applies.
    :ivar is_anonymous: whether requests need no key.
    :ivar is_resumable: whether another upstream may continue a stream.
    """

    name: str
    host: str
    prefix: str
    repeat: RepeatPolicy
    shares: tuple[TrafficShare, ...]
    max_attempts: int
    timeout_seconds: float
    objective_seconds: float
    max_pause_seconds: float
    priority: int
    is_anonymous: bool
    is_resumable: bool

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.repeat is RepeatPolicy.IDEMPOTENT or self.is_resumable


@attrs.frozen
class Service:
    """A group of equivalent upstream instances.

    :ivar profile: performance of its model engines, ``None`` for a plain
        service.
    """

    name: str
    connection_limit: int
    profile: chain.EngineProfile | None = None


@attrs.frozen
class TeamKeys:
    """A team's keys, and its priority if it overrides that of routes."""

    name: str
    keys: frozenset[str] = attrs.field(repr=False)
    priority: int | None = None


@attrs.frozen
class Limits:
    """Limits on the size and duration of callers' requests."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@attrs.frozen
class FleetConfig:
    """One version of the operator's config.

    :ivar teams: ``None`` where the config has no list of teams. With an empty
        list, no key is valid.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    teams: tuple[TeamKeys, ...] | None
    limits: Limits

    @property
    def requires_keys(self) -> bool:
        """Whether requests need a key, except on anonymous routes."""
        return self.teams is not None

    @property
    def listed_teams(self) -> tuple[TeamKeys, ...]:
        """The teams, none where the config has no list of them."""
        return self.teams or ()
