# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Daemon configuration: one INI file per process, checked at start-up."""

import configparser
import ipaddress
import pathlib
import ssl
import typing

import attrs

from crowdeck import errors
from crowdeck import instance as instances
from crowdeck.routing import policies
from crowdeck.settings import fleet_options
from crowdeck.settings import options

if typing.TYPE_CHECKING:
    # Entries of fleets have no links and must not load this module.
    from crowdeck.wire import security

DAEMON = "crowdeckd"
PLATFORM = "platform"
ENTRY = "entry"
SIDECAR = "sidecar"
TLS = "tls"
OBSERVE = "observe"

DAEMON_OPTIONS = options.Options(
    (
        options.Text("role", "", "role of this process", ("entry", "sidecar")),
        options.Text("name", "", "name in the list of instances", (), True),
        options.Text(
            "availability_zone", "", "its availability zone", (), True
        ),
        options.Text(
            "cluster", "crowdeck", "cluster name; must match that of peers"
        ),
        options.Text("host", "", "IP address for peers", (), True),
        options.Integer("port", 0, "port for peers, 0 for any", 0, 65_535),
        options.Number(
            "stop_seconds", 30.0, "longest graceful shutdown", 0.0, 3600.0
        ),
        options.Integer(
            "memory_mb",
            300,
            "memory of the machine, of which clients may hold a part",
            64,
            1_048_576,
        ),
        options.Integer(
            "file_descriptors",
            4_096,
            "descriptors of the process, of which clients may hold a part",
            256,
            1_048_576,
        ),
        options.Number(
            "body_seconds",
            300.0,
            "time from the head of a request to the end of its body",
            1.0,
            86_400.0,
        ),
        options.Number(
            "unread_seconds",
            60.0,
            "time for which a client may leave an answer unread",
            1.0,
            86_400.0,
        ),
    )
)
PLATFORM_OPTIONS = options.Options(
    (options.Text("url", "", "base URL of the platform's API", (), True),)
)
ENTRY_OPTIONS = options.Options(
    (
        options.Text("http_host", "", "IP address for callers", (), True),
        options.Integer("http_port", 0, "port for callers", 0, 65_535),
        options.Integer(
            "request_limit", 2_000, "requests in progress", 1, 1_000_000
        ),
        options.Integer(
            "body_bytes",
            1_048_576,
            "largest accepted request body",
            1,
            67_108_864,
        ),
        options.Text(
            "policy",
            policies.CROWDECK,
            "routing policy; all but the default are simple, for comparison",
            policies.NAMES,
        ),
        options.Text("tls_certificate", "", "PEM certificate for callers"),
        options.Text("tls_key", "", "PEM private key for callers"),
    )
)
SIDECAR_OPTIONS = options.Options(
    (
        options.Text("engine_url", "", "base URL of the engine, if any"),
        options.Text("services", "", "space-separated NAME=URL pairs"),
    )
)
TLS_OPTIONS = options.Options(
    (
        options.Text("certificate", "", "PEM file of the certificate"),
        options.Text("key", "", "PEM file of the private key"),
        options.Text("authority", "", "PEM file of the CA for peers"),
    )
)
OBSERVE_OPTIONS = options.Options(
    (
        options.Text(
            "statsd_host", "", "IP address; empty to send no metrics"
        ),
        options.Integer("statsd_port", 8125, "UDP port", 1, 65_535),
        options.Number(
            "statsd_seconds", 1.0, "time between flushes", 0.1, 60.0
        ),
        options.Text(
            "otlp_endpoint", "", "URL for traces; empty to export none"
        ),
    )
)

SECTIONS: dict[str, options.Options] = {
    DAEMON: DAEMON_OPTIONS,
    PLATFORM: PLATFORM_OPTIONS,
    ENTRY: ENTRY_OPTIONS,
    SIDECAR: SIDECAR_OPTIONS,
    TLS: TLS_OPTIONS,
    OBSERVE: OBSERVE_OPTIONS,
    fleet_options.FLEET: fleet_options.FLEET_OPTIONS,
}

Section = dict[str, options.Value]


@attrs.frozen
class TlsFiles:
    """Paths of PEM files for mutual TLS; empty for unencrypted TCP."""

    certificate: str
    key: str
    authority: str

    @property
    def is_set(self) -> bool:
        """Whether links are encrypted."""
        return bool(self.certificate)

    def load(self) -> "security.TlsContexts":
        """Return contexts for mutual TLS.

        :raises ConfigError: if a file cannot be loaded.
        """
        from crowdeck.wire import security

        if not self.is_set:
            return security.TlsContexts()
        try:
            server = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
            client = ssl.create_default_context(ssl.Purpose.SERVER_AUTH)
            for context in (server, client):
                context.load_cert_chain(self.certificate, self.key)
                context.load_verify_locations(self.authority)
                context.verify_mode = ssl.CERT_REQUIRED
        except (OSError, ssl.SSLError) as error:
            raise errors.ConfigError(
                f"[{TLS}]: cannot load the PEM files {self.certificate}, "
                f"{self.key} and {self.authority}: {error}"
            ) from None
        return security.TlsContexts(server=server, client=client)


@attrs.frozen
class MachineLimits:
    """What the machine gives a process, and how long clients may take.

    :ivar body_seconds: time from a request's head to the end of its body.
    :ivar unread_seconds: time for which an answer may wait unread.
    """

    memory_mb: int
    file_descriptors: int
    body_seconds: float
    unread_seconds: float


