# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The operators' settings: a tree of teams, services and sessions.

Each node inherits every value from its parent unless it overrides it.
The tree is written as INI; a section's name is the path of its node:

    [defaults]
    [service:receipts]
    [team:kiosks]
    [team:kiosks/service:receipts]
    [team:kiosks/service:receipts/session:desk-7]

``[service:NAME]`` declares a plain service and its contract. Teams cannot
override a contract, as it states properties of the service itself, such as
whether a call may be repeated.
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
        options.Text(
            "keys_sha256", "", "space-separated SHA-256 of bearer keys"
        ),
        options.Text(
            "models", "*", "space-separated allowed models; * for any"
        ),
        options.Text(
            "services",
            "",
            "space-separated allowed plain services; * for any",
        ),
        options.Integer(
            "concurrency", 64, "requests in progress at one entry", 1, 100_000
        ),
        options.Integer("priority", 0, "higher is served first", -100, 100),
        options.Number(
            "weight",
            1.0,
            "share of the requests in progress, relative to other teams",
            0.01,
            1e4,
        ),
        options.Number(
            "deadline_seconds",
            120.0,
            "time limit for the whole answer",
            0.1,
            300.0,
        ),
        options.Integer("max_tokens", 4096, "longest answer", 1, 1_000_000),
        options.Number(
            "token_gap_seconds",
            0.0,
            "refuse if tokens would be slower than this; 0 for never",
            0.0,
            60.0,
        ),
        options.Integer(
            "window", 128, "tokens generated ahead of a slow caller", 1, 65_536
        ),
    )
)
SERVICE_OPTIONS = options.Options(
    (
        options.Flag("repeatable", False, "calls are idempotent"),
        options.Flag("ordered", False, "calls of a session run in order"),
        options.Flag("companions", False, "answers name companion documents"),
        options.Flag(
            "checks_fences", False, "rejects stale fencing tokens itself"
        ),
    )
)


@attrs.frozen
class SettingsScope:
    """Path of a node in the tree; the names of deeper levels are empty."""

    team: str = ""
    service: str = ""
    session: str = ""

    @property
    def section(self) -> str:
        """Name of the INI section for this scope."""
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
        """This scope and its ancestors, nearest first."""
        scopes = [self]
        if self.session:
            scopes.append(SettingsScope(self.team, self.service))
        if self.service:
            scopes.append(SettingsScope(self.team))
        if self.team:
            scopes.append(SettingsScope())
        return tuple(scopes)


@attrs.frozen
class EffectiveValue:
    """The value in force at a scope and the section that it comes from."""

    value: options.Value
    section: str


class Tree:
    """One validated, immutable generation of the settings."""

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
        """Number of this generation; each edit increments it."""
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
        """Return the team of a bearer key's SHA-256, if any."""
        return self._team_by_key.get(key_sha256)

    def effective(self, scope: SettingsScope, name: str) -> EffectiveValue:
        """Return the value in force at ``scope`` and its origin.

        :raises SettingsError: if there is no such option.
        """
        option = NODE_OPTIONS.get(name)
        for ancestor in scope.self_and_ancestors:
            node = self._nodes.get(ancestor.section)
            if node is not None and name in node:
                return EffectiveValue(node[name], ancestor.section)
        return EffectiveValue(option.default, "built-in")

    def integer(self, scope: SettingsScope, name: str) -> int:
        """Return the integer in force at ``scope``."""
        return int(self.effective(scope, name).value)

    def number(self, scope: SettingsScope, name: str) -> float:
        """Return the number in force at ``scope``."""
        return float(self.effective(scope, name).value)

    def names(self, scope: SettingsScope, name: str) -> frozenset[str]:
        """Return the space-separated names in force at ``scope``."""
        return frozenset(str(self.effective(scope, name).value).split())

    def allows_model(self, scope: SettingsScope, model: str) -> bool:
        """Whether ``scope`` may use a model."""
        allowed = self.names(scope, "models")
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
                        f"[{section}] keys_sha256: this key already "
                        f"belongs to team {index[key]}"
                    )
        return index


