# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The operators' settings: a tree of teams, services and sessions.

Each node inherits every value from its parent unless it overrides it.
The tree is written as INI; a section's name is its place in the tree:

    [defaults]
    [service:receipts]
    [team:kiosks]
    [team:kiosks/service:receipts]
    [team:kiosks/service:receipts/session:desk-7]

``[service:NAME]`` declares a plain service and its contract, which no
team can override: whether a call may be repeated is a fact of the
service, not a wish of its user.
"""

import configparser
import difflib
import re

import attrs

from crowdeck import contract as contracts
from crowdeck import errors
from crowdeck.settings import options

ROOT = "defaults"
_NAME = r"[A-Za-z0-9_.-]{1,64}"
_TEAM_SECTION = re.compile(
    rf"team:(?P<team>{_NAME})"
    rf"(/service:(?P<service>{_NAME})(/session:(?P<session>{_NAME}))?)?"
)
_SERVICE_SECTION = re.compile(rf"service:(?P<service>{_NAME})")

NODE_OPTIONS = options.Options(
    (
        options.Text("keys_sha256", "", "SHA-256 of each bearer key, spaced"),
        options.Text("models", "*", "models that may be used, spaced"),
        options.Text("services", "", "plain services that may be called"),
        options.Integer(
            "concurrency", 64, "requests in progress at one entry", 1, 100_000
        ),
        options.Integer("priority", 0, "higher goes first", -100, 100),
        options.Number("weight", 1.0, "share under contention", 0.01, 1e4),
        options.Number(
            "deadline_seconds", 120.0, "time for a whole answer", 0.1, 300.0
        ),
        options.Integer("max_tokens", 4096, "longest answer", 1, 1_000_000),
        options.Number(
            "token_gap_seconds",
            0.0,
            "refuse what would get slower tokens; 0 for never",
            0.0,
            60.0,
        ),
        options.Integer(
            "window", 128, "tokens ahead of a slow caller", 1, 65_536
        ),
    )
)
SERVICE_OPTIONS = options.Options(
    (
        options.Flag("repeatable", False, "running twice does no harm"),
        options.Flag("ordered", False, "a session's calls keep their order"),
        options.Flag("companions", False, "answers name documents to add"),
        options.Flag("checks_fences", False, "refuses stale orders itself"),
    )
)


@attrs.frozen
class SettingsScope:
    """A node's place in the tree; empty names stand above it."""

    team: str = ""
    service: str = ""
    session: str = ""

    @property
    def section(self) -> str:
        """Name of the section that overrides values here."""
        if not self.team:
            return ROOT
        parts = [f"team:{self.team}"]
        if self.service:
            parts.append(f"service:{self.service}")
        if self.session:
            parts.append(f"session:{self.session}")
        return "/".join(parts)

    @property
    def self_and_ancestors(self) -> tuple["SettingsScope", ...]:
        """This place and those above it, nearest first."""
        places = [self]
        if self.session:
            places.append(SettingsScope(self.team, self.service))
        if self.service:
            places.append(SettingsScope(self.team))
        if self.team:
            places.append(SettingsScope())
        return tuple(places)


@attrs.frozen
class EffectiveValue:
    """One value as it is in force somewhere, and where it comes from."""

    value: options.Value
    section: str


class Tree:
    """One checked, unchangeable generation of the settings."""

    def __init__(
        self,
        generation: int,
        text: str,
        nodes: dict[str, dict[str, options.Value]],
        services: dict[str, contracts.Contract],
    ) -> None:
        self._generation = generation
        self._text = text
        self._nodes = nodes
        self._services = services
        self._team_by_key = self._index_keys()

    @property
    def generation(self) -> int:
        """Number of this generation; later ones are higher."""
        return self._generation

    @property
    def text(self) -> str:
        """The INI text."""
        return self._text

    @property
    def services(self) -> dict[str, contracts.Contract]:
        """Contracts of the declared plain services."""
        return dict(self._services)

    def team_of(self, key_sha256: str) -> str | None:
        """Return the team that a bearer key's hash belongs to."""
        return self._team_by_key.get(key_sha256)

    def effective(self, place: SettingsScope, name: str) -> EffectiveValue:
        """Return a value in force at ``place``, and its origin.

        :raises SettingsError: for an option that does not exist.
        """
        option = NODE_OPTIONS.get(name)
        for ancestor in place.self_and_ancestors:
            node = self._nodes.get(ancestor.section)
            if node is not None and name in node:
                return EffectiveValue(node[name], ancestor.section)
        return EffectiveValue(option.default, "built-in")

    def integer(self, place: SettingsScope, name: str) -> int:
        """Return a whole number in force at ``place``."""
        return int(self.effective(place, name).value)

    def number(self, place: SettingsScope, name: str) -> float:
        """Return a number in force at ``place``."""
        return float(self.effective(place, name).value)

    def names(self, place: SettingsScope, name: str) -> frozenset[str]:
        """Return a spaced list of names in force at ``place``."""
        return frozenset(str(self.effective(place, name).value).split())

    def allows_model(self, place: SettingsScope, model: str) -> bool:
        """Whether a model may be used at ``place``."""
        allowed = self.names(place, "models")
        return model in allowed or "*" in allowed

    def _index_keys(self) -> dict[str, str]:
        index: dict[str, str] = {}
        for section, node in self._nodes.items():
            match = _TEAM_SECTION.fullmatch(section)
            if match is None or match["service"]:
                continue
            for key in str(node.get("keys_sha256", "")).split():
                if index.setdefault(key, match["team"]) != match["team"]:
                    raise errors.SettingsError(
                        f"[{section}] keys_sha256: this key belongs to "
                        f"team {index[key]} already"
                    )
        return index


