# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Compares layouts of layers by what becomes of streams on them.

Run as ``python -m bench.placement``. The planner, the count of what is under
way and the layouts are the ones that entries run; engines are their paces.
Streams arrive at random and end when their tokens are made, in virtual time.
Fleets are those of ``fleets.toml`` and others drawn at random, so that a
layout is judged on fleets that nobody had in mind. Each layout plays the
same seeds.
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

FLEETS = pathlib.Path(__file__).parent / "fleets.toml"
LAYERS = 80
PLAYED_SECONDS = 6.0
# What reading a prompt and the first step take before the first event: p90
# of 1,807 streams on paths of three to six engines.
FIRST_SECONDS = 0.08
SERVICE = "assistant"

Engines = list[chain.Upstream]
Layout = typing.Callable[[Engines, chain.EngineProfile], Engines]


@attrs.frozen
class Fleet:
    """Engines that are yet empty, and what is asked of them."""

    name: str
    profile: chain.EngineProfile
    engines: tuple[chain.Upstream, ...]
    streams_per_second: float

    @property
    def tokens(self) -> float:
        """What a stream holds on average, in tokens."""
        return (
            self.profile.mean_prompt_tokens
            + self.profile.mean_answer_tokens / 2.0
        )


@attrs.frozen
class Played:
    """What became of the streams of some seconds.

    :ivar refused: share of the streams that no path had room for.
    :ivar token_ms: mean time between two tokens.
    :ivar cut: streams that the loss of one engine interrupts, on average.
    """

    refused: float
    token_ms: float
    cut: float


