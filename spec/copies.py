# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Copies of the config, one read from the other, and a store restored."""

from collections import abc
import typing

from spec import model

STORE_EPOCH = "an answer of another epoch of the store is no history"
PEER_EPOCH = "a copy tells others of its own epoch only"

VERSION_LIMIT = 3
FULL_VERSION_LIMIT = 4


class Copy(typing.NamedTuple):
    """What one entry knows.

    ``learned`` is the version it had when it learned of the config.
    ``is_proved`` holds from an answer until
    the next config: the entry takes its copy for current.
    """

    epoch: int = 0
    version: int = 0
    learned: int = 0
    config: int = 0
    is_proved: bool = True


class State(typing.NamedTuple):
    """The store, its backup, and the copies: a reader and a follower.

    ``written`` is the version of the config's object, ``newest`` the last
    config that the operator has written, whatever became of it.
    """

    epoch: int = 0
    version: int = 0
    written: int = 0
    config: int = 0
    newest: int = 0
    backup: tuple[int, int, int] = (0, 0, 0)
    reader: Copy = Copy()
    follower: Copy = Copy()


class Copies:
    """The follower asks the reader; both may ask the store."""

    name = "copies"
    protections = (STORE_EPOCH, PEER_EPOCH)

    def initial(self) -> State:
        """Return the first state."""
        return State()

    def transitions(
        self, state: State, protections: frozenset[str], is_full: bool
    ) -> list[model.Transition]:
        """Return what may happen next."""
        limit = FULL_VERSION_LIMIT if is_full else VERSION_LIMIT
        found: list[model.Transition] = []
        if state.version < limit:
            if state.newest < limit:
                found.append(("the operator writes", _write_config(state)))
            other = state._replace(version=state.version + 1)
            found.append(("something else is written", other))
        backup = (state.version, state.written, state.config)
        found.append(("the store is copied", state._replace(backup=backup)))
        if state.epoch < 1:
            found.append(("the store comes back", _restore(state)))
        reader = _watch(state, state.reader, protections)
        found.append(("the reader watches", state._replace(reader=reader)))
        follower = _watch(state, state.follower, protections)
        found.append(
            ("the follower watches", state._replace(follower=follower))
        )
        follower = _ask(state.reader, state.follower, protections)
        found.append(("the follower asks", state._replace(follower=follower)))
        return found

    def invariants(self) -> dict[str, abc.Callable[[State], bool]]:
        """Return the properties."""
        return {
            "a copy that is taken for current is": (
                lambda state: all(
                    not one.is_proved or one.config >= state.config
                    for one in (Copy(*state.reader), Copy(*state.follower))
                )
            )
        }


def _write_config(state: State) -> State:
    newest = state.newest + 1
    return state._replace(
        version=state.version + 1,
        written=state.version + 1,
        config=newest,
        newest=newest,
        reader=state.reader._replace(is_proved=False),
        follower=state.follower._replace(is_proved=False),
    )


def _restore(state: State) -> State:
    version, written, config = state.backup
    return state._replace(
        epoch=state.epoch + 1, version=version, written=written, config=config
    )


def _watch(state: State, copy: Copy, protections: frozenset[str]) -> Copy:
    """Ask the store what changed, and list where it cannot tell."""
    is_other = copy.epoch != state.epoch and STORE_EPOCH in protections
    config = max(copy.config, state.config)
    if is_other or copy.version > state.version:
        version = state.version
        return Copy(state.epoch, version, version, config, True)
    if state.written <= copy.version:
        return copy._replace(version=state.version, is_proved=True)
    return copy._replace(
        version=state.version,
        learned=state.version,
        config=config,
        is_proved=True,
    )


def _ask(reader: Copy, follower: Copy, protections: frozenset[str]) -> Copy:
    """Ask the reader what changed after the follower's version."""
    if reader.epoch != follower.epoch and PEER_EPOCH in protections:
        return follower
    told = follower._replace(
        version=max(follower.version, reader.version),
        is_proved=follower.is_proved or reader.is_proved,
    )
    if reader.learned <= follower.version:
        return told
    return told._replace(
        learned=told.version, config=max(follower.config, reader.config)
    )
