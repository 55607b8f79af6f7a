# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Compares times to wait for a restart before layers are rearranged.

``python -m bench.rearrangement`` simulates losses of engines in virtual time,
with the same random losses for each wait time. It prints the mean seconds in
which some layer was not served, and the mean number of layers loaded.
"""

import random
import typing

import anyio
import attrs

from crowdeck import chain
from crowdeck.placement import controller as controllers
from crowdeck.placement import rearrangement_delay
from crowdeck.standin import chain_fleet
from crowdeck.state import leases
from tests import fleet_system
from tests import virtual

SEEDS = 10
SIMULATED_SECONDS = 60.0
STEP_SECONDS = 0.05
ENGINE_COUNT = 8
# Each engine holds ten layers initially. The memory of any six engines is
# enough for all layers.
PROFILE = attrs.evolve(
    fleet_system.PROFILE,
    cards={"card": chain.AcceleratorType("card", 27_000.0, 1.4, 1.0)},
)
# Times to wait for a restart: none, the default, a longer time, and longer
# than the simulation.
WAIT_SECONDS = (0.0, 2.3, 8.0, 1e9)
# Seconds from the loss of an engine to its restart, None for no restart.
RESTART_SECONDS = (2.0, 8.0, 30.0, None)


class _HeldLease:
    """A lease that is never lost."""

    is_held = True
    term = 1
    memo: tuple[str, ...] = ()

    def set_memo(self, memo: tuple[str, ...]) -> None:
        self.memo = memo


async def _simulate(
    seed: int,
    lost_engines: int,
    restart_seconds: float | None,
    keeps_layers: bool,
) -> tuple[float, int]:
    """Return the seconds without service, and the number of layers loaded.

    :param restart_seconds: time until lost engines restart, if they do.
    :param keeps_layers: whether a restarted engine still holds its layers.
    """
    rng = random.Random(seed)
    system = fleet_system.FleetSystem(chain_fleet.ChainFleet())
    system.fleet.load_seconds = PROFILE.load_seconds
    system.install(
        attrs.evolve(
            system.config,
            version=2,
            services=(
                attrs.evolve(system.config.services[0], profile=PROFILE),
            ),
        )
    )
    for number in range(ENGINE_COUNT):
        layers = (10 * number, 10 * number + 10)
        system.add(fleet_system.upstream(f"e{number}", "zone", layers, "card"))
    controller = controllers.PlacementController(
        typing.cast(leases.Lease, _HeldLease()),
        system.registry,
        system.fleet,
        lambda: system.holder.services,
    )
    loaded_layers, unserved_seconds = 0, 0.0
    carry_out = system.fleet.carry_out

    def carry_out_and_count(standin: typing.Any, move: typing.Any) -> None:
        nonlocal loaded_layers
        carry_out(standin, move)
        kept_layers = standin.kept_layers
        loaded_layers += move.layers.end - move.layers.first
        loaded_layers -= (
            kept_layers.end - kept_layers.first if kept_layers else 0
        )

    system.fleet.carry_out = carry_out_and_count  # type: ignore[method-assign]

    async def lose_engine(name: str, delay_seconds: float) -> None:
        await anyio.sleep(delay_seconds)
        standin = system.fleet.at(system.listed.pop(name).address)
        standin.is_dead = True
        system.registry.on_changed((), (name,))
        if restart_seconds is None:
            return
        await anyio.sleep(restart_seconds)
        layers = standin.listed.layers if keeps_layers else None
        restarted = fleet_system.upstream(
            f"{name}-again", "zone", None, "card"
        )
        system.add(attrs.evolve(restarted, layers=layers))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(controller.run)
        names = rng.sample(sorted(system.listed), lost_engines)
        for name in names:
            tasks.start_soon(lose_engine, name, 1.0 + rng.random())
        for _ in range(int(SIMULATED_SECONDS / STEP_SECONDS)):
            await anyio.sleep(STEP_SECONDS)
            serving_engines = []
            for standin in system.fleet.upstreams:
                if standin.answers:
                    listed_engine = system.listed.get(standin.listed.name)
                    # Lists the new state if the listed one is outdated.
                    if listed_engine not in (None, standin.listed):
                        system.list_instance(standin.listed)
                    # A loading engine serves only the layers that it kept.
                    served_layers = standin.listed.layers
                    if standin.is_loading:
                        served_layers = standin.kept_layers
                    serving_engines.append(
                        attrs.evolve(standin.listed, layers=served_layers)
                    )
            if 0 in chain.coverage(serving_engines, PROFILE.layer_count):
                unserved_seconds += STEP_SECONDS
        tasks.cancel_scope.cancel()
    return unserved_seconds, loaded_layers


def main() -> None:
    """Print one line for each case, with all wait times."""
    configured = rearrangement_delay.RESTART_GRACE_SECONDS
    print(
        "lost restart keeps | "
        + " | ".join(f"wait {wait:g}" for wait in WAIT_SECONDS)
    )
    for lost_engines in (1, 2):
        for restart_seconds in RESTART_SECONDS:
            for keeps_layers in (False, True) if restart_seconds else (False,):
                cells = []
                for wait_seconds in WAIT_SECONDS:
                    rearrangement_delay.RESTART_GRACE_SECONDS = wait_seconds
                    results = [
                        virtual.run(
                            _simulate,
                            seed,
                            lost_engines,
                            restart_seconds,
                            keeps_layers,
                        )
                        for seed in range(SEEDS)
                    ]
                    seconds = sum(result[0] for result in results) / SEEDS
                    layers = sum(result[1] for result in results) / SEEDS
                    cells.append(f"{seconds:.1f} s, {layers:.0f}")
                print(
                    lost_engines,
                    restart_seconds,
                    keeps_layers,
                    "|",
                    " | ".join(cells),
                    flush=True,
                )
    rearrangement_delay.RESTART_GRACE_SECONDS = configured


if __name__ == "__main__":
    main()