def make(name: str, description: dict[str, typing.Any]) -> Fleet:
    """Return a fleet from its description in ``fleets.toml``."""
    cards = {
        card: chain.AcceleratorType(
            card, it["memory_mb"], it["step"], it["read"]
        )
        for card, it in description["cards"].items()
    }
    engines = [
        _engine(f"{zone}-{card}-{number}", zone, card)
        for zone, counts in description["zones"].items()
        for card, count in counts.items()
        for number in range(count)
    ]
    profile = chain.EngineProfile(
        layer_count=LAYERS,
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
    with FLEETS.open("rb") as file:
        found = tomllib.load(file)
    return [make(name, it) for name, it in found.items()]


def random_fleet(seed: int) -> Fleet:
    """Return a fleet of random cards that holds the model in each zone."""
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
    return make(
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
    wanted = rng.uniform(1.3, 3.0) * LAYERS * 1750.0
    counts = dict.fromkeys(cards, 0)
    while wanted > 0.0:
        card = rng.choice(sorted(cards))
        counts[card] += 1
        wanted -= 0.9 * cards[card]["memory_mb"]
    return counts


def place_in_tiers(engines: Engines, profile: chain.EngineProfile) -> Engines:
    """Place layers as the entries do."""
    moves = plan.next_moves(engines, profile, lambda _: True)
    held = {move.upstream.name: move.layers for move in moves}
    return [attrs.evolve(one, layers=held.get(one.name)) for one in engines]


def place_as_one_group(
    engines: Engines, profile: chain.EngineProfile
) -> Engines:
    """Lay each zone's engines out as one group, whatever their pace."""
    arranger = initial_layout.InitialLayoutSearch(
        profile,
        lambda one, room: plan.fitting_layer_count(one, profile, room),
        plan.MIN_CONCURRENT_REQUESTS * capacity.request_tokens(profile),
    )
    found: Engines = []
    for zone in dict.fromkeys(one.availability_zone for one in engines):
        inside = [one for one in engines if one.availability_zone == zone]
        layout = arranger.find_layout(inside)
        found += [
            attrs.evolve(one, layers=layout.get(one.name)) for one in inside
        ]
    return found


LAYOUTS: dict[str, Layout] = {
    "together": place_as_one_group,
    "tiers": place_in_tiers,
}


def simulate(
    fleet: Fleet, layout: Layout, seed: int = 1, rate_factor: float = 1.0
) -> Played:
    """Send streams over paths chosen as entries choose them.

    :param rate_factor: how many times the fleet's streams a second.
    """
    placed = layout(list(fleet.engines), fleet.profile)

    async def run() -> Played:
        return _send(fleet, placed, random.Random(seed), rate_factor)

    played: Played = virtual.run(run)
    return played


def _send(
    fleet: Fleet, placed: Engines, rng: random.Random, rate_factor: float
) -> Played:
    usage = usages.InFlight()
    planner = hops.HopPlanner(usage)
    zones = sorted({one.availability_zone for one in placed})
    ends: list[tuple[float, int, chain.ChainPath]] = []
    token_times: list[float] = []
    passed: list[int] = []
    refused, now = 0, 0.0
    while now < PLAYED_SECONDS:
        now += rng.expovariate(rate_factor * fleet.streams_per_second)
        while ends and ends[0][0] < now:
            usage.remove_request(heapq.heappop(ends)[2], fleet.tokens)
        wanted = hops.PathRequest(
            fleet.profile, fleet.tokens, rng.choice(zones)
        )
        path = planner.plan(placed, wanted)
        if path is None:
            refused += 1
            continue
        usage.add_request(path, fleet.tokens)
        token_ms = _token_ms(path, fleet.profile)
        seconds = token_ms * fleet.profile.mean_answer_tokens / 1000.0
        end = now + FIRST_SECONDS + seconds
        heapq.heappush(ends, (end, len(token_times), path))
        token_times.append(token_ms)
        passed.append(sum(len(one.hops) for _, _, one in ends))
    settled = passed[len(passed) // 2 :]
    return Played(
        refused / (refused + len(token_times)),
        statistics.fmean(token_times),
        statistics.fmean(settled) / len(placed),
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
    """Two layouts on one fleet, over the same seeds.

    :ivar fewer_cut: mean share of cut streams that the second saves.
    :ivar error: its standard error over the seeds.
    """

    fleet: str
    first: Played
    second: Played
    fewer_cut: float
    error: float


def compare(
    fleet: Fleet, first: Layout, second: Layout, seeds: int, rate_factor: float
) -> Comparison:
    """Play a fleet with two layouts and the same streams."""
    pairs = [
        (
            simulate(fleet, first, seed, rate_factor),
            simulate(fleet, second, seed, rate_factor),
        )
        for seed in range(1, seeds + 1)
    ]
    saved = [1.0 - two.cut / one.cut for one, two in pairs]
    return Comparison(
        fleet.name,
        _mean([one for one, _ in pairs]),
        _mean([two for _, two in pairs]),
        statistics.fmean(saved),
        statistics.stdev(saved) / len(saved) ** 0.5 if seeds > 1 else 0.0,
    )


def _mean(played: list[Played]) -> Played:
    return Played(
        statistics.fmean(one.refused for one in played),
        statistics.fmean(one.token_ms for one in played),
        statistics.fmean(one.cut for one in played),
    )


def main() -> None:
    """Print a line for each fleet."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    names = sorted(LAYOUTS)
    parser.add_argument("--first", choices=names, default="together")
    parser.add_argument("--second", choices=names, default="tiers")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--drawn", type=int, default=12)
    parser.add_argument("--times", type=float, default=1.0)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    fleets = [*load_fleets(), *map(random_fleet, range(1, options.drawn + 1))]
    first, second = LAYOUTS[options.first], LAYOUTS[options.second]
    for fleet in fleets:
        found = compare(fleet, first, second, options.seeds, options.times)
        if options.json:
            print(json.dumps(attrs.asdict(found)))
        else:
            print(_line(found))


def _line(found: Comparison) -> str:
    one, two = found.first, found.second
    return (
        f"{found.fleet:14} cut {one.cut:5.1f} {two.cut:5.1f}"
        f"  ms a token {one.token_ms:5.2f} {two.token_ms:5.2f}"
        f"  refused {one.refused:5.1%} {two.refused:5.1%}"
        f"  fewer cut {found.fewer_cut:6.1%} +- {found.error:.1%}"
    )


if __name__ == "__main__":
    main()