def parse(text: str, generation: int) -> Tree:
    """Parse and validate a whole tree.

    :raises SettingsError: with a message that names the section, the option
        and the allowed values.
    """
    # Disables configparser's inheritance from [DEFAULT]: no file can have a
    # section of this name.
    parser = configparser.ConfigParser(
        interpolation=None, default_section="\0none", strict=True
    )
    try:
        parser.read_string(text)
    except configparser.Error as error:
        first_line = str(error).splitlines()[0]
        raise errors.SettingsError(
            f"invalid INI syntax: {first_line}"
        ) from None
    nodes: dict[str, dict[str, options.Value]] = {}
    services: dict[str, contracts.Contract] = {}
    for section in parser.sections():
        pairs = dict(parser.items(section))
        service = _SERVICE_SECTION.fullmatch(section)
        if service is not None:
            services[service["service"]] = _parse_contract(section, pairs)
        else:
            nodes[section] = _parse_node(section, pairs)
    _check_references(nodes, services)
    return Tree(generation, text, nodes, services)


def _parse_contract(section: str, pairs: dict[str, str]) -> contracts.Contract:
    values = SERVICE_OPTIONS.read_all(section, pairs)
    return contracts.Contract(
        is_repeatable=bool(values["repeatable"]),
        is_ordered=bool(values["ordered"]),
        has_companions=bool(values["companions"]),
        checks_fences=bool(values["checks_fences"]),
    )


def _parse_node(
    section: str, pairs: dict[str, str]
) -> dict[str, options.Value]:
    if section != ROOT and _TEAM_SECTION.fullmatch(section) is None:
        raise errors.SettingsError(
            f"[{section}]: expected [{ROOT}], [service:NAME], "
            "[team:NAME], [team:NAME/service:NAME] or "
            "[team:NAME/service:NAME/session:NAME]"
        )
    return NODE_OPTIONS.read_given(section, pairs)


def _check_references(
    nodes: dict[str, dict[str, options.Value]],
    services: dict[str, contracts.Contract],
) -> None:
    for section, node in nodes.items():
        allowed = str(node.get("services", "")).split()
        for name in allowed:
            if name != "*" and name not in services:
                raise errors.SettingsError(
                    f"[{section}] services: no section [service:{name}]"
                    f"{closest_name_hint(name, services)}"
                )


def closest_name_hint(
    name: str, known: "dict[str, contracts.Contract]"
) -> str:
    """Return a hint with the closest known name, or an empty string."""
    matches = difflib.get_close_matches(name, known, n=1)
    return f"; did you mean {matches[0]}?" if matches else ""


def edit(text: str, section: str, option: str, value: str | None) -> str:
    """Return ``text`` with one option changed; comments stay.

    :param value: the new value, or ``None`` to remove it from the section.
    :raises SettingsError: if the option to remove is not set there.
    """
    lines = text.splitlines()
    header = f"[{section}]"
    setting = None if value is None else f"{option} = {value}"
    if header not in [line.strip() for line in lines]:
        if setting is None:
            raise _not_set_error(section, option)
        blank = [""] if lines else []
        return "\n".join([*lines, *blank, header, setting]) + "\n"
    start = next(
        index for index, line in enumerate(lines) if line.strip() == header
    )
    end = next(
        (
            index
            for index in range(start + 1, len(lines))
            if lines[index].lstrip().startswith("[")
        ),
        len(lines),
    )
    found = [
        index
        for index in range(start + 1, end)
        if _option_name(lines[index]) == option
    ]
    if setting is None and not found:
        raise _not_set_error(section, option)
    kept = [line for index, line in enumerate(lines) if index not in found]
    if setting is not None:
        kept.insert(found[0] if found else start + 1, setting)
    return "\n".join(kept) + "\n"


def _option_name(line: str) -> str:
    return re.split("[=:]", line, maxsplit=1)[0].strip().lower()


def _not_set_error(section: str, option: str) -> errors.SettingsError:
    return errors.SettingsError(
        f"[{section}] {option}: not set in this section, so it cannot be unset"
    )
