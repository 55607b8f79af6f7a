# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""A config takes away the keys of the last tenant; do they still work?

Two tenants have a key each. A first change takes away the second tenant with
its key, which also happens without the disruption. The disruption is a
second change, which takes away the other tenant, so that ``tenants`` stands
in the config without an entry.
"""

import asyncio
import contextlib
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness  # noqa: E402

HOST_NAME = "desk.example"
FIRST_KEY, SECOND_KEY = "key-of-shop-a", "key-of-shop-b"
UNKNOWN_KEY = "key-that-no-config-held"
REVOCATION_SECONDS = harness.BOUNDS["revocation_ms"] / 1000
# Requests with each key after a change, half of them to each entry.
REQUESTS = 20


def config(version: int, tenants: dict[str, str]) -> harness.Json:
    """Return a config in which each tenant has one key."""
    return {
        "version": version,
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
        "tenants": [
            {"name": name, "api_keys": [key]} for name, key in tenants.items()
        ],
    }


async def case(
    record: harness.Record,
    folder: pathlib.Path,
    stack: contextlib.AsyncExitStack,
    with_trouble: bool,
) -> bool:
    """Return whether a request ran with a key that was taken away."""
    store = harness.Store(record)
    store_port = await store.start()
    stack.callback(store.end)
    both = {"shop-a": FIRST_KEY, "shop-b": SECOND_KEY}
    store.write("config", "main", config(1, both))
    engines = [
        harness.Engine(record, store, f"topup-{number}", "topup", zone)
        for number, zone in enumerate(("plateau", "almadies"))
    ]
    for engine in engines:
        await engine.start()
        stack.callback(engine.end)
    entries = []
    for number, zone in enumerate(("plateau", "almadies")):
        entry = harness.Entry(
            record, folder, f"entry-{number}", zone, store_port
        )
        stack.push_async_callback(entry.end)
        await entry.start()
        entries.append(entry)
    for entry in entries:
        await entry.wait_ready()

    requester = harness.Requester(record, HOST_NAME)

    async def send(key: str) -> list[harness.Sent]:
        return [
            await requester.send(
                entries[number % 2], "POST", "/balance/1", key
            )
            for number in range(REQUESTS)
        ]

    def runs(sent: list[harness.Sent]) -> int:
        ids = {one.request for one in sent}
        return sum(
            run.request in ids for engine in engines for run in engine.runs
        )

    for key in (FIRST_KEY, SECOND_KEY):
        if runs(await send(key)) != REQUESTS:
            raise harness.CannotRunError(f"{key} does not work at first")
    taken = [SECOND_KEY]
    acked_at = store.write("config", "main", config(2, {"shop-a": FIRST_KEY}))
    record.note("config_acked", version=2, taken_away=SECOND_KEY)
    if with_trouble:
        acked_at = store.write("config", "main", config(3, {}))
        record.note("config_acked", version=3, taken_away=FIRST_KEY)
        taken.append(FIRST_KEY)
    await asyncio.sleep(acked_at + REVOCATION_SECONDS + 1.0 - record.now())

    total = 0
    for key in (*taken, UNKNOWN_KEY, ""):
        sent = await send(key)
        ran = runs(sent)
        told = (
            f"{key or 'no key'}: {len(sent)} requests, sent from "
            f"{sent[0].at - acked_at:.1f} s after the ack, {ran} ran, "
            f"statuses {harness.count_statuses(sent)}"
        )
        record.note("result", told=told)
        print(told)
        total += ran
    return total > 0


if __name__ == "__main__":
    sys.exit(
        harness.main(
            pathlib.Path(__file__).resolve().parent,
            case,
            90.0,
            sys.argv[1:] != ["0"],
        )
    )
