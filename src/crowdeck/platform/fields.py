# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Reading fields of what others wrote, each of the type that it must have.

Nothing is converted: a number where a text belongs was written by somebody
who means something else by it.
"""

import typing

Json = dict[str, typing.Any]

# Whole numbers that every reader of JSON keeps exact. Nothing that is
# counted here comes near.
MAX_EXACT_INTEGER = 2**53
_REQUIRED: typing.Any = object()


def text(body: Json, name: str, default: str = _REQUIRED) -> str:
    """Return a field that holds a text.

    :raises KeyError: where it is missing and has no default.
    :raises TypeError: where it holds anything else.
    """
    found = _find(body, name, default)
    if type(found) is not str:
        raise TypeError(f"{name} holds {found!r:.40}, which is no text")
    return found


def token(body: Json, name: str) -> str:
    """Return a text that may stand in a header: visible ASCII alone.

    :raises ValueError: where it is none.
    """
    found = text(body, name)
    if not found or not found.isascii() or not found.isprintable():
        raise ValueError(f"{name} holds {found!r:.40}")
    return found


def whole(body: Json, name: str, default: int = _REQUIRED) -> int:
    """Return a field that holds a whole number, 0 or more.

    :raises KeyError: where it is missing and has no default.
    :raises TypeError: where it holds anything else.
    :raises ValueError: where it is below 0 or beyond all reason.
    """
    found = _find(body, name, default)
    if type(found) is not int:
        raise TypeError(
            f"{name} holds {found!r:.40}, which is no whole number"
        )
    if not 0 <= found <= MAX_EXACT_INTEGER:
        raise ValueError(f"{name} holds {found}")
    return found


def number(body: Json, name: str, default: float = _REQUIRED) -> float:
    """Return a field that holds a number, 0 or more.

    :raises KeyError: where it is missing and has no default.
    :raises TypeError: where it holds anything else.
    :raises ValueError: where it is below 0 or beyond all reason.
    """
    found = _find(body, name, default)
    if type(found) not in (int, float):
        raise TypeError(f"{name} holds {found!r:.40}, which is no number")
    if not 0 <= found <= MAX_EXACT_INTEGER:
        raise ValueError(f"{name} holds {found}")
    return float(found)


def flag(body: Json, name: str) -> bool:
    """Return a field that holds true or false; false where it is missing.

    :raises TypeError: where it holds anything else.
    """
    found = _find(body, name, False)
    if type(found) is not bool:
        raise TypeError(f"{name} holds {found!r:.40}, not true or false")
    return found


def entries(body: Json, name: str) -> list[Json]:
    """Return a field that holds a list of objects; none where it is missing.

    :raises TypeError: where it holds anything else.
    """
    found = _find(body, name, [])
    if type(found) is not list:
        raise TypeError(f"{name} holds {found!r:.40}, which is no list")
    return found


def _find(body: Json, name: str, default: typing.Any) -> typing.Any:
    """Return a field, its default where it is missing or null."""
    if type(body) is not dict:
        raise TypeError(f"{body!r:.40} is no object")
    found = body.get(name)
    if found is not None:
        return found
    if default is _REQUIRED:
        raise KeyError(name)
    return default
