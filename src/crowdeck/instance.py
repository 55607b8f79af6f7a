# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Instances: the processes of the system, and where they stand."""

import enum
import secrets

import attrs

INCARNATION_BITS = 63


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

        :raises ValueError: where the port is no number.
        """
        host, _, port = text.rpartition(":")
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
