# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Measures the processor time of choosing a path, by number of engines.

Run as ``python -m bench.paths``. Engines in five zones hold ranges of up
to 38 layers of one model. The ranges overlap partially, as in placements on
mixed cards. The entry has five streams of its own in progress.
"""

import random
import time

import anyio

from crowdeck import chain
from crowdeck import instance as instances
from crowdeck import pipeline
from crowdeck.routing import hops
from crowdeck.routing import usage as usages

LAYER_COUNT = 80
ZONES = ("plateau", "almadies", "pikine", "rufisque", "guediawaye")
# Columns: weight of the card in the random choice; the card, with its memory
# in MB and its factors on step and prefill time; maximum number of layers of
# an engine with it.
CARDS = (
    (3, chain.AcceleratorType("h100", 72_000.0, 1.4, 1.0), 38),
    (11, chain.AcceleratorType("a100s", 36_000.0, 3.1, 3.2), 18),
    (58, chain.AcceleratorType("l4", 21_600.0, 16.0, 8.2), 10),
    (58, chain.AcceleratorType("t4", 14_400.0, 15.0, 15.0), 7),
)
PROFILE = chain.EngineProfile(
    layer_count=LAYER_COUNT,
    layer_mb=1750.0,
    kv_bytes_per_token=656_000.0,
    step_ms=0.85,
    sequence_ms=0.00424,
    context_ms_per_1000_tokens=0.0057,
    prefill_tokens_per_second=353_000.0,
    activation_bytes=32_800.0,
    zone_link_bytes_per_second=0.425e9,
    load_seconds=14.0,
    concurrent_loads=21,
    slots=96,
    mean_prompt_tokens=773.0,
    mean_answer_tokens=178.0,
    cards={card.name: card for _, card, _ in CARDS},
)
STREAMS = 5
ENGINE_COUNTS = (26, 130, 390, 860)
REPEATS = 30


def make_fleet(count: int, seed: int = 1) -> list[chain.Upstream]:
    """Return engines whose ranges cover the model in every zone.

    A small ``count`` leaves some layers without an engine.
    """
    rng = random.Random(seed)
    weights = [weight for weight, _, _ in CARDS]
    engines: list[chain.Upstream] = []
    first_layers = dict.fromkeys(ZONES, 0)
    for number in range(count):
        _, card, max_layers = rng.choices(CARDS, weights)[0]
        zone = ZONES[number % len(ZONES)]
        first = first_layers[zone]
        end = min(
            LAYER_COUNT,
            first + rng.randint(max(3, max_layers - 4), max_layers),
        )
        first_layers[zone] = end % LAYER_COUNT
        engines.append(
            chain.Upstream(
                name=f"e{number}",
                service="assistant",
                address=instances.Address("10.0.0.1", 1000 + number),
                availability_zone=zone,
                slots=96,
                is_leaving=False,
                card=card.name,
                layers=pipeline.LayerRange(first, end),
            )
        )
    return engines


async def measure(count: int) -> float:
    """Return the mean processor time of one choice, in milliseconds."""
    fleet = make_fleet(count)
    usage = usages.InFlight()
    usage.set_entry_count(13, 68)
    planner = hops.HopPlanner(usage)
    request = hops.PathRequest(PROFILE, 800.0, ZONES[0])
    for _ in range(STREAMS):
        path = planner.plan(fleet, request)
        if path is not None:
            usage.add_request(path, 800.0)
    started = time.process_time()
    for _ in range(REPEATS):
        planner.plan(fleet, request)
    return 1000.0 * (time.process_time() - started) / REPEATS


async def main() -> None:
    """Print one line for each number of engines."""
    print("engines  ms a choice")
    for count in ENGINE_COUNTS:
        print(f"{count:7}  {await measure(count):.2f}")


if __name__ == "__main__":
    anyio.run(main)
