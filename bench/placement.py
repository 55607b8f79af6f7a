# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Compares layouts of layers by simulating streams on them.

Run as ``python -m bench.placement``. Path planning, usage estimates and
placement are the code that entries run in production; an engine is simulated
only by its step time. Streams arrive at random and end after their last token,
at simulated times; the clock that usage estimates read does not advance. The
fleets are those of ``fleets.toml`` and random ones, so that a layout is not
fitted to a few known fleets. All layouts are simulated with the same seeds.
"""

import argparse
import heapq
import json
import pathlib
import random
import statistics
import tomllib
import typing

import attrs

from crowdeck import chain
from crowdeck import instance as instances
from crowdeck.placement import capacity
from crowdeck.placement import initial_layout
from crowdeck.placement import plan
from crowdeck.routing import cheapest
from crowdeck.routing import hops
from crowdeck.routing import usage as usages
from tests import virtual

FLEETS_PATH = pathlib.Path(__file__).parent / "fleets.toml"
LAYER_COUNT = 80
SIMULATED_SECONDS = 6.0
# Time of prefill and the first step, until the first event.
FIRST_EVENT_SECONDS = 0.08
SERVICE = "assistant"

Engines = list[chain.Upstream]
PlacementFunction = typing.Callable[[Engines, chain.EngineProfile], Engines]


@attrs.frozen
class Fleet:
    """Engines without layers, and the load on them."""

    name: str
    profile: chain.EngineProfile
    engines: tuple[chain.Upstream, ...]
    streams_per_second: float

    @property
    def mean_tokens(self) -> float:
        """Mean number of tokens of a stream in the KV cache."""
        return (
            self.profile.mean_prompt_tokens
            + self.profile.mean_answer_tokens / 2.0
        )


@attrs.frozen
class Result:
    """Result of a simulation.

    :ivar refused: share of the streams for which no path had capacity.
    :ivar token_ms: mean time between two tokens, in milliseconds.
    :ivar cut: mean number of streams that the loss of one engine interrupts.
    """

    refused: float
    token_ms: float
    cut: float


def parse_fleet(name: str, description: dict[str, typing.Any]) -> Fleet:
    """Return a fleet from its description in ``fleets.toml``."""
    cards = {
        card: chain.AcceleratorType(
            card, values["memory_mb"], values["step"], values["read"]
        )
        for card, values in description["cards"].items()
    }
    engines = [
        _engine(f"{zone}-{card}-{number}", zone, card)
        for zone, counts in description["zones"].items()
        for card, count in counts.items()
        for number in range(count)
    ]
    profile = chain.EngineProfile(
        layer_count=LAYER_COUNT,
        layer_mb=1750.0,
        kv_bytes_per_token=description["token_bytes"],
        step_ms=1.02,
        sequence_ms=0.006,
        context_ms_per_1000_tokens=0.008,
        prefill_tokens_per_second=245_000.0,
        activation_bytes=39_000.0,
        zone_link_bytes_per_second=0.69e9,
        load_seconds=14.0,
        concurrent_loads=8,
        slots=96,
        mean_prompt_tokens=description["prompt"],
        mean_answer_tokens=description["answer"],
        cards=cards,
    )
    streams = description["streams_per_second"]
    return Fleet(name, profile, tuple(engines), streams)


def _engine(name: str, zone: str, card: str) -> chain.Upstream:
    return chain.Upstream(
        name=name,
        service=SERVICE,
        address=instances.Address("10.0.0.1", 1),
        availability_zone=zone,
        slots=96,
        is_leaving=False,
        card=card,
    )


def load_fleets() -> list[Fleet]:
    """Return the fleets of ``fleets.toml``."""
    with FLEETS_PATH.open("rb") as file:
        descriptions = tomllib.load(file)
    return [
        parse_fleet(name, description)
        for name, description in descriptions.items()
    ]


def random_fleet(seed: int) -> Fleet:
    """Return a fleet of random cards, with the whole model in each zone."""
    rng = random.Random(seed)
    cards = {
        f"card{number}": {
            "memory_mb": rng.choice((14_400.0, 21_600.0, 43_200.0, 72e3)),
            "step": rng.uniform(1.4, 16.0),
            "read": rng.uniform(1.0, 15.0),
        }
        for number in range(rng.randint(2, 4))
    }
    zones = {
        f"zone{number}": _random_zone(rng, cards)
        for number in range(rng.randint(2, 4))
    }
    count = sum(sum(counts.values()) for counts in zones.values())
    return parse_fleet(
        f"drawn {seed}",
        {
            "streams_per_second": count * rng.uniform(0.8, 2.2),
            "prompt": 770.0,
            "answer": rng.uniform(150.0, 250.0),
            "token_bytes": rng.choice((656e3, 786e3, 1180e3)),
            "cards": cards,
            "zones": zones,
        },
    )


def _random_zone(
    rng: random.Random, cards: dict[str, dict[str, float]]
) -> dict[str, int]:
    """Return counts of cards that hold 1.3 to 3 copies of the model."""
    remaining_mb = rng.uniform(1.3, 3.0) * LAYER_COUNT * 1750.0
    counts = dict.fromkeys(cards, 0)
    while remaining_mb > 0.0:
        card = rng.choice(sorted(cards))
        counts[card] += 1
        remaining_mb -= 0.9 * cards[card]["memory_mb"]
    return counts


def place_as_controller(
    engines: Engines, profile: chain.EngineProfile
) -> Engines:
    """Place layers with the moves that the placement controller orders."""
    moves = plan.next_moves(engines, profile, lambda _: True)
    layout = {move.upstream.name: move.layers for move in moves}
    return [
        attrs.evolve(engine, layers=layout.get(engine.name))
        for engine in engines
    ]


def place_as_one_group(
    engines: Engines, profile: chain.EngineProfile
) -> Engines:
    """Place layers on each zone's engines together, ignoring their speed."""
    search = initial_layout.InitialLayoutSearch(
        profile,
        lambda engine, min_tokens: plan.fitting_layer_count(
            engine, profile, min_tokens
        ),
        plan.MIN_CONCURRENT_REQUESTS * capacity.request_tokens(profile),
    )
    placed: Engines = []
    for zone in dict.fromkeys(engine.availability_zone for engine in engines):
        in_zone = [
            engine for engine in engines if engine.availability_zone == zone
        ]
        layout = search.find_layout(in_zone)
        placed += [
            attrs.evolve(engine, layers=layout.get(engine.name))
            for engine in in_zone
        ]
    return placed


