# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The channel on which an entry watches the engines goes silent for good.

The disruption silences one open channel between an entry and the store, the
one on which the watch of the engines waits; new channels work, and so do the
entry's others. After more than ``contact_ms`` an engine says ``draining`` and
serves on, as planned.
"""

import asyncio
import contextlib
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness  # noqa: E402

HOST_NAME = "desk.example"
KEY = "key-of-shop-a"
ZONES = ("plateau", "almadies")
WATCH = "/api/objects/servers?watch="
DRAIN_SECONDS = harness.BOUNDS["drain_timeout_ms"] / 1000
# From the silence until an engine says that it leaves; contact_ms is 3,000.
LEAVES_AFTER_SECONDS = 3.5
# How long the engine serves on, with what PROTOCOL.md calls a little longer.
SERVES_ON_SECONDS = DRAIN_SECONDS + 2.0
SETTLE_SECONDS = 4.0
# An added engine ends the watch of the engines; the next begins in this time.
WATCH_SECONDS = 1.0
SEND_INTERVAL_SECONDS = 0.02


def config() -> harness.Json:
    """Return the operator's config."""
    return {
        "version": 1,
        "routes": [
            {
                "name": "balance",
                "host": HOST_NAME,
                "path_prefix": "/balance/",
                "route_kind": "non_idempotent",
                "timeout_ms": 3000,
                "target_latency_ms": 400,
                "priority": 2,
                "service": "topup",
                "max_attempts": 2,
                "allow_anonymous": False,
            }
        ],
        "services": [{"name": "topup", "connection_limit": 110}],
        "limits": harness.LIMITS,
        "tenants": [{"name": "shop-a", "api_keys": [KEY]}],
    }


async def case(
    record: harness.Record,
    folder: pathlib.Path,
    stack: contextlib.AsyncExitStack,
    with_trouble: bool,
) -> bool:
    """Return whether a call reached an engine too late after it left."""
    store = harness.Store(record)
    stack.callback(store.end)
    engines: list[harness.Engine] = []

    async def add_engine() -> None:
        engine = harness.Engine(
            record, store, f"topup-{len(engines)}", "topup", ZONES[0], 0.09
        )
        await engine.start()
        stack.callback(engine.end)
        engines.append(engine)

    for _ in range(3):
        await add_engine()
    proxies, entries = [], []
    for number, zone in enumerate(ZONES):
        name = f"entry-{number}"
        proxy = harness.Proxy(await store.start(name))
        await proxy.start()
        stack.callback(proxy.end)
        entry = harness.Entry(record, folder, name, zone, proxy.port)
        stack.push_async_callback(entry.end)
        proxies.append(proxy)
        entries.append(entry)
    store.write("config", "main", config())
    for entry in entries:
        await entry.start()
    for entry in entries:
        await entry.wait_ready()

    requester = harness.Requester(record, HOST_NAME)
    sending: set[asyncio.Task[harness.Sent]] = set()

    async def send_on() -> None:
        while True:
            task = asyncio.create_task(
                requester.send(entries[0], "POST", "/balance/1", KEY)
            )
            sending.add(task)
            task.add_done_callback(sending.discard)
            await asyncio.sleep(SEND_INTERVAL_SECONDS)

    requests = asyncio.create_task(send_on())
    await asyncio.sleep(SETTLE_SECONDS)
    await add_engine()
    await asyncio.sleep(WATCH_SECONDS)
    if not store.is_watched_by(entries[0].name, "servers"):
        raise harness.CannotRunError("no watch of the engines waits")
    if with_trouble:
        opened = proxies[0].channels
        channels = proxies[0].silence(WATCH)
        record.note("silenced", entry=entries[0].name, n=channels, of=opened)
        print(f"{channels} of {opened} open channels to the store silenced")
        if channels != 1:
            raise harness.CannotRunError(f"{channels} channels were silenced")
    await asyncio.sleep(LEAVES_AFTER_SECONDS)
    engine = engines[0]
    acked_at = engine.say_draining()
    record.note("draining_acked", engine=engine.name)
    await asyncio.sleep(SERVES_ON_SECONDS)
    store.remove("servers", engine.name)
    engine.end()
    await asyncio.sleep(3.0)
    requests.cancel()
    await asyncio.gather(*sending)

    after = [run for run in engine.runs if run.at > acked_at]
    late = {run.request for run in after if run.at > acked_at + DRAIN_SECONDS}
    last = max((run.at - acked_at for run in after), default=0.0)
    lost = [
        one
        for one in requester.sent
        if one.status != 200 and one.request in late
    ]
    told = (
        f"{len(after)} calls reached {engine.name} after the ack that it "
        f"leaves, {len(late)} of them later than {DRAIN_SECONDS:g} s, the "
        f"last {last:.2f} s after it; {len(lost)} of these were lost; of "
        f"all calls {harness.count_statuses(requester.sent)}"
    )
    record.note("result", told=told)
    print(told)
    return bool(late)


if __name__ == "__main__":
    sys.exit(
        harness.main(
            pathlib.Path(__file__).resolve().parent,
            case,
            60.0,
            sys.argv[1:] != ["0"],
        )
    )
