# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Typed and bounded options, parsed from INI values."""

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
        """Name in the file."""
        ...

    @property
    def default(self) -> Value:
        """Value if the option is not given."""
        ...

    @property
    def help(self) -> str:
        """Description for the documentation."""
        ...

    @property
    def allowed(self) -> str:
        """Description of the allowed values, for error messages."""
        ...

    def read(self, text: str) -> Value:
        """Parse a value.

        :raises ValueError: if it is not allowed.
        """
        ...


@attrs.frozen
class Text:
    """A string, limited to ``choices`` if there are any.

    :ivar is_required: whether an empty value is refused; a missing option
        gets the default in any case.
    """

    name: str
    default: str
    help: str
    choices: tuple[str, ...] = ()
    is_required: bool = False

    @property
    def allowed(self) -> str:
        """Description of the allowed values."""
        if self.choices:
            return "one of " + ", ".join(self.choices)
        return "a non-empty string" if self.is_required else "any string"

    def read(self, text: str) -> str:
        """Return ``text`` if it is allowed."""
        if self.choices and text not in self.choices:
            raise ValueError(text)
        if self.is_required and not text:
            raise ValueError(text)
        return text


@attrs.frozen
class Integer:
    """An integer within inclusive bounds."""

    name: str
    default: int
    help: str
    minimum: int
    maximum: int

    @property
    def allowed(self) -> str:
        """Description of the allowed values."""
        return f"an integer from {self.minimum} to {self.maximum}"

    def read(self, text: str) -> int:
        """Parse a number within the bounds."""
        value = int(text)
        if not self.minimum <= value <= self.maximum:
            raise ValueError(text)
        return value


@attrs.frozen
class Number:
    """A floating-point number within inclusive bounds."""

    name: str
    default: float
    help: str
    minimum: float
    maximum: float

    @property
    def allowed(self) -> str:
        """Description of the allowed values."""
        return f"a number from {self.minimum:g} to {self.maximum:g}"

    def read(self, text: str) -> float:
        """Parse a number within the bounds."""
        value = float(text)
        if not self.minimum <= value <= self.maximum:
            raise ValueError(text)
        return value


@attrs.frozen
class Flag:
    """A boolean; see ``TRUE_WORDS`` and ``FALSE_WORDS``."""

    name: str
    default: bool
    help: str

    @property
    def allowed(self) -> str:
        """Description of the allowed values."""
        return "yes or no"

    def read(self, text: str) -> bool:
        """Parse a boolean."""
        word = text.lower()
        if word in TRUE_WORDS:
            return True
        if word in FALSE_WORDS:
            return False
        raise ValueError(text)


class Options:
    """The options that a section accepts."""

    def __init__(self, options: tuple[Option, ...]) -> None:
        self._options = {option.name: option for option in options}

    def __iter__(self) -> typing.Iterator[Option]:
        return iter(self._options.values())

    def get(self, name: str) -> Option:
        """Return the option of that name.

        :raises SettingsError: if there is none.
        """
        option = self._options.get(name)
        if option is None:
            raise errors.SettingsError(self._describe_unknown(name))
        return option

    def read_given(
        self, section: str, pairs: dict[str, str]
    ) -> dict[str, Value]:
        """Parse the given options only.

        :raises SettingsError: with a message that names the section, the
            option and the allowed values.
        """
        values: dict[str, Value] = {}
        for name, text in pairs.items():
            if name not in self._options:
                raise errors.SettingsError(
                    f"[{section}] {self._describe_unknown(name)}"
                )
            option = self._options[name]
            try:
                values[name] = option.read(text.strip())
            except ValueError:
                raise errors.SettingsError(
                    f"[{section}] {name}: invalid value {text!r}; "
                    f"expected {option.allowed}"
                ) from None
        return values

    def read_all(
        self, section: str, pairs: dict[str, str]
    ) -> dict[str, Value]:
        """Parse the given options and fill in the defaults.

        :raises SettingsError: as ``read_given``.
        """
        values: dict[str, Value] = {
            option.name: option.default for option in self
        }
        values.update(self.read_given(section, pairs))
        return values

    def _describe_unknown(self, name: str) -> str:
        matches = difflib.get_close_matches(name, self._options, n=1)
        hint = f"; did you mean {matches[0]}?" if matches else ""
        return f"{name}: no such option{hint}"
