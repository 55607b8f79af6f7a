# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Messages by which entries tell one another their load, as JSON."""

import collections
import typing

import attrs
import orjson

from crowdeck import errors
from crowdeck import json_text
from crowdeck.routing import usage as usages

# Larger numbers are taken for errors.
MAX_NUMBER = 1e15
# Engines found lost that one message names; those most entries found first.
MAX_LOST_ENGINES = 100

_Json = typing.Any


@attrs.frozen
class LoadReport:
    """What an entry has in progress, or the entries of a zone together.

    :ivar sender: name of the entry that tells it.
    :ivar zone: its availability zone.
    :ivar run: identifies the sender's process.
    :ivar number: grows with each report of this process.
    :ivar is_zone_sum: whether it covers the entries of the zone that told
        the sender their load.
    """

    sender: str
    zone: str
    run: str
    number: int
    load: usages.EntryLoad
    is_zone_sum: bool = False


@attrs.frozen
class LoadAnswer:
    """The answer to a report.

    :ivar load: to an entry, the load of all others; to another zone, that
        of the answering entry's zone.
    :ivar collector: name of the entry that the answering entry reports to,
        its own name if it collects itself.
    """

    load: usages.EntryLoad
    collector: str


def encode_report(report: LoadReport) -> bytes:
    """Return a report as JSON."""
    return orjson.dumps(
        {
            "sender": report.sender,
            "zone": report.zone,
            "run": report.run,
            "number": report.number,
            "is_zone_sum": report.is_zone_sum,
            "load": _encode_load(report.load),
        }
    )


def decode_report(content: bytes) -> LoadReport:
    """Return the report in a message.

    :raises CrowdeckError: ``MALFORMED`` if it is none.
    """
    try:
        body = json_text.decode(content)
        report = LoadReport(
            _text(body["sender"]),
            _text(body["zone"]),
            _text(body["run"]),
            _count(body["number"]),
            _decode_load(body["load"]),
            body["is_zone_sum"] is True,
        )
        if not report.is_zone_sum and report.load.entry_count != 1:
            raise ValueError(f"{report.load.entry_count} entries instead of 1")
    except (KeyError, TypeError, ValueError) as error:
        raise _malformed("report", error) from None
    return report


def encode_answer(answer: LoadAnswer) -> bytes:
    """Return an answer as JSON."""
    return orjson.dumps(
        {"load": _encode_load(answer.load), "collector": answer.collector}
    )


def decode_answer(content: bytes) -> LoadAnswer:
    """Return the answer in a message.

    :raises CrowdeckError: ``MALFORMED`` if it is none.
    """
    try:
        body = json_text.decode(content)
        return LoadAnswer(_decode_load(body["load"]), _text(body["collector"]))
    except (KeyError, TypeError, ValueError) as error:
        raise _malformed("answer", error) from None


def _malformed(what: str, error: Exception) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.MALFORMED,
        f"expected a load {what} with finite numbers from 0 to "
        f"{MAX_NUMBER:g} ({error!r}); do all entries run the same release?",
    )


def _encode_load(load: usages.EntryLoad) -> _Json:
    return {
        "entries": load.entry_count,
        "engines": {
            name: [
                engine.sequences,
                engine.token_layers,
                engine.starting,
                round(engine.first_event_seconds, 4),
                round(engine.first_event_count, 4),
            ]
            for name, engine in load.engines.items()
        },
        "waiting": [
            [service, rank, count]
            for (service, rank), count in load.waiting.items()
        ],
        "zone_link_tokens": [
            [zone, other_zone, tokens]
            for (zone, other_zone), tokens in load.zone_link_tokens.items()
        ],
        "lost_engines": dict(
            collections.Counter(load.lost_engines).most_common(
                MAX_LOST_ENGINES
            )
        ),
    }


def _decode_load(body: _Json) -> usages.EntryLoad:
    engines = body["engines"]
    if not isinstance(engines, dict):
        _refuse(engines)
    entry_count = _count(body["entries"])
    return usages.EntryLoad(
        entry_count,
        {name: _decode_engine(*numbers) for name, numbers in engines.items()},
        {
            (_text(service), _count(rank)): _count(count)
            for service, rank, count in body["waiting"]
        },
        {
            (_text(zone), _text(other_zone)): _number(tokens)
            for zone, other_zone, tokens in body["zone_link_tokens"]
        },
        # Entries of an earlier release do not tell it.
        _decode_lost_engines(body.get("lost_engines", {}), entry_count),
    )


def _decode_lost_engines(body: _Json, entry_count: int) -> dict[str, int]:
    if not isinstance(body, dict) or len(body) > MAX_LOST_ENGINES:
        _refuse(body)
    for count in body.values():
        if not 1 <= _count(count) <= entry_count:
            _refuse(count)
    return body


def _decode_engine(
    sequences: _Json,
    token_layers: _Json,
    starting: _Json,
    first_event_seconds: _Json,
    first_event_count: _Json,
) -> usages.EngineLoad:
    return usages.EngineLoad(
        _count(sequences),
        _number(token_layers),
        _count(starting),
        _number(first_event_seconds),
        _number(first_event_count),
    )


def _text(value: _Json) -> str:
    return value if isinstance(value, str) else _refuse(value)


def _count(value: _Json) -> int:
    if type(value) is not int or not 0 <= value <= MAX_NUMBER:
        _refuse(value)
    return int(value)


def _number(value: _Json) -> float:
    # Comparisons with a NaN are false.
    if type(value) not in (int, float) or not 0.0 <= value <= MAX_NUMBER:
        _refuse(value)
    return float(value)


def _refuse(value: _Json) -> typing.NoReturn:
    raise ValueError(f"found {value!r:.100}")
