"""A key is revoked while the store turns one entry away."""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "rig-2"))

import rig  # noqa: E402

KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
OTHER_KEY = "b7qk20x4mfw81dzs5tca"
ZONES = ("cyberjaya", "shah-alam", "putrajaya")
# The zone of the entry that is turned away; it has no other entry.
CUT_ZONE = "shah-alam"
# petaku: platform_down for_s 9.0, how "nodes busy revoke ...".
CUT_SECONDS = 9.0
REVOKED_AFTER_SECONDS = 0.3
REQUESTERS = 12


def config(version, keys):
    return {
        "version": version,
        "routes": [
            {
                "name": "public",
                "host": "ficu95.example",
                "path_prefix": "/puxa403/",
                "route_kind": "non_idempotent",
                "service": "viewer",
                "timeout_ms": 2_500,
                "target_latency_ms": 200,
                "max_attempts": 2,
                "priority": 2,
                "allow_anonymous": True,
            }
        ],
        "services": [{"name": "viewer", "connection_limit": 49}],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [
            {"name": TENANT, "api_keys": keys},
            {"name": "zano17c", "api_keys": [OTHER_KEY]},
        ],
    }


async def rest_and_ask(requester, pause):
    """Use a channel, let it rest, and take it up again."""
    await requester.request("POST", "/puxa403/2f", 2.5)
    await asyncio.sleep(pause)
    await requester.request("POST", "/puxa403/2f", 2.5)


async def play(case):
    case.store.write("config", "main", json.dumps(config(7, [KEY])))
    for zone in ZONES:
        await case.add_engine("viewer", zone, work=0.045)
    for zone in ZONES:
        await case.add_entry(f"frontend-{zone}-1", zone)
    await case.wait_ready()
    await asyncio.sleep(rig.CONTACT_SECONDS + 1.0)
    cut = next(entry for entry in case.entries if entry.zone == CUT_ZONE)
    pause = 0.5 + REVOKED_AFTER_SECONDS + rig.REVOCATION_MS / 1000 + 0.2
    for number in range(REQUESTERS):
        requester = case.add_requester(CUT_ZONE, key=KEY)
        case.spawn(rest_and_ask(requester, pause + 0.25 * number))
    await asyncio.sleep(0.5)
    if rig.has_trouble():
        case.store.turned_away.add(cut.store_port)
        case.record.line(f"store    turns {cut.name} away with 503")
    await asyncio.sleep(REVOKED_AFTER_SECONDS)
    case.store.write("config", "main", json.dumps(config(9, [])))
    acked_at = time.monotonic()
    case.record.line(f"store    config version 9 without the key of {TENANT}")
    await asyncio.sleep(CUT_SECONDS - REVOKED_AFTER_SECONDS)
    case.store.turned_away.clear()
    case.record.line("store    serves all again")
    await asyncio.sleep(1.0)
    return judge(case, cut, acked_at)


def judge(case, cut, acked_at):
    note = case.record.line
    runs = case.runs()
    due = [
        sent
        for sent in case.sent()
        if sent["at"] > acked_at + rig.REVOCATION_MS / 1000
        and sent["entry"] == cut.name
    ]
    broken = [
        sent
        for sent in due
        if any(run["tenant"] == TENANT for run in runs.get(sent["id"], ()))
    ]
    for sent in broken:
        note(
            f"revoked  {sent['id']} sent {sent['at'] - acked_at:.2f} s after "
            f"the ack, run with X-Tenant {TENANT}"
        )
    note(
        f"due      {len(due)} requests with the removed key at {cut.name}, "
        f"over revocation_ms after the ack; {len(broken)} run as {TENANT}"
    )
    if len(due) < REQUESTERS:
        raise rig.CannotRun("too few requests reached the entry")
    return rig.BROKEN if broken else rig.HELD


if __name__ == "__main__":
    rig.Case(pathlib.Path(__file__).parent).run(play)
