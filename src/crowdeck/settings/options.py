# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Typed, bounded and documented options, read from INI values."""

import difflib
import typing

import attrs

from crowdeck import errors

Value = str | int | float | bool

TRUE_WORDS = frozenset({"yes", "true", "on", "1"})
FALSE_WORDS = frozenset({"no", "false", "off", "0"})


class Option(typing.Protocol):
    """One named option."""

    @property
    def name(self) -> str:
        """Name, as written in the file."""
        ...

    @property
    def default(self) -> Value:
        """The value where none is given."""
        ...

    @property
    def help(self) -> str:
        """What it does, for the documentation."""
        ...

    @property
    def allowed(self) -> str:
        """What values are allowed, in words."""
        ...

    def read(self, text: str) -> Value:
        """Return the value that ``text`` stands for.

        :raises ValueError: when it is not allowed.
        """
        ...


@attrs.frozen
class Text:
    """Any text; ``choices`` limits it, ``is_required`` bars emptiness."""

    name: str
    default: str
    help: str
    choices: tuple[str, ...] = ()
    is_required: bool = False

    @property
    def allowed(self) -> str:
        """What values are allowed."""
        if self.choices:
            return "one of " + ", ".join(self.choices)
        return "text that is not empty" if self.is_required else "any text"

    def read(self, text: str) -> str:
        """Return the text."""
        if self.choices and text not in self.choices:
            raise ValueError(text)
        if self.is_required and not text:
            raise ValueError(text)
        return text


@attrs.frozen
class Integer:
    """A whole number within bounds."""

    name: str
    default: int
    help: str
    minimum: int
    maximum: int

    @property
    def allowed(self) -> str:
        """What values are allowed."""
        return f"a whole number from {self.minimum} to {self.maximum}"

    def read(self, text: str) -> int:
        """Return the number."""
        value = int(text)
        if not self.minimum <= value <= self.maximum:
            raise ValueError(text)
        return value


@attrs.frozen
class Number:
    """A number within bounds."""

    name: str
    default: float
    help: str
    minimum: float
    maximum: float

    @property
    def allowed(self) -> str:
        """What values are allowed."""
        return f"a number from {self.minimum:g} to {self.maximum:g}"

    def read(self, text: str) -> float:
        """Return the number."""
        value = float(text)
        if not self.minimum <= value <= self.maximum:
            raise ValueError(text)
        return value


@attrs.frozen
class Flag:
    """Yes or no."""

    name: str
    default: bool
    help: str

    @property
    def allowed(self) -> str:
        """What values are allowed."""
        return "yes or no"

    def read(self, text: str) -> bool:
        """Return whether it is set."""
        word = text.lower()
        if word in TRUE_WORDS:
            return True
        if word in FALSE_WORDS:
            return False
        raise ValueError(text)


class Options:
    """The options that a section may hold."""

    def __init__(self, options: tuple[Option, ...]) -> None:
        self._options = {option.name: option for option in options}

    def __iter__(self) -> typing.Iterator[Option]:
        return iter(self._options.values())

    def get(self, name: str) -> Option:
        """Return an option.

        :raises SettingsError: when there is none of that name.
        """
        option = self._options.get(name)
        if option is None:
            raise errors.SettingsError(self._unknown(name))
        return option

    def read_given(
        self, section: str, pairs: dict[str, str]
    ) -> dict[str, Value]:
        """Return the values that are given, checked.

        :raises SettingsError: naming section, option and what is allowed.
        """
        values: dict[str, Value] = {}
        for name, text in pairs.items():
            if name not in self._options:
                raise errors.SettingsError(
                    f"[{section}] {self._unknown(name)}"
                )
            option = self._options[name]
            try:
                values[name] = option.read(text.strip())
            except ValueError:
                raise errors.SettingsError(
                    f"[{section}] {name}: {text!r} is not allowed; "
                    f"it takes {option.allowed}"
                ) from None
        return values

    def read_all(
        self, section: str, pairs: dict[str, str]
    ) -> dict[str, Value]:
        """Return every option's value, given or default."""
        values: dict[str, Value] = {
            option.name: option.default for option in self
        }
        values.update(self.read_given(section, pairs))
        return values

    def _unknown(self, name: str) -> str:
        near = difflib.get_close_matches(name, self._options, n=1)
        hint = f"; did you mean {near[0]}?" if near else ""
        return f"{name}: there is no such option{hint}"