PLACEMENT_FUNCTIONS: dict[str, PlacementFunction] = {
    "together": place_as_one_group,
    "tiers": place_as_controller,
}


def simulate(
    fleet: Fleet,
    place: PlacementFunction,
    seed: int = 1,
    rate_factor: float = 1.0,
) -> Result:
    """Send streams over the paths that entries choose.

    :param rate_factor: factor on the fleet's streams per second.
    """
    placed = place(list(fleet.engines), fleet.profile)

    async def run() -> Result:
        return _send_streams(fleet, placed, random.Random(seed), rate_factor)

    result: Result = virtual.run(run)
    return result


def _send_streams(
    fleet: Fleet, placed: Engines, rng: random.Random, rate_factor: float
) -> Result:
    usage = usages.InFlight()
    planner = hops.HopPlanner(usage)
    zones = sorted({engine.availability_zone for engine in placed})
    active_streams: list[tuple[float, int, chain.ChainPath]] = []
    token_times_ms: list[float] = []
    hop_counts: list[int] = []
    refused, now = 0, 0.0
    while now < SIMULATED_SECONDS:
        now += rng.expovariate(rate_factor * fleet.streams_per_second)
        while active_streams and active_streams[0][0] < now:
            usage.remove_request(
                heapq.heappop(active_streams)[2], fleet.mean_tokens
            )
        request = hops.PathRequest(
            fleet.profile, fleet.mean_tokens, rng.choice(zones)
        )
        path = planner.plan(placed, request)
        if path is None:
            refused += 1
            continue
        usage.add_request(path, fleet.mean_tokens)
        token_ms = _token_ms(path, fleet.profile)
        seconds = token_ms * fleet.profile.mean_answer_tokens / 1000.0
        end = now + FIRST_EVENT_SECONDS + seconds
        heapq.heappush(active_streams, (end, len(token_times_ms), path))
        token_times_ms.append(token_ms)
        hop_counts.append(
            sum(len(active_path.hops) for _, _, active_path in active_streams)
        )
    # Leaves out the first half, in which the number of streams still grows.
    steady = hop_counts[len(hop_counts) // 2 :]
    return Result(
        refused / (refused + len(token_times_ms)),
        statistics.fmean(token_times_ms),
        statistics.fmean(steady) / len(placed),
    )


def _token_ms(path: chain.ChainPath, profile: chain.EngineProfile) -> float:
    total = cheapest.HOP_MS * (len(path.hops) - 1)
    for hop in path.hops:
        share = (hop.layers.end - hop.layers.first) / profile.layer_count
        factor = profile.cards[hop.upstream.card].step_factor
        total += share * factor * profile.step_ms
    return total


@attrs.frozen
class Comparison:
    """Mean results of two layouts on one fleet, with the same seeds.

    :ivar fewer_cut: mean over the seeds of ``1 - second.cut / first.cut``.
    :ivar error: standard error of ``fewer_cut``, 0 for one seed.
    """

    fleet: str
    first: Result
    second: Result
    fewer_cut: float
    error: float


def compare(
    fleet: Fleet,
    first: PlacementFunction,
    second: PlacementFunction,
    seeds: int,
    rate_factor: float,
) -> Comparison:
    """Simulate a fleet with two layouts, with the same seeds."""
    pairs = [
        (
            simulate(fleet, first, seed, rate_factor),
            simulate(fleet, second, seed, rate_factor),
        )
        for seed in range(1, seeds + 1)
    ]
    decreases = [
        1.0 - in_second.cut / in_first.cut for in_first, in_second in pairs
    ]
    return Comparison(
        fleet.name,
        _mean([in_first for in_first, _ in pairs]),
        _mean([in_second for _, in_second in pairs]),
        statistics.fmean(decreases),
        statistics.stdev(decreases) / len(decreases) ** 0.5
        if seeds > 1
        else 0.0,
    )


def _mean(results: list[Result]) -> Result:
    return Result(
        statistics.fmean(result.refused for result in results),
        statistics.fmean(result.token_ms for result in results),
        statistics.fmean(result.cut for result in results),
    )


def main() -> None:
    """Print one line for each fleet."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    names = sorted(PLACEMENT_FUNCTIONS)
    parser.add_argument("--first", choices=names, default="together")
    parser.add_argument("--second", choices=names, default="tiers")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--drawn", type=int, default=12)
    parser.add_argument("--times", type=float, default=1.0)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    fleets = [*load_fleets(), *map(random_fleet, range(1, options.drawn + 1))]
    first, second = (
        PLACEMENT_FUNCTIONS[options.first],
        PLACEMENT_FUNCTIONS[options.second],
    )
    for fleet in fleets:
        result = compare(fleet, first, second, options.seeds, options.times)
        if options.json:
            print(json.dumps(attrs.asdict(result)))
        else:
            print(_format_line(result))


def _format_line(result: Comparison) -> str:
    first, second = result.first, result.second
    return (
        f"{result.fleet:14} cut {first.cut:5.1f} {second.cut:5.1f}"
        f"  ms a token {first.token_ms:5.2f} {second.token_ms:5.2f}"
        f"  refused {first.refused:5.1%} {second.refused:5.1%}"
        f"  fewer cut {result.fewer_cut:6.1%} +- {result.error:.1%}"
    )


if __name__ == "__main__":
    main()
