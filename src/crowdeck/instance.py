# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Instances: the processes of the system and their addresses."""

import enum
import ipaddress
import secrets

import attrs

INCARNATION_BITS = 63
MAX_PORT = 65_535


class Role(enum.StrEnum):
    """The role of a process of the system."""

    ENTRY = "entry"
    SIDECAR = "sidecar"
    OPERATOR = "operator"


@attrs.frozen(order=True)
class Address:
    """An IP address and a port; host names are not resolved."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``IP:PORT``, with brackets around an IPv6 address.

        :raises ValueError: for anything else, such as a host name, a scope of
            an IPv6 address or a port out of range.
        """
        host, _, port = text.rpartition(":")
        is_bracketed = host.startswith("[") and host.endswith("]")
        host = host[1:-1] if is_bracketed else host
        # Without brackets, the last part of an IPv6 address looks like a port.
        if is_bracketed:
            ipaddress.IPv6Address(host)
        else:
            ipaddress.IPv4Address(host)
        if "%" in host:
            raise ValueError(f"{host!r:.50} has a scope")
        if not port.isascii() or not port.isdigit():
            raise ValueError(f"{port!r:.20} is not a port number")
        if not 0 < int(port) <= MAX_PORT:
            raise ValueError(f"port {port:.20} is out of range")
        return cls(host, int(port))

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


@attrs.frozen
class Instance:
    """One process of the system, as the platform's instance list shows it.

    :ivar name: unique name; a replacement may have the same.
    :ivar address: where its peers reach it.
    :ivar is_leaving: whether the platform is about to stop it.
    """

    name: str
    role: Role
    availability_zone: str
    address: Address
    is_leaving: bool = False


def new_incarnation() -> int:
    """Return a random number that identifies this run of a process.

    It is random because instances have no disk to keep a counter.
    """
    return secrets.randbits(INCARNATION_BITS)
