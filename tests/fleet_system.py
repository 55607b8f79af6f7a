# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A relay in front of stand-in upstreams, in virtual time."""

import contextlib
import random
import typing

import anyio
import attrs

from crowdeck import chain
from crowdeck import errors
from crowdeck import http
from crowdeck import instance as instances
from crowdeck.membership import upstreams as registries
from crowdeck import pipeline
from crowdeck.quarantine import tracker as trackers
from crowdeck.relay import context as contexts
from crowdeck.relay import interfaces
from crowdeck.relay import relay as relays
from crowdeck.relay import request as requests
from crowdeck.relay import stalls
from crowdeck import route as routes
from crowdeck.routing import budget as budgets
from crowdeck.routing import hops
from crowdeck.routing import usage as usages
from crowdeck.standin import chain_fleet
from crowdeck.state import objects as stores

ZONES = ("plateau", "almadies")
PROFILE = chain.EngineProfile(
    layer_count=80,
    layer_mb=1750.0,
    kv_bytes_per_token=1_180_000.0,
    step_ms=0.85,
    sequence_ms=0.008,
    context_ms_per_1000_tokens=0.01,
    prefill_tokens_per_second=196_000.0,
    activation_bytes=59_000.0,
    zone_link_bytes_per_second=1.125e9,
    load_seconds=14.0,
    concurrent_loads=6,
    slots=96,
    mean_prompt_tokens=772.0,
    mean_answer_tokens=172.0,
    cards={
        "large": chain.AcceleratorType("large", 72_000.0, 1.4, 1.0),
        "small": chain.AcceleratorType("small", 21_600.0, 16.0, 8.2),
    },
)
MODEL = "assistant"
PLAIN = "records"


def upstream(
    name: str,
    zone: str = "plateau",
    layers: tuple[int, int] | None = None,
    card: str = "small",
    service: str = MODEL,
) -> chain.Upstream:
    """Return an upstream instance with an address derived from its name."""
    number = (
        sum(ord(letter) * 31**index for index, letter in enumerate(name))
        % 65_000
    )
    return chain.Upstream(
        name=name,
        service=service,
        address=instances.Address("10.0.0.1", 1 + number),
        availability_zone=zone,
        slots=6,
        is_leaving=False,
        card=card,
        layers=pipeline.LayerRange(*layers) if layers else None,
    )


def make_route(
    repeat: routes.RepeatPolicy, **changes: typing.Any
) -> routes.Route:
    """Return a route of the host ``desk``.

    :param changes: fields of the route that differ from the defaults.
    """
    is_stream = repeat is routes.RepeatPolicy.STREAM
    service = MODEL if is_stream else PLAIN
    route = routes.Route(
        name=str(repeat),
        host="desk",
        prefix=f"/{repeat}/",
        repeat=repeat,
        shares=(routes.TrafficShare(service, 1.0),),
        max_attempts=2,
        timeout_seconds=20.0 if is_stream else 1.5,
        objective_seconds=0.5,
        max_pause_seconds=0.2 if is_stream else 0.0,
        priority=1,
        is_anonymous=False,
        is_resumable=is_stream,
    )
    return attrs.evolve(route, **changes)


def make_config(
    version: int = 1, config_routes: tuple[routes.Route, ...] | None = None
) -> routes.FleetConfig:
    """Return a config with a route of each kind and one team."""
    if config_routes is None:
        config_routes = tuple(
            make_route(repeat) for repeat in routes.RepeatPolicy
        )
    return routes.FleetConfig(
        version=version,
        routes=config_routes,
        services=(
            routes.Service(MODEL, 100, PROFILE),
            routes.Service(PLAIN, 100),
        ),
        teams=(routes.TeamKeys("kiosks", frozenset({"secret"})),),
        limits=routes.Limits(),
    )


class Caller:
    """A caller that records its answer.

    :ivar times: loop times at which pieces of the body arrived.
    """

    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.is_complete = False
        self.times: list[float] = []
        self.error: errors.CrowdeckError | None = None

    @property
    def has_started(self) -> bool:
        return self.status != 0

    @property
    def longest_pause(self) -> float:
        pairs = zip(self.times, self.times[1:], strict=False)
        return max((after - before for before, after in pairs), default=0.0)

    async def start(self, status: int, headers: http.RawHeaders) -> None:
        assert not self.status, "an answer has started twice"
        self.status = status

    async def write(self, piece: bytes) -> None:
        self.body += piece
        self.times.append(anyio.current_time())

    async def finish(self) -> None:
        self.is_complete = True

    async def reply(
        self, status: int, headers: http.RawHeaders, body: bytes
    ) -> None:
        await self.start(status, headers)
        self.body = body
        self.is_complete = True


