# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Teams: the customers of the system, identified by their bearer keys."""

import hashlib

import attrs

from crowdeck import errors
from crowdeck.settings import tree as trees

BEARER = "bearer "


@attrs.frozen
class Caller:
    """An authenticated caller."""

    team: str
    session: str = ""

    def settings_scope(self, service: str = "") -> trees.SettingsScope:
        """Return this caller's settings scope.

        Without a service it is the team's.
        """
        session = self.session if service else ""
        return trees.SettingsScope(self.team, service, session)


def hash_key(key: str) -> str:
    """Return the digest under which a bearer key is stored.

    Keys are long random strings, so a slow password hash, which would delay
    each request, is not needed.
    """
    return hashlib.sha256(key.encode()).hexdigest()


def authenticate(
    tree: trees.Tree, authorization: str, session: str = ""
) -> Caller:
    """Return the caller with the given credentials.

    :raises CrowdeckError: ``UNAUTHORIZED``, with the same message for every
        cause.
    """
    if authorization.lower().startswith(BEARER):
        key = authorization[len(BEARER) :].strip()
        team = tree.team_of(hash_key(key))
        if team is not None:
            return Caller(team, session)
    raise errors.CrowdeckError(
        errors.Code.UNAUTHORIZED,
        "send a team's key as 'Authorization: Bearer KEY'",
    )