def parse(text: str, generation: int) -> Tree:
    """Read and check a whole tree.

    :raises SettingsError: naming section, option and what is allowed.
    """
    parser = configparser.ConfigParser(
        interpolation=None, default_section="\0none", strict=True
    )
    try:
        parser.read_string(text)
    except configparser.Error as error:
        first_line = str(error).splitlines()[0]
        raise errors.SettingsError(f"not readable INI: {first_line}") from None
    nodes: dict[str, dict[str, options.Value]] = {}
    services: dict[str, contracts.Contract] = {}
    for section in parser.sections():
        pairs = dict(parser.items(section))
        service = _SERVICE_SECTION.fullmatch(section)
        if service is not None:
            services[service["service"]] = _contract(section, pairs)
        else:
            nodes[section] = _node(section, pairs)
    _check_references(nodes, services)
    return Tree(generation, text, nodes, services)


def _contract(section: str, pairs: dict[str, str]) -> contracts.Contract:
    values = SERVICE_OPTIONS.read_all(section, pairs)
    return contracts.Contract(
        is_repeatable=bool(values["repeatable"]),
        is_ordered=bool(values["ordered"]),
        has_companions=bool(values["companions"]),
        checks_fences=bool(values["checks_fences"]),
    )


def _node(section: str, pairs: dict[str, str]) -> dict[str, options.Value]:
    if section != ROOT and _TEAM_SECTION.fullmatch(section) is None:
        raise errors.SettingsError(
            f"[{section}]: a section is [{ROOT}], [service:NAME], "
            "[team:NAME], [team:NAME/service:NAME] or "
            "[team:NAME/service:NAME/session:NAME]"
        )
    return NODE_OPTIONS.read_given(section, pairs)


def _check_references(
    nodes: dict[str, dict[str, options.Value]],
    services: dict[str, contracts.Contract],
) -> None:
    for section, node in nodes.items():
        named = str(node.get("services", "")).split()
        for name in named:
            if name != "*" and name not in services:
                raise errors.SettingsError(
                    f"[{section}] services: there is no [service:{name}]"
                    f"{suggest_name(name, services)}"
                )


def suggest_name(name: str, known: "dict[str, contracts.Contract]") -> str:
    """Return a hint at the nearest known name, or nothing."""
    near = difflib.get_close_matches(name, known, n=1)
    return f"; did you mean {near[0]}?" if near else ""


def edit(text: str, section: str, option: str, value: str | None) -> str:
    """Return ``text`` with one option changed, its comments kept.

    :param value: the new value, or ``None`` to unset it at that section.
    :raises SettingsError: when there is nothing to unset.
    """
    lines = text.splitlines()
    header = f"[{section}]"
    setting = None if value is None else f"{option} = {value}"
    if header not in [line.strip() for line in lines]:
        if setting is None:
            raise _nothing_to_unset(section, option)
        gap = [""] if lines else []
        return "\n".join([*lines, *gap, header, setting]) + "\n"
    start = next(at for at, line in enumerate(lines) if line.strip() == header)
    end = next(
        (
            at
            for at in range(start + 1, len(lines))
            if lines[at].lstrip().startswith("[")
        ),
        len(lines),
    )
    found = [
        at for at in range(start + 1, end) if _option_name(lines[at]) == option
    ]
    if setting is None and not found:
        raise _nothing_to_unset(section, option)
    kept = [line for at, line in enumerate(lines) if at not in found]
    if setting is not None:
        kept.insert(found[0] if found else start + 1, setting)
    return "\n".join(kept) + "\n"


def _option_name(line: str) -> str:
    return re.split("[=:]", line, maxsplit=1)[0].strip().lower()


def _nothing_to_unset(section: str, option: str) -> errors.SettingsError:
    return errors.SettingsError(
        f"[{section}] {option}: it is not set there, so it is inherited"
    )
