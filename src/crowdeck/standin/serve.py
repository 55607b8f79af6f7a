# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Runs stand-ins in a separate process, for load tests.

``python -m crowdeck.standin.serve SPEC`` takes a JSON object with optional
keys: ``store`` (arguments of :class:`~crowdeck.standin.store.StandinStore`),
``services`` (delay in seconds by name) and ``engines`` (arguments of
:func:`build_engine` by name). It prints one JSON line with the ports by name
once all listen.
"""

import json
import sys
import typing

import anyio
import anyio.abc

from crowdeck.cmd import http_server
from crowdeck import pipeline
from crowdeck.standin import engine as engines
from crowdeck.standin import engine_http
from crowdeck.standin import model as models
from crowdeck.standin import service as services
from crowdeck.standin import store as stores
from crowdeck.standin import store_http

HOST = "127.0.0.1"

Spec = dict[str, typing.Any]


def build_engine(spec: Spec) -> engines.StandinEngine:
    """Build the engine that a spec describes."""
    offer = pipeline.Offer(
        model=spec["model"],
        version=spec["version"],
        adapter="",
        layers=pipeline.LayerRange(spec["first"], spec["end"]),
        layer_count=spec["layer_count"],
        accelerator=spec.get("accelerator", ""),
        batch_limit=spec["batch_limit"],
    )
    model = models.StandinModel(
        f"{spec['model']}/{spec['version']}", spec["layer_count"]
    )
    speed = engines.EngineSpeed(
        batch_seconds=spec["batch_seconds"],
        token_seconds=spec["token_seconds"],
        prefill_token_seconds=spec["prefill_token_seconds"],
        batch_limit=spec["batch_limit"],
    )
    return engines.StandinEngine(model, offer, speed)


async def _serve(spec: Spec) -> None:
    ports: dict[str, int] = {}
    async with anyio.create_task_group() as tasks:

        async def add(name: str, app: typing.Any) -> None:
            ports[name] = await tasks.start(
                http_server.serve_http, app, HOST, 0
            )

        if "store" in spec:
            store = stores.StandinStore(**spec["store"])
            await add("store", store_http.StoreApp(store).build())
        for name, delay in spec.get("services", {}).items():
            await add(name, services.StandinService(delay).build())
        for name, engine in spec.get("engines", {}).items():
            app = engine_http.EngineApp(build_engine(engine))
            await add(name, app.build())
        print(json.dumps(ports), flush=True)


if __name__ == "__main__":
    anyio.run(_serve, json.loads(sys.argv[1]))
