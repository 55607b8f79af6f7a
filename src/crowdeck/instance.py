# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Instances: the processes of the system, and where they stand."""

import enum
import ipaddress
import secrets

import attrs

INCARNATION_BITS = 63
MAX_PORT = 65_535


class Role(enum.StrEnum):
    """What a process of the system does."""

    ENTRY = "entry"
    SIDECAR = "sidecar"
    OPERATOR = "operator"


@attrs.frozen(order=True)
class Address:
    """An IP number and a port; names are never resolved."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Return the address that ``IP:PORT`` names.

        :raises ValueError: where it names none; a name in place of the IP
            would be looked up, and a port out of range ends whoever dials.
        """
        host, _, port = text.rpartition(":")
        ipaddress.ip_address(host)
        if not port.isascii() or not port.isdigit():
            raise ValueError(f"{port!r:.20} is no port")
        if not 0 < int(port) <= MAX_PORT:
            raise ValueError(f"there is no port {port:.20}")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.frozen
class Instance:
    """One process of the system, as the platform's instance list shows it.

    :ivar name: unique name, which a replacement may take over.
    :ivar availability_zone: name of its availability zone.
    :ivar address: where its peers reach it.
    :ivar is_leaving: whether the platform is about to stop it.
    """

    name: str
    role: Role
    availability_zone: str
    address: Address
    is_leaving: bool = False


def new_incarnation() -> int:
    """Return a number that tells this run of a process from all others.

    Instances have no disk, so a counter cannot survive a restart; 63
    random bits make two runs of one name share a number about once in
    nine quintillion restarts.
    """
    return secrets.randbits(INCARNATION_BITS)
