# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Plays losses of layers that nobody holds: wait, or rearrange.

``python -m bench.rearrangement`` plays each way in virtual time, over the
stand-in, on the same drawn losses, and prints the seconds in which some
layer served nowhere and the layers that were loaded, on average.
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
PLAYED_SECONDS = 60.0
STEP_SECONDS = 0.05
COUNT = 8
# Of eight engines of ten layers each any six hold the model.
PROFILE = attrs.evolve(
    fleet_system.PROFILE,
    cards={"card": chain.AcceleratorType("card", 27_000.0, 1.4, 1.0)},
)
# Waiting for who ended: at all, as decided, as long as a whole engine loads,
# and for ever, as before.
WAYS = (0.0, 2.3, 8.0, 1e9)
RESTARTS = (2.0, 8.0, 30.0, None)


class _Ledger:
    is_held = True
    term = 1
    memo: tuple[str, ...] = ()

    def set_memo(self, memo: tuple[str, ...]) -> None:
        self.memo = memo


async def _play(
    seed: int, lost: int, restart: float | None, keeps: bool
) -> tuple[float, int]:
    """Return the seconds without the model, and the layers loaded."""
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
    for number in range(COUNT):
        layers = (10 * number, 10 * number + 10)
        system.add(fleet_system.upstream(f"e{number}", "zone", layers, "card"))
    duty = controllers.PlacementController(
        typing.cast(leases.Lease, _Ledger()),
        system.registry,
        system.fleet,
        lambda: system.holder.services,
    )
    loaded, unserved = 0, 0.0
    carry_out = system.fleet.carry_out

    def note(target: typing.Any, move: typing.Any) -> None:
        nonlocal loaded
        carry_out(target, move)
        kept_layers = target.kept_layers
        loaded += move.layers.end - move.layers.first
        loaded -= kept_layers.end - kept_layers.first if kept_layers else 0

    system.fleet.carry_out = note  # type: ignore[method-assign]

    async def lose(name: str, at: float) -> None:
        await anyio.sleep(at)
        target = system.fleet.at(system.listed.pop(name).address)
        target.is_dead = True
        system.registry.on_changed((), (name,))
        if restart is None:
            return
        await anyio.sleep(restart)
        held = target.listed.layers if keeps else None
        back = fleet_system.upstream(f"{name}-again", "zone", None, "card")
        system.add(attrs.evolve(back, layers=held))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(duty.run)
        names = rng.sample(sorted(system.listed), lost)
        for name in names:
            tasks.start_soon(lose, name, 1.0 + rng.random())
        for _ in range(int(PLAYED_SECONDS / STEP_SECONDS)):
            await anyio.sleep(STEP_SECONDS)
            live = []
            for target in system.fleet.upstreams:
                if target.answers:
                    known = system.listed.get(target.listed.name)
                    if known not in (None, target.listed):
                        system.list_instance(target.listed)
                    held = target.listed.layers
                    if target.is_loading:
                        held = target.kept_layers
                    live.append(attrs.evolve(target.listed, layers=held))
            if 0 in chain.coverage(live, PROFILE.layer_count):
                unserved += STEP_SECONDS
        tasks.cancel_scope.cancel()
    return unserved, loaded


def main() -> None:
    """Play all ways and print a line for each case."""
    decided = rearrangement_delay.RESTART_GRACE_SECONDS
    print("lost restart keeps | " + " | ".join(f"wait {w:g}" for w in WAYS))
    for lost in (1, 2):
        for restart in RESTARTS:
            for keeps in (False, True) if restart else (False,):
                cells = []
                for way in WAYS:
                    rearrangement_delay.RESTART_GRACE_SECONDS = way
                    played = [
                        virtual.run(_play, seed, lost, restart, keeps)
                        for seed in range(SEEDS)
                    ]
                    seconds = sum(one[0] for one in played) / SEEDS
                    layers = sum(one[1] for one in played) / SEEDS
                    cells.append(f"{seconds:.1f} s, {layers:.0f}")
                print(lost, restart, keeps, "|", " | ".join(cells), flush=True)
    rearrangement_delay.RESTART_GRACE_SECONDS = decided


if __name__ == "__main__":
    main()
