# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Copies of the config, one updated from the other, and a restored store."""

from collections import abc
import typing

from spec import model

STORE_EPOCH = "changes since an earlier epoch of the store are not relied on"
PEER_EPOCH = "copies exchange changes only within one epoch of the store"

VERSION_LIMIT = 3
FULL_VERSION_LIMIT = 4


class Copy(typing.NamedTuple):
    """What one entry knows.

    ``config_learned_at`` is the version of the store at which it learned its
    config. ``is_confirmed``: the entry has got an answer since the operator
    last wrote a config, so it treats its copy as current.
    """

    epoch: int = 0
    version: int = 0
    config_learned_at: int = 0
    config: int = 0
    is_confirmed: bool = True


class State(typing.NamedTuple):
    """The store, its backup, and the copies: a reader and a follower.

    ``config_version`` is the version at which the config was written,
    ``newest_config`` the last config that the operator has written, even if a
    restore lost it. ``backup`` has version, config_version and config.
    """

    epoch: int = 0
    version: int = 0
    config_version: int = 0
    config: int = 0
    newest_config: int = 0
    backup: tuple[int, int, int] = (0, 0, 0)
    reader: Copy = Copy()
    follower: Copy = Copy()


class Copies:
    """The follower reads from the reader; both read from the store."""

    name = "copies"
    protections = (STORE_EPOCH, PEER_EPOCH)

    def initial(self) -> State:
        """Return the initial state."""
        return State()

    def transitions(
        self, state: State, protections: frozenset[str], is_full: bool
    ) -> list[model.Transition]:
        """Return the transitions that are enabled in a state."""
        limit = FULL_VERSION_LIMIT if is_full else VERSION_LIMIT
        found: list[model.Transition] = []
        if state.version < limit:
            if state.newest_config < limit:
                found.append(("the operator writes", _write_config(state)))
            after_other_write = state._replace(version=state.version + 1)
            found.append(("something else is written", after_other_write))
        backup = (state.version, state.config_version, state.config)
        found.append(("the store is backed up", state._replace(backup=backup)))
        if state.epoch < 1:
            found.append(("the store is restored", _restore(state)))
        reader = _watch(state, state.reader, protections)
        found.append(("the reader watches", state._replace(reader=reader)))
        follower = _watch(state, state.follower, protections)
        found.append(
            ("the follower watches", state._replace(follower=follower))
        )
        follower = _ask(state.reader, state.follower, protections)
        found.append(
            ("the follower asks the reader", state._replace(follower=follower))
        )
        return found

    def invariants(self) -> dict[str, abc.Callable[[State], bool]]:
        """Return the invariants by name."""
        return {
            "a copy that is taken for current is current": (
                lambda state: all(
                    not copy.is_confirmed or copy.config >= state.config
                    for copy in (Copy(*state.reader), Copy(*state.follower))
                )
            )
        }


def _write_config(state: State) -> State:
    newest_config = state.newest_config + 1
    return state._replace(
        version=state.version + 1,
        config_version=state.version + 1,
        config=newest_config,
        newest_config=newest_config,
        reader=state.reader._replace(is_confirmed=False),
        follower=state.follower._replace(is_confirmed=False),
    )


def _restore(state: State) -> State:
    version, config_version, config = state.backup
    return state._replace(
        epoch=state.epoch + 1,
        version=version,
        config_version=config_version,
        config=config,
    )


def _watch(state: State, copy: Copy, protections: frozenset[str]) -> Copy:
    """Read changes from the store, or all of it where it has no history."""
    is_other_epoch = copy.epoch != state.epoch and STORE_EPOCH in protections
    config = max(copy.config, state.config)
    if is_other_epoch or copy.version > state.version:
        version = state.version
        return Copy(state.epoch, version, version, config, True)
    if state.config_version <= copy.version:
        return copy._replace(version=state.version, is_confirmed=True)
    return copy._replace(
        version=state.version,
        config_learned_at=state.version,
        config=config,
        is_confirmed=True,
    )


def _ask(reader: Copy, follower: Copy, protections: frozenset[str]) -> Copy:
    """Ask the reader what changed after the follower's version."""
    if reader.epoch != follower.epoch and PEER_EPOCH in protections:
        return follower
    updated = follower._replace(
        version=max(follower.version, reader.version),
        is_confirmed=follower.is_confirmed or reader.is_confirmed,
    )
    if reader.config_learned_at <= follower.version:
        return updated
    return updated._replace(
        config_learned_at=updated.version,
        config=max(follower.config, reader.config),
    )
