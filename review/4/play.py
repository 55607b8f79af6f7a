"""One entry of another writer in the store, while requests are served."""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "rig-2"))

import rig  # noqa: E402

KEY = "n2ctnfzs989anu6wsjnb"
ZONES = ("cyberjaya", "cyberjaya", "shah-alam", "putrajaya")
REQUESTERS_PER_ZONE = 8
STREAM_HEADERS = (
    ("X-Model", "m"),
    ("X-Token-Counts", "800,43"),
    ("X-Prompt-Prefix", "5c1e07a2:40,91bd3f06:760"),
)
PROFILE = {
    "layers": 8,
    "layer_mb": 1750,
    "kv_token_bytes": 1_000_000,
    "step_ms": 0.85,
    "per_seq_ms": 0.02,
    "context_per_k": 0.05,
    "read_per_s": 196_000,
    "pairs_per_m": 0.1,
    "chunk": 2048,
    "stride": 1,
    "activation_bytes": 16_384,
    "link_mbps": 9_000,
    "pipeline_mbps": 9_000,
    "models": [{"name": "m", "load_time_s": 1.0}],
    "loads_at_once": 4,
    "slots": 96,
    "usual": {"prompt": 800, "answer": 86},
    "kinds": [
        {"name": "h100", "size_mb": 72_000, "pace": 1.4, "read_factor": 1}
    ],
    "delays": [],
    "report_lag_ms": 100,
}
# A field of another type: an array in arrays. A little over 2 KB.
LEVELS = 1_000
CALM_SECONDS = 6.0
AFTER_SECONDS = 14.0


def config():
    common = {"host": "ficu95.example", "max_attempts": 2, "priority": 1}
    stream = common | {
        "name": "lot-summary",
        "path_prefix": "/lohu930/",
        "route_kind": "streaming",
        "service": "assistant",
        "timeout_ms": 20_000,
        "target_latency_ms": 500,
        "target_gap_ms": 200,
        "session_affinity": True,
    }
    call = common | {
        "name": "map-tile",
        "path_prefix": "/puxa403/",
        "route_kind": "non_idempotent",
        "service": "viewer",
        "timeout_ms": 2_500,
        "target_latency_ms": 200,
    }
    return {
        "version": 7,
        "routes": [stream, call],
        "services": [
            {
                "name": "assistant",
                "connection_limit": 898,
                "engine": PROFILE,
            },
            {"name": "viewer", "connection_limit": 49},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": "hule930", "api_keys": [KEY]}],
    }


def other_writers_entry(engine):
    """Return an entry like an engine's whose ``layers`` is an array."""
    entry = engine.entry() | {"layers": None, "address": "127.0.0.1:9"}
    nested = "[" * LEVELS + "]" * LEVELS
    return json.dumps(entry).replace('"layers": null', f'"layers": {nested}')


async def ask(requester, number, until):
    """Send streams and calls by turns, with pauses between them."""
    await asyncio.sleep(0.1 * number)
    while time.monotonic() < until:
        await requester.request(
            "POST", "/lohu930/2f", 20.0, headers=STREAM_HEADERS
        )
        await asyncio.sleep(0.2)
        await requester.request("POST", "/puxa403/2f", 2.5)
        await asyncio.sleep(0.2)


async def play(case):
    case.store.write("config", "main", json.dumps(config()))
    for zone in sorted(set(ZONES)):
        await case.add_engine("assistant", zone, card="h100")
        await case.add_engine("viewer", zone, work=0.045)
    for number, zone in enumerate(ZONES):
        await case.add_entry(f"frontend-{zone}-{number}", zone)
    await case.wait_ready()
    # Machines are in touch once they have run for this long, and the engines
    # hold their layers by then.
    await asyncio.sleep(rig.CONTACT_SECONDS + 3.0)
    began = time.monotonic()
    until = began + CALM_SECONDS + AFTER_SECONDS
    for number in range(REQUESTERS_PER_ZONE * 3):
        requester = case.add_requester(sorted(set(ZONES))[number % 3], key=KEY)
        case.spawn(ask(requester, number % 8, until))
    await asyncio.sleep(CALM_SECONDS)
    written_at = time.monotonic()
    if rig.has_trouble():
        case.store.write(
            "servers", "other-1", other_writers_entry(case.engines[0])
        )
        case.record.line("store    another writer's entry other-1, 2 KB")
    await asyncio.sleep(AFTER_SECONDS)
    return judge(case, began, written_at)


def judge(case, began, written_at):
    runs = case.runs()
    # LOST: from a kept channel, passed on to a sound engine, and the channel
    # was closed without a complete answer.
    lost = [
        sent
        for sent in case.sent()
        if sent["status"] == "closed" and sent["kept"] and sent["id"] in runs
    ]
    calm = [s for s in case.sent() if s.get("end", written_at) < written_at]
    later = [s for s in case.sent() if s["at"] > written_at + 5.0]
    note = case.record.line
    note(
        f"calm     {len(calm)} requests, "
        f"{sum(s['status'] == 200 for s in calm)} served"
    )
    note(
        f"later    {len(later)} requests, sent 5 s after that moment and "
        f"later, {sum(s['status'] == 200 for s in later)} served"
    )
    for entry in case.entries:
        note(f"ends     {entry.name} ended by itself {len(entry.own_ends)} x")
    note(f"lost     {len(lost)} (the rule allows 3)")
    if not calm or sum(s["status"] == 200 for s in calm) < 0.9 * len(calm):
        raise rig.CannotRun("the calm part was not served")
    return rig.BROKEN if len(lost) > 3 else rig.HELD


if __name__ == "__main__":
    rig.Case(pathlib.Path(__file__).parent).run(play)
