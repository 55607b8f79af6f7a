# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Reads fields of JSON objects and checks their types.

Values are not converted: a field of an unexpected type is refused, as its
meaning is unknown.
"""

import reprlib
import typing

Json = dict[str, typing.Any]

# JSON readers that parse numbers as doubles are exact up to here.
MAX_EXACT_INTEGER = 2**53
_REQUIRED: typing.Any = object()


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
