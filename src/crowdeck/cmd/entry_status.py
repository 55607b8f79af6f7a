# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""What entries before engines that chain their stages tell an operator."""

import collections
import typing

import anyio
import attrs
import orjson

from crowdeck import errors
from crowdeck import http
from crowdeck import instance as instances
from crowdeck.membership import peer_http
from crowdeck.membership import roster as rosters
from crowdeck.state import objects as stores

ANSWER_BYTES = 4 * 1024 * 1024
# Questions under way at once; a status of hundreds of needs is some 100 KB.
AT_ONCE = 16
# Instances that are shown to people; programs get all.
MAX_SHOWN = 30

Row = dict[str, typing.Any]


async def read(
    store: stores.ObjectStore, client: http.HttpClient, timeout: float
) -> list[Row]:
    """Ask every entry that is noted in the store; the lost are said so."""
    listing = await store.list(rosters.KIND)
    limiter = anyio.CapacityLimiter(AT_ONCE)
    rows: list[Row] = []

    async def ask(stored: stores.StoredObject) -> None:
        async with limiter:
            rows.append(await _read_one(client, stored, timeout))

    async with anyio.create_task_group() as tasks:
        for one in listing.objects:
            tasks.start_soon(ask, one)
    return sorted(rows, key=lambda row: str(row["instance"]))


async def _read_one(
    client: http.HttpClient, stored: stores.StoredObject, timeout: float
) -> Row:
    row: Row = {"instance": stored.name, "role": "entry"}
    address = rosters.decode_record(stored).address
    if address is None:
        return row | {"state": "unknown", "error": "it tells no address"}
    try:
        found = await _ask(client, address, timeout)
    except errors.CrowdeckError as error:
        return row | {"state": "lost", "error": error.message}
    return row | found | {"state": "up" if found["is_ready"] else "unready"}


async def _ask(
    client: http.HttpClient, address: instances.Address, timeout: float
) -> Row:
    url = f"http://{address}{peer_http.STATUS_PATH}"
    timeouts = http.Timeouts(timeout, timeout)
    async with client.open("GET", url, [], b"", timeouts) as response:
        body = await response.read(ANSWER_BYTES)
        status = response.status
    try:
        found = orjson.loads(body) if status == 200 else None
    except ValueError:
        found = None
    if not isinstance(found, dict) or "is_ready" not in found:
        raise errors.CrowdeckError(
            errors.Code.MALFORMED, f"it answered {status} and no status"
        )
    return found


@attrs.define
class _Group:
    """What entries tell of one need in one zone of a service."""

    instances: dict[str, float] = attrs.field(factory=dict)
    limits: dict[str, float] = attrs.field(factory=dict)
    used: float = 0.0
    entries: set[str] = attrs.field(factory=set)

    def take(self, entry: str, need: Row) -> None:
        address = str(need["address"])
        seconds = float(need["seconds"])
        known = self.instances.get(address, 0.0)
        self.instances[address] = max(known, seconds)
        self.entries.add(entry)
        if "per_second" in need:
            self.limits[address] = float(need["per_second"])
        self.used += float(need.get("used") or 0.0)


def sum_needs(rows: list[Row]) -> list[Row]:
    """Return what instances ask for, by service, zone and need.

    What is used of a limit is the sum over all entries that answered.
    """
    groups: dict[tuple[str, str, str], _Group] = collections.defaultdict(
        _Group
    )
    for row in rows:
        for need in row.get("needs", ()):
            key = (need["service"], need["zone"], need["need"])
            groups[key].take(str(row["instance"]), need)
    return [
        {
            "service": service,
            "zone": zone,
            "need": need,
            "instances": len(group.instances),
            "longest s": round(max(group.instances.values()), 1),
            "limit a s": round(sum(group.limits.values()), 2),
            "used a s": round(group.used, 2),
            "told by": len(group.entries),
        }
        for (service, zone, need), group in sorted(groups.items())
    ]


def list_needs(rows: list[Row]) -> list[Row]:
    """Return what each instance asks for, as each entry knows it."""
    found = [
        {"entry": row["instance"], **need}
        for row in rows
        for need in row.get("needs", ())
    ]
    found.sort(key=lambda one: (one["service"], one["zone"], one["upstream"]))
    return found


def list_unheld(rows: list[Row]) -> list[Row]:
    """Return the layers that no engine holds; the longest known of each."""
    longest: dict[tuple[str, str], Row] = {}
    for row in rows:
        for gap in row.get("unheld", ()):
            key = (gap["service"], gap["layers"])
            known = longest.get(key)
            if known is None or gap["seconds"] > known["seconds"]:
                longest[key] = gap
    return [one for _, one in sorted(longest.items())]
