# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Daemon configuration: one INI file per process, checked at start-up."""

import configparser
import ipaddress
import pathlib
import ssl

import attrs

from crowdeck import errors
from crowdeck import instance as instances
from crowdeck.routing import policies
from crowdeck.settings import fleet_options
from crowdeck.settings import options
from crowdeck.wire import security

DAEMON = "crowdeckd"
PLATFORM = "platform"
ENTRY = "entry"
SIDECAR = "sidecar"
TLS = "tls"
OBSERVE = "observe"

DAEMON_OPTIONS = options.Options(
    (
        options.Text(
            "role", "", "what this process does", ("entry", "sidecar")
        ),
        options.Text("name", "", "name in the instance list", (), True),
        options.Text("availability_zone", "", "where it stands", (), True),
        options.Text("cluster", "crowdeck", "peers must name the same"),
        options.Text("host", "", "IP number for peers", (), True),
        options.Integer("port", 0, "port for peers, 0 for any", 0, 65_535),
        options.Number(
            "stop_seconds", 30.0, "longest wait of a planned stop", 0.0, 3600.0
        ),
    )
)
PLATFORM_OPTIONS = options.Options(
    (options.Text("url", "", "base URL of the platform's API", (), True),)
)
ENTRY_OPTIONS = options.Options(
    (
        options.Text("http_host", "", "IP number for callers", (), True),
        options.Integer("http_port", 0, "port for callers", 0, 65_535),
        options.Integer(
            "request_limit", 2_000, "requests in progress", 1, 1_000_000
        ),
        options.Integer(
            "body_bytes", 1_048_576, "largest body taken", 1, 67_108_864
        ),
        options.Text(
            "policy",
            policies.CROWDECK,
            "how paths are chosen; the others are for comparison",
            policies.NAMES,
        ),
        options.Text("tls_certificate", "", "PEM file towards callers"),
        options.Text("tls_key", "", "PEM file towards callers"),
    )
)
SIDECAR_OPTIONS = options.Options(
    (
        options.Text("engine_url", "", "base URL of the engine, if any"),
        options.Text("services", "", "NAME=URL of each service, spaced"),
    )
)
TLS_OPTIONS = options.Options(
    (
        options.Text("certificate", "", "PEM file of this process"),
        options.Text("key", "", "PEM file of its key"),
        options.Text("authority", "", "PEM file that peers are signed by"),
    )
)
OBSERVE_OPTIONS = options.Options(
    (
        options.Text("statsd_host", "", "IP number; empty for no metrics"),
        options.Integer("statsd_port", 8125, "UDP port", 1, 65_535),
        options.Number(
            "statsd_seconds", 1.0, "time between flushes", 0.1, 60.0
        ),
        options.Text("otlp_endpoint", "", "URL for traces; empty for none"),
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
    """Paths of PEM files; all empty for plain TCP."""

    certificate: str
    key: str
    authority: str

    @property
    def is_set(self) -> bool:
        """Whether links are to be encrypted."""
        return bool(self.certificate)

    def load(self) -> security.TlsContexts:
        """Return contexts that demand a signed certificate of both ends.

        :raises ConfigError: when a file cannot be used.
        """
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
                f"[{TLS}]: the files cannot be used: {error}"
            ) from None
        return security.TlsContexts(server=server, client=client)


@attrs.frozen
class Config:
    """One process's checked configuration."""

    role: instances.Role
    name: str
    availability_zone: str
    cluster: str
    address: instances.Address
    stop_seconds: float
    platform_url: str
    tls: TlsFiles
    entry: Section
    sidecar: Section
    observe: Section
    fleet: Section

    @property
    def is_fleet(self) -> bool:
        """Whether engines chain their stages: no sidecars are needed."""
        return bool(self.fleet["callers"])

    @property
    def services(self) -> dict[str, str]:
        """URLs of the plain services beside a sidecar, by name."""
        pairs = str(self.sidecar.get("services", "")).split()
        return dict(pair.split("=", 1) for pair in pairs)


def load(path: pathlib.Path) -> Config:
    """Read and check a configuration file.

    :raises ConfigError: in one line: file, section, option, what is
        allowed.
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
    """Check the text of a configuration file.

    :raises CrowdeckError: naming section, option and what is allowed.
    """
    parser = configparser.ConfigParser(
        interpolation=None, default_section="\0none"
    )
    try:
        parser.read_string(text)
    except configparser.Error as error:
        first_line = str(error).splitlines()[0]
        raise errors.ConfigError(f"not readable INI: {first_line}") from None
    _check_sections(parser)
    read = {
        name: section.read_all(
            name, dict(parser.items(name)) if name in parser else {}
        )
        for name, section in SECTIONS.items()
    }
    return _build(read)


def _check_sections(parser: configparser.ConfigParser) -> None:
    for name in parser.sections():
        if name not in SECTIONS:
            raise errors.ConfigError(
                f"[{name}]: there is no such section; there are "
                + ", ".join(SECTIONS)
            )
    for name in (DAEMON, PLATFORM):
        if name not in parser:
            raise errors.ConfigError(f"[{name}]: this section is missing")
    role = parser.get(DAEMON, "role", fallback="")
    if role in (ENTRY, SIDECAR) and role not in parser:
        raise errors.ConfigError(
            f"[{role}]: this section is missing, and role is {role}"
        )


def _build(read: dict[str, Section]) -> Config:
    daemon = read[DAEMON]
    _require(DAEMON, DAEMON_OPTIONS, daemon, "role", "name")
    _require(DAEMON, DAEMON_OPTIONS, daemon, "availability_zone", "host")
    _require(PLATFORM, PLATFORM_OPTIONS, read[PLATFORM], "url")
    role = instances.Role(str(daemon["role"]))
    _require_ip(DAEMON, "host", str(daemon["host"]))
    if role is instances.Role.ENTRY:
        _require(ENTRY, ENTRY_OPTIONS, read[ENTRY], "http_host")
        _require_ip(ENTRY, "http_host", str(read[ENTRY]["http_host"]))
    else:
        _check_upstreams(read[SIDECAR])
    tls = read[TLS]
    return Config(
        role=role,
        name=str(daemon["name"]),
        availability_zone=str(daemon["availability_zone"]),
        cluster=str(daemon["cluster"]),
        address=instances.Address(str(daemon["host"]), int(daemon["port"])),
        stop_seconds=float(daemon["stop_seconds"]),
        platform_url=str(read[PLATFORM]["url"]),
        tls=TlsFiles(
            str(tls["certificate"]), str(tls["key"]), str(tls["authority"])
        ),
        entry=read[ENTRY],
        sidecar=read[SIDECAR],
        observe=read[OBSERVE],
        fleet=_read_fleet(read[fleet_options.FLEET]),
    )


def _read_fleet(section: Section) -> Section:
    for name in ("callers", "status"):
        if section["callers"] and not section[name]:
            raise errors.ConfigError(
                f"[{fleet_options.FLEET}] {name}: it must be given; "
                "it takes IP:PORT"
            )
    for name in ("callers", "status", "peers"):
        if section[name]:
            _require_address(name, str(section[name]))
    return section


def _require_address(name: str, value: str) -> None:
    host, _, port = value.rpartition(":")
    _require_ip(fleet_options.FLEET, name, host)
    if not port.isdigit():
        raise errors.ConfigError(
            f"[{fleet_options.FLEET}] {name}: {value!r} is not allowed; "
            "it takes IP:PORT"
        )


def _require(
    section: str, known: options.Options, values: Section, *names: str
) -> None:
    for name in names:
        if not values[name]:
            allowed = known.get(name).allowed
            raise errors.ConfigError(
                f"[{section}] {name}: it must be given; it takes {allowed}"
            )


def _require_ip(section: str, name: str, value: str) -> None:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise errors.ConfigError(
            f"[{section}] {name}: {value!r} is not allowed; "
            "it takes an IP number"
        ) from None


def _check_upstreams(section: Section) -> None:
    services = str(section["services"]).split()
    if not section["engine_url"] and not services:
        raise errors.ConfigError(
            f"[{SIDECAR}] engine_url: give it, or services, or both"
        )
    for pair in services:
        name, separator, url = pair.partition("=")
        if not (name and separator and url.startswith("http")):
            raise errors.ConfigError(
                f"[{SIDECAR}] services: {pair!r} is not allowed; "
                "it takes NAME=URL pairs with spaces between"
            )