@attrs.frozen
class Config:
    """Validated configuration of one process."""

    role: instances.Role
    name: str
    availability_zone: str
    cluster: str
    address: instances.Address
    stop_seconds: float
    machine: MachineLimits
    platform_url: str
    tls: TlsFiles
    entry: Section
    sidecar: Section
    observe: Section
    fleet: Section

    @property
    def is_fleet(self) -> bool:
        """Whether ``[fleet] callers`` is set.

        The process then runs as a fleet entry, see ``fleet_options``.
        """
        return bool(self.fleet["callers"])

    @property
    def services(self) -> dict[str, str]:
        """URLs of the plain services behind a sidecar, by name."""
        pairs = str(self.sidecar.get("services", "")).split()
        return dict(pair.split("=", 1) for pair in pairs)


def load(path: pathlib.Path) -> Config:
    """Read and validate a configuration file.

    :raises ConfigError: with a one-line message that names the file, the
        section, the option and the allowed values.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.ConfigError(f"{path}: {error}") from None
    try:
        return parse(text)
    except errors.CrowdeckError as error:
        raise errors.ConfigError(f"{path}: {error.message}") from None


def parse(text: str) -> Config:
    """Parse and validate the text of a configuration file.

    :raises CrowdeckError: with a message that names the section, the option
        and the allowed values.
    """
    # Disables configparser's inheritance from [DEFAULT]: no file can have a
    # section of this name.
    parser = configparser.ConfigParser(
        interpolation=None, default_section="\0none"
    )
    try:
        parser.read_string(text)
    except configparser.Error as error:
        first_line = str(error).splitlines()[0]
        raise errors.ConfigError(f"invalid INI syntax: {first_line}") from None
    _check_sections(parser)
    values_by_section = {
        name: section.read_all(
            name, dict(parser.items(name)) if name in parser else {}
        )
        for name, section in SECTIONS.items()
    }
    return _build(values_by_section)


def _check_sections(parser: configparser.ConfigParser) -> None:
    for name in parser.sections():
        if name not in SECTIONS:
            raise errors.ConfigError(
                f"[{name}]: no such section; the sections are "
                + ", ".join(SECTIONS)
            )
    for name in (DAEMON, PLATFORM):
        if name not in parser:
            raise errors.ConfigError(f"[{name}]: section is missing")
    role = parser.get(DAEMON, "role", fallback="")
    if role in (ENTRY, SIDECAR) and role not in parser:
        raise errors.ConfigError(
            f"[{role}]: section is missing; role {role} requires it"
        )


def _build(values_by_section: dict[str, Section]) -> Config:
    daemon = values_by_section[DAEMON]
    _require(DAEMON, DAEMON_OPTIONS, daemon, "role", "name")
    _require(DAEMON, DAEMON_OPTIONS, daemon, "availability_zone", "host")
    _require(PLATFORM, PLATFORM_OPTIONS, values_by_section[PLATFORM], "url")
    role = instances.Role(str(daemon["role"]))
    _require_ip(DAEMON, "host", str(daemon["host"]))
    if role is instances.Role.ENTRY:
        _require(ENTRY, ENTRY_OPTIONS, values_by_section[ENTRY], "http_host")
        _require_ip(
            ENTRY, "http_host", str(values_by_section[ENTRY]["http_host"])
        )
    else:
        _check_upstreams(values_by_section[SIDECAR])
    tls = values_by_section[TLS]
    return Config(
        role=role,
        name=str(daemon["name"]),
        availability_zone=str(daemon["availability_zone"]),
        cluster=str(daemon["cluster"]),
        address=instances.Address(str(daemon["host"]), int(daemon["port"])),
        stop_seconds=float(daemon["stop_seconds"]),
        machine=MachineLimits(
            memory_mb=int(daemon["memory_mb"]),
            file_descriptors=int(daemon["file_descriptors"]),
            body_seconds=float(daemon["body_seconds"]),
            unread_seconds=float(daemon["unread_seconds"]),
        ),
        platform_url=str(values_by_section[PLATFORM]["url"]),
        tls=TlsFiles(
            str(tls["certificate"]), str(tls["key"]), str(tls["authority"])
        ),
        entry=values_by_section[ENTRY],
        sidecar=values_by_section[SIDECAR],
        observe=values_by_section[OBSERVE],
        fleet=_check_fleet(values_by_section[fleet_options.FLEET]),
    )


def _check_fleet(section: Section) -> Section:
    for name in ("callers", "status"):
        if section["callers"] and not section[name]:
            raise errors.ConfigError(
                f"[{fleet_options.FLEET}] {name}: required; expected IP:PORT"
            )
    for name in ("callers", "status", "peers"):
        if section[name]:
            _require_address(name, str(section[name]))
    return section


def _require_address(name: str, value: str) -> None:
    try:
        instances.Address.parse(value)
    except ValueError:
        raise errors.ConfigError(
            f"[{fleet_options.FLEET}] {name}: invalid value {value!r}; "
            "expected IP:PORT, with brackets around an IPv6 address"
        ) from None


def _require(
    section: str,
    section_options: options.Options,
    values: Section,
    *names: str,
) -> None:
    for name in names:
        if not values[name]:
            allowed = section_options.get(name).allowed
            raise errors.ConfigError(
                f"[{section}] {name}: required; expected {allowed}"
            )


def _require_ip(section: str, name: str, value: str) -> None:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise errors.ConfigError(
            f"[{section}] {name}: invalid value {value!r}; "
            "expected an IP address"
        ) from None


def _check_upstreams(section: Section) -> None:
    services = str(section["services"]).split()
    if not section["engine_url"] and not services:
        raise errors.ConfigError(
            f"[{SIDECAR}] engine_url: required unless services is given; "
            "expected a base URL"
        )
    for pair in services:
        name, separator, url = pair.partition("=")
        if not (name and separator and url.startswith("http")):
            raise errors.ConfigError(
                f"[{SIDECAR}] services: invalid value {pair!r}; "
                "expected space-separated NAME=URL pairs"
            )
