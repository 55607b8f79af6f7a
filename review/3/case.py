# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""An engine leaves while the entry that reads the store is cut from it.

Two entries of one zone: one reads the store for both. The disruption cuts
that one from the store for five seconds; the other one, which gets all
requests here, keeps its own way to the store, to its peer and to the engines.
Just after the cut an engine leaves without saying ``draining``: its entry is
removed, and the engine serves on for longer than ``drain_timeout_ms``.
"""

import asyncio
import contextlib
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness  # noqa: E402

HOST_NAME = "desk.example"
KEY = "key-of-shop-a"
ZONE = "plateau"
DRAIN_SECONDS = harness.BOUNDS["drain_timeout_ms"] / 1000
ROUNDS = 2
# Longer than contact_ms; the entry that was cut off serves again after this.
CONTACT_SECONDS = 11.0
CUT_SECONDS = 5.0
# From the beginning of a cut until an engine's entry is removed.
LEAVES_AFTER_SECONDS = 0.1
# An engine that leaves serves on for this long after its entry is removed.
SERVES_ON_SECONDS = DRAIN_SECONDS + 0.4
# An entry that watched the engines itself asks its peer after ten seconds.
SETTLE_SECONDS = 25.0
SEND_INTERVAL_SECONDS = 0.04


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


async def find_reader(
    store: harness.Store, entries: list[harness.Entry]
) -> int:
    """Return the entry that watches the store for both.

    That is once the other one has no watch of its own there, neither of the
    config nor of the engines.
    """
    async with asyncio.timeout(SETTLE_SECONDS):
        while True:
            watch = [
                [
                    store.is_watched_by(entry.name, kind)
                    for kind in ("config", "servers")
                ]
                for entry in entries
            ]
            for reader in range(2):
                if all(watch[reader]) and not any(watch[1 - reader]):
                    return reader
            await asyncio.sleep(0.05)


async def case(
    record: harness.Record,
    folder: pathlib.Path,
    stack: contextlib.AsyncExitStack,
    with_trouble: bool,
) -> bool:
    """Return whether a call reached an engine too late after it left."""
    store = harness.Store(record)
    stack.callback(store.end)
    store.write("config", "main", config())
    engines: list[harness.Engine] = []

    async def add_engine() -> None:
        engine = harness.Engine(
            record, store, f"topup-{len(engines)}", "topup", ZONE, 0.09
        )
        await engine.start()
        stack.callback(engine.end)
        engines.append(engine)

    for _ in range(3):
        await add_engine()
    proxies, entries = [], []
    for number in range(2):
        name = f"entry-{number}"
        proxy = harness.Proxy(await store.start(name))
        await proxy.start()
        stack.callback(proxy.end)
        entry = harness.Entry(record, folder, name, ZONE, proxy.port)
        stack.push_async_callback(entry.end)
        await entry.start()
        proxies.append(proxy)
        entries.append(entry)
    for entry in entries:
        await entry.wait_ready()

    requester = harness.Requester(record, HOST_NAME)
    sending: set[asyncio.Task[harness.Sent]] = set()

    async def send_on(entry: harness.Entry) -> None:
        while True:
            task = asyncio.create_task(
                requester.send(entry, "POST", "/balance/1", KEY)
            )
            sending.add(task)
            task.add_done_callback(sending.discard)
            await asyncio.sleep(SEND_INTERVAL_SECONDS)

    late: list[harness.Run] = []
    for number in range(ROUNDS):
        reader = await find_reader(store, entries)
        entry = entries[1 - reader]
        record.note("round", number=number, reader=entries[reader].name)
        requests = asyncio.create_task(send_on(entry))
        await asyncio.sleep(1.0)
        if with_trouble:
            proxies[reader].cut()
            record.note("cut_from_store", entry=entries[reader].name)
        cut_at = record.now()
        await asyncio.sleep(LEAVES_AFTER_SECONDS)
        engine = engines[number]
        left_at = store.remove("servers", engine.name)
        record.note("entry_removed", engine=engine.name)
        await asyncio.sleep(SERVES_ON_SECONDS)
        engine.end()
        await asyncio.sleep(cut_at + CUT_SECONDS - record.now())
        proxies[reader].heal()
        record.note("healed", entry=entries[reader].name)
        requests.cancel()
        await asyncio.gather(*sending)
        after = [run for run in engine.runs if run.at > left_at]
        too_late = [run for run in after if run.at > left_at + DRAIN_SECONDS]
        late += too_late
        last = max((run.at - left_at for run in after), default=0.0)
        told = (
            f"round {number}: the last call reached {engine.name} {last:.2f} s"
            f" after the ack that it was gone; {len(too_late)} of {len(after)}"
            f" later than {DRAIN_SECONDS:g} s"
        )
        record.note("result", told=told)
        print(told)
        await add_engine()
        await asyncio.sleep(CONTACT_SECONDS)
    lost = [one for one in requester.sent if one.status != 200]
    told = (
        f"{len(requester.sent)} calls, "
        f"statuses {harness.count_statuses(requester.sent)}; "
        f"of the late ones {sum(_is_in(late, one) for one in lost)} failed"
    )
    record.note("result", told=told)
    print(told)
    return bool(late)


def _is_in(runs: list[harness.Run], sent: harness.Sent) -> bool:
    return any(run.request == sent.request for run in runs)


if __name__ == "__main__":
    sys.exit(
        harness.main(pathlib.Path(__file__).resolve().parent, case, 110.0)
    )
