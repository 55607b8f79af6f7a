# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Reads the status of fleet entries."""

import collections
import typing

import anyio
import attrs

from crowdeck import errors
from crowdeck import http
from crowdeck import instance as instances
from crowdeck import json_text
from crowdeck.membership import peer_http
from crowdeck.membership import roster as rosters
from crowdeck.state import objects as stores

MAX_STATUS_BYTES = 4 * 1024 * 1024
# Bounds the memory for replies, which may be large.
MAX_CONCURRENT_QUERIES = 16
# Rows printed for people; JSON output has all.
MAX_SHOWN_ROWS = 30

Row = dict[str, typing.Any]


async def read(
    store: stores.ObjectStore, client: http.HttpClient, timeout: float
) -> list[Row]:
    """Read the status of every entry that is registered in the store.

    An entry that cannot be reached has the state ``lost``.

    :param timeout: longest wait for each reply, in seconds.
    """
    listing = await store.list(rosters.KIND)
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_QUERIES)
    rows: list[Row] = []

    async def read_entry(stored: stores.StoredObject) -> None:
        async with limiter:
            rows.append(await _read_entry(client, stored, timeout))

    async with anyio.create_task_group() as tasks:
        for stored in listing.objects:
            tasks.start_soon(read_entry, stored)
    return sorted(rows, key=lambda row: str(row["instance"]))


async def _read_entry(
    client: http.HttpClient, stored: stores.StoredObject, timeout: float
) -> Row:
    row: Row = {"instance": stored.name, "role": "entry"}
    address = rosters.decode_record(stored).address
    if address is None:
        return row | {
            "state": "unknown",
            "error": "the entry has registered no address",
        }
    try:
        status = await _fetch_status(client, address, timeout)
    except errors.CrowdeckError as error:
        return row | {"state": "lost", "error": error.message}
    return row | status | {"state": "up" if status["is_ready"] else "unready"}


async def _fetch_status(
    client: http.HttpClient, address: instances.Address, timeout: float
) -> Row:
    url = f"http://{address}{peer_http.STATUS_PATH}"
    timeouts = http.Timeouts(timeout, timeout)
    async with client.open("GET", url, [], b"", timeouts) as response:
        body = await response.read(MAX_STATUS_BYTES)
        status = response.status
    try:
        found = json_text.decode(body) if status == 200 else None
    except ValueError:
        found = None
    if not isinstance(found, dict) or "is_ready" not in found:
        raise errors.CrowdeckError(
            errors.Code.MALFORMED,
            f"status reply with HTTP status {status}; expected 200 and a "
            "JSON object with is_ready",
        )
    return found


@attrs.define
class _BackpressureGroup:
    """The backpressure of one kind in one zone of a service.

    :ivar seconds_by_address: for each instance, how long it has lasted by
        the entry that reports the longest time.
    :ivar limit_by_address: requests per second that each instance accepts.
    :ivar used: requests per second that all entries send.
    :ivar entries: names of the entries that report it.
    """

    seconds_by_address: dict[str, float] = attrs.field(factory=dict)
    limit_by_address: dict[str, float] = attrs.field(factory=dict)
    used: float = 0.0
    entries: set[str] = attrs.field(factory=set)

    def merge(self, entry: str, record: Row) -> None:
        address = str(record["address"])
        seconds = float(record["seconds"])
        longest = self.seconds_by_address.get(address, 0.0)
        self.seconds_by_address[address] = max(longest, seconds)
        self.entries.add(entry)
        if "per_second" in record:
            self.limit_by_address[address] = float(record["per_second"])
        self.used += float(record.get("used") or 0.0)


def sum_backpressure(rows: list[Row]) -> list[Row]:
    """Return the backpressure of instances by service, zone and kind.

    The limits are summed over the instances, and their use over all entries
    that replied.
    """
    groups: dict[tuple[str, str, str], _BackpressureGroup] = (
        collections.defaultdict(_BackpressureGroup)
    )
    for row in rows:
        for record in row.get("needs", ()):
            key = (record["service"], record["zone"], record["need"])
            groups[key].merge(str(row["instance"]), record)
    return [
        {
            "service": service,
            "zone": zone,
            "need": kind,
            "instances": len(group.seconds_by_address),
            "longest s": round(max(group.seconds_by_address.values()), 1),
            "limit/s": round(sum(group.limit_by_address.values()), 2),
            "used/s": round(group.used, 2),
            "entries": len(group.entries),
        }
        for (service, zone, kind), group in sorted(groups.items())
    ]


def list_backpressure(rows: list[Row]) -> list[Row]:
    """Return the backpressure of each instance, as reported by each entry."""
    records = [
        {"entry": row["instance"], **record}
        for row in rows
        for record in row.get("needs", ())
    ]
    records.sort(
        key=lambda record: (
            record["service"],
            record["zone"],
            record["upstream"],
        )
    )
    return records


def list_load_exchange(rows: list[Row]) -> list[Row]:
    """Return how well each entry knows the load of the others.

    Entries that exchange no load are left out.
    """
    return [
        {
            "entry": row["instance"],
            "others' load": "current" if load["is_current"] else "outdated",
            "entries": load["entries"],
            "of": load["expected"],
            "age s": load["age_seconds"],
            "collector": load["collector"],
        }
        for row in rows
        if (load := row.get("load")) and load["is_enabled"]
    ]


def list_unheld(rows: list[Row]) -> list[Row]:
    """Return the layers that no engine holds, one row for each.

    If several entries report the same layers, the longest time is kept.
    """
    longest: dict[tuple[str, str], Row] = {}
    for row in rows:
        for unheld in row.get("unheld", ()):
            key = (unheld["service"], unheld["layers"])
            known = longest.get(key)
            if known is None or unheld["seconds"] > known["seconds"]:
                longest[key] = unheld
    return [unheld for _, unheld in sorted(longest.items())]
