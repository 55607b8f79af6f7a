# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""JSON texts as another program may write them.

Values are nested deeper, longer or larger than readers expect, or cannot be
read at all. Brackets are balanced: a store whose answer is cut off has not
answered.
"""

import typing

from hypothesis import strategies
import orjson


def nested(levels: int) -> bytes:
    """Return arrays within one another."""
    return b"[" * levels + b"]" * levels


def nested_objects(levels: int) -> bytes:
    """Return objects within one another."""
    return b'{"a":' * levels + b"1" + b"}" * levels


# Beyond what orjson encodes, what Python's encoder and repr take, and what
# orjson reads.
DEEP = tuple(
    nest(levels)
    for nest in (nested, nested_objects)
    for levels in (65, 255, 300, 940, 1_000, 1_020, 1_100, 50_000)
)
LONG_NUMBERS = (
    b"9" * 20,
    b"9" * 400,
    b"9" * 5_000,
    b"-" + b"9" * 5_000,
    b"1e300",
    b"1e400",
    b"-1e999999999",
    b"0." + b"1" * 5_000,
    b"9007199254740993",
)
UNREADABLE = (
    b'"\\ud800"',
    b'"\xff\xfe"',
    b'["\\udfff"]',
    b'{"\\ud800": "\xc3\x28"}',
    b"NaN",
    b"[Infinity]",
    b'"\x00\x1f"',
    b"nul",
    b"[,]",
    b"{1:2}",
    b'{"a" 1}',
)
LARGE = (
    b"[" + b"0," * 20_000 + b"0]",
    b'"' + b"a" * 200_000 + b'"',
    b'"' + b"\\u0000" * 20_000 + b'"',
    b'"' + b"[{" * 20_000 + b'"',
    b"[" + b"[]," * 20_000 + b"[]]",
)
VALUES = (*DEEP, *LONG_NUMBERS, *UNREADABLE, *LARGE)
_SMALL_VALUES = (
    b"null",
    b"true",
    b"-1",
    b"0.5",
    b'""',
    b'"nan"',
    b'"inf"',
    b'"-1e999"',
    b'"' + b"9" * 5_000 + b'"',
    b"[]",
    b"{}",
    b"[[]]",
)


def label(text: bytes) -> str:
    """Return a short name of a text, for the ids of tests."""
    return f"{text[:8].decode('latin-1')!a:.12}-{len(text)}"


values = strategies.sampled_from((*VALUES, *_SMALL_VALUES))


@strategies.composite
def texts(draw: strategies.DrawFn, whole: typing.Any) -> bytes:
    """Return a JSON text with some of its parts replaced or missing."""
    choice = draw(strategies.integers(0, 9))
    if choice == 0:
        return draw(values)
    if isinstance(whole, dict):
        members = [
            orjson.dumps(name) + b":" + draw(texts(item))
            for name, item in whole.items()
            if draw(strategies.integers(0, 9))
        ]
        if choice == 1:
            members.append(b'"other":' + draw(values))
        return b"{" + b",".join(members) + b"}"
    if isinstance(whole, (list, tuple)):
        return b"[" + b",".join(draw(texts(item)) for item in whole) + b"]"
    return orjson.dumps(whole)
