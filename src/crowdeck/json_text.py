# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Reading of JSON texts that other programs wrote, and of their fields.

A text may hold what its reader does not expect: values nested to any depth,
numbers of any length, invalid UTF-8. Reading such a text raises ``ValueError``
and nothing else, and what is read can be compared, printed and encoded again
without a limit being exceeded.

Fields are not converted: one of an unexpected type is refused, as its meaning
is unknown.
"""

import json
import re
import reprlib
import typing

import attrs
import orjson

Json = dict[str, typing.Any]

# JSON readers that parse numbers as doubles are exact up to here.
MAX_EXACT_INTEGER = 2**53
# Containers within one another. Python's encoders and ``repr`` raise
# RecursionError at a depth that depends on the stack of their caller, and
# orjson encodes fewer levels than it reads.
MAX_DEPTH = 64
# Integers of more digits are read as infinity. Python refuses to convert more
# than 4,300, and no field of ours has as many.
MAX_INTEGER_DIGITS = 400

_REQUIRED: typing.Any = object()
# Stands for a container that orjson reads but does not encode.
_TOO_DEEP = b'"nested too deeply"'
# Text without brackets, then a run of opening or of closing ones.
_BRACKETS = re.compile(
    rb'(?:[^"\[\]{}]++|"[^"\\]*+(?:\\.[^"\\]*+)*+")*+([\[{]++|[\]}]++)',
    re.DOTALL,
)


@attrs.frozen
class RawContainer:
    """The text of a JSON object or array that has not been read."""

    text: bytes


def decode(content: bytes) -> typing.Any:
    """Return the value of a JSON text.

    :raises ValueError: if it is no JSON text, or nested deeper than
        ``MAX_DEPTH``.
    """
    value = orjson.loads(content)
    if _is_deeper(value, MAX_DEPTH):
        raise ValueError(
            f"the JSON text is nested deeper than {MAX_DEPTH} levels"
        )
    return value


def decode_outermost(content: bytes) -> typing.Any:
    """Return the value of a JSON text whose inner containers are not read.

    An object or array inside the outermost one becomes a ``RawContainer``.
    A value in it that cannot be read thus affects no other, whatever its depth
    and size. Outside it, invalid UTF-8 is replaced, and lone surrogates,
    control characters and integers of any length are read.

    :raises ValueError: if brackets are missing, or the rest is no JSON text.

    >>> decode_outermost(b'{"name": "a", "value": [1, 2]}')
    {'name': 'a', 'value': RawContainer(text=b'[1, 2]')}
    """
    containers: list[RawContainer] = []
    # The text with the index of each inner container, in brackets, in place
    # of that container.
    outline: list[bytes] = []
    outline_end = 0
    for start, end in _inner_containers(content):
        outline += (content[outline_end:start], b"[%d]" % len(containers))
        containers.append(RawContainer(content[start:end]))
        outline_end = end
    outline.append(content[outline_end:])
    value = _decode_leniently(b"".join(outline))
    if isinstance(value, dict):
        return {
            name: _replace_index(item, containers)
            for name, item in value.items()
        }
    if isinstance(value, list):
        return [_replace_index(item, containers) for item in value]
    return value


def decode_lists(content: bytes) -> typing.Any:
    """Return the value of a JSON text that holds the values of many writers.

    Where the text cannot be read as a whole, only its outermost container is:
    use :func:`opened` on each of the others.

    :raises ValueError: if the outermost container cannot be read.
    """
    try:
        return orjson.loads(content)
    except orjson.JSONDecodeError:
        return decode_outermost(content)


def opened(value: typing.Any) -> typing.Any:
    """Return a value, with a ``RawContainer`` read one level deep.

    :raises ValueError: as for :func:`decode_outermost`.
    """
    if isinstance(value, RawContainer):
        return decode_outermost(value.text)
    return value


def encode(value: object) -> bytes:
    """Return the JSON text of a value read by :func:`decode_lists`.

    The text of a ``RawContainer`` is returned unchanged. What
    :func:`decode` refuses may become another text that it refuses.
    """
    if isinstance(value, RawContainer):
        return value.text
    if isinstance(value, float):
        return json.dumps(value).encode("ascii")
    try:
        return orjson.dumps(value)
    except TypeError:
        if isinstance(value, (dict, list)):
            return _TOO_DEEP
        return json.dumps(value).encode("ascii")


def text(body: Json, name: str, default: str = _REQUIRED) -> str:
    """Return a string field.

    :raises KeyError: if it is missing and has no default.
    :raises TypeError: if it is not a string.
    :raises ValueError: if it has lone surrogates, which cannot be sent.
    """
    value = _find(body, name, default)
    if type(value) is not str:
        raise TypeError(f"{name} is {_shown(value)}, not a string")
    if not value.isascii():
        value.encode()
    return value


def header_text(body: Json, name: str) -> str:
    """Return a string field that can be sent in an HTTP header.

    :raises KeyError: if it is missing.
    :raises TypeError: if it is not a string.
    :raises ValueError: if it is empty or not printable ASCII.
    """
    value = text(body, name)
    if not value or not value.isascii() or not value.isprintable():
        raise ValueError(
            f"{name} is {_shown(value)}; expected non-empty printable ASCII"
        )
    return value


def integer(body: Json, name: str, default: int = _REQUIRED) -> int:
    """Return an integer field of 0 or more.

    :raises KeyError: if it is missing and has no default.
    :raises TypeError: if it is not an integer.
    :raises ValueError: if it is negative or too large.
    """
    value = _find(body, name, default)
    if type(value) is not int:
        raise TypeError(f"{name} is {_shown(value)}, not an integer")
    if not 0 <= value <= MAX_EXACT_INTEGER:
        raise ValueError(
            f"{name} is {_shown(value)}; expected 0 to {MAX_EXACT_INTEGER}"
        )
    return value


def number(body: Json, name: str, default: float = _REQUIRED) -> float:
    """Return a numeric field of 0 or more.

    :raises KeyError: if it is missing and has no default.
    :raises TypeError: if it is not a number.
    :raises ValueError: if it is negative or too large.
    """
    value = _find(body, name, default)
    if type(value) not in (int, float):
        raise TypeError(f"{name} is {_shown(value)}, not a number")
    if not 0 <= value <= MAX_EXACT_INTEGER:
        raise ValueError(
            f"{name} is {_shown(value)}; expected 0 to {MAX_EXACT_INTEGER}"
        )
    return float(value)


def boolean(body: Json, name: str) -> bool:
    """Return a boolean field, ``False`` if it is missing.

    :raises TypeError: if it is not a boolean.
    """
    value = _find(body, name, False)
    if type(value) is not bool:
        raise TypeError(f"{name} is {_shown(value)}, not a boolean")
    return value


def list_field(body: Json, name: str) -> list[Json]:
    """Return a list field, empty if it is missing.

    The items are not checked.

    :raises TypeError: if it is not a list.
    """
    value = _find(body, name, [])
    if type(value) is not list:
        raise TypeError(f"{name} is {_shown(value)}, not a list")
    return value


def _inner_containers(content: bytes) -> typing.Iterator[tuple[int, int]]:
    """Yield where the containers in the outermost one begin and end.

    Kinds of brackets are not compared: whoever reads the container does.
    """
    depth = 0
    start = position = 0
    while (found := _BRACKETS.match(content, position)) is not None:
        first, position = found.span(1)
        length = position - first
        if content[first] in b"[{":
            if depth < 2 <= depth + length:
                start = first + 1 - depth
            depth += length
            continue
        if depth - length < 2 <= depth:
            yield start, first + depth - 1
        depth -= length
        if depth < 0:
            break
    if depth:
        raise ValueError("the brackets of the JSON text are not balanced")


def _decode_leniently(outline: bytes) -> typing.Any:
    try:
        return orjson.loads(outline)
    except orjson.JSONDecodeError:
        return json.loads(
            outline.decode("utf-8", "replace"),
            parse_int=_parse_integer,
            strict=False,
        )


def _parse_integer(digits: str) -> float:
    if len(digits) > MAX_INTEGER_DIGITS:
        return float("-inf" if digits.startswith("-") else "inf")
    return int(digits)


def _replace_index(
    item: typing.Any, containers: list[RawContainer]
) -> typing.Any:
    return containers[item[0]] if isinstance(item, list) else item


def _is_deeper(value: object, limit: int) -> bool:
    """Whether containers are nested to more than ``limit`` levels."""
    level = [value] if isinstance(value, (dict, list)) else []
    for _ in range(limit):
        if not level:
            return False
        level = [
            item
            for container in level
            for item in (
                container.values()
                if isinstance(container, dict)
                else container
            )
            if isinstance(item, (dict, list))
        ]
    return bool(level)


def _find(body: Json, name: str, default: typing.Any) -> typing.Any:
    """Return a field, or its default if it is missing or null."""
    if type(body) is not dict:
        raise TypeError(f"{_shown(body)} is not a JSON object")
    value = body.get(name)
    if value is not None:
        return value
    if default is _REQUIRED:
        raise KeyError(name)
    return default


def _shown(value: object) -> str:
    # Unlike repr, limits the depth and size of what it reads.
    return f"{reprlib.repr(value):.40}"