class FleetSystem:
    """One entry's relay, and the fleet of upstreams behind it.

    :param name: name of the entry, which also seeds its random numbers.
    :param started_at: loop time at which its process started.
    :param upstreams: used instead of the stand-in fleet's client.
    """

    def __init__(
        self,
        fleet: chain_fleet.ChainFleet | None = None,
        name: str = "",
        started_at: float = float("-inf"),
        upstreams: interfaces.Upstreams | None = None,
    ) -> None:
        self.fleet = fleet or chain_fleet.ChainFleet()
        self.name = name
        self.listed: dict[str, chain.Upstream] = {}
        self.registry = registries.UpstreamRegistry(
            lambda stored: self.listed[stored.name]
        )
        self.usage = usages.InFlight()
        self.client = chain_fleet.FleetClient(self.fleet)
        self.context = contexts.RelayContext(
            zone=ZONES[0],
            registry=self.registry,
            client=upstreams or self.client,
            usage=self.usage,
            planner=hops.HopPlanner(self.usage),
            budget_settings=contexts.RetryBudgetSettings(
                ratio=0.2, slack=100.0, window_seconds=10.0
            ),
            started_at=started_at,
            name=name,
            # Entries with the same seed would make the same random choices.
            rng=random.Random(name or 1),
            quarantine=trackers.QuarantineTracker(anyio.current_time),
        )
        self.config = make_config()
        self.holder = relays.ConfigHolder(lambda _: self.config, "main")
        self.config_age_seconds = 0.0
        self.monitor = stalls.StallMonitor(self.context)
        self.relay = relays.Relay(
            self.context,
            self.holder,
            self.monitor,
            lambda: self.config_age_seconds,
            max_config_age_seconds=3.5,
        )
        # A restarted entry must not reuse the request ids of its earlier
        # process.
        self._prefix = (
            f"{name}r" if started_at < 0.0 else f"{name}@{started_at:.3f}r"
        )
        self._request_count = 0

    def install(self, config: routes.FleetConfig) -> None:
        """Deliver a config as the store would."""
        self.config = config
        self.holder.on_listed(
            (stores.StoredObject("config", "main", config.version, b"{}"),)
        )

    def add(self, listed: chain.Upstream) -> chain_fleet.StandinUpstream:
        """Add an upstream instance and list it."""
        target = self.fleet.add(listed)
        self.list_instance(listed)
        return target

    def list_instance(self, listed: chain.Upstream) -> None:
        """Deliver an instance's listing as the store would."""
        incarnation_id = listed.incarnation.id
        self.listed[incarnation_id] = listed
        self.registry.on_changed(
            (stores.StoredObject("upstreams", incarnation_id, 1, b"{}"),), ()
        )

    def add_model(self, copies: int = 2, parts: int = 4) -> None:
        """Add engines that hold ``copies`` of the model in each zone."""
        for zone in ZONES:
            for copy in range(copies):
                ranges = chain_fleet.split_layers(PROFILE.layer_count, parts)
                for part, layers in enumerate(ranges):
                    self.add(
                        upstream(
                            f"{zone}-{copy}-{part}",
                            zone,
                            (layers.first, layers.end),
                            "large",
                        )
                    )

    def request(
        self, repeat: routes.RepeatPolicy, **changes: typing.Any
    ) -> requests.CallerRequest:
        """Return a new request for the route with that policy.

        :param changes: fields of the request that differ from the defaults.
        """
        self._request_count += 1
        request = requests.CallerRequest(
            id=f"{self._prefix}{self._request_count}",
            method="POST",
            target=f"/{repeat}/x",
            path=f"/{repeat}/x",
            host="desk",
            key="secret",
            headers=[],
            body=b"",
            timeout_seconds=20.0,
            arrived=anyio.current_time(),
            token_counts=requests.TokenCounts(700, 400, 100),
        )
        return attrs.evolve(request, **changes)

    async def ask(self, request: requests.CallerRequest) -> Caller:
        """Send a request and wait for its answer or error."""
        caller = Caller()
        try:
            await self.relay.serve(request, caller)
        except errors.CrowdeckError as error:
            caller.error = error
        return caller


def spend_retry(budget: budgets.SharedRetryBudget) -> bool:
    """Spend one retry of a budget; return false if it is spent."""
    with contextlib.closing(budget.track_sends()) as send_tracker:
        if not send_tracker.reserve():
            return False
        send_tracker.note_sent()
        send_tracker.note_arrived()
        return True


def whole_answer(request_id: str, events: int) -> bytes:
    """Return the body of a stream's complete answer."""
    return b"".join(
        chain_fleet.event(request_id, number) for number in range(events)
    )


async def run_with(
    system: FleetSystem,
    work: typing.Callable[[FleetSystem], typing.Awaitable[None]],
) -> None:
    """Run a test's work while the stall monitor runs."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(system.monitor.run)
        await work(system)
        tasks.cancel_scope.cancel()
