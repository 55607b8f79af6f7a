# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Instances whose process is restarted under the same id."""

import functools

import attrs
import hypothesis
from hypothesis import strategies
import orjson
import pytest

from crowdeck import chain
from crowdeck import errors
from crowdeck import instance as instances
from crowdeck.membership import upstreams as registries
from crowdeck import pipeline
from crowdeck.platform import names
from crowdeck.platform import upstreams
from crowdeck.state import objects as stores
from tests import fleet_system
from tests import virtual

ADDRESS = "10.0.0.1:8000"


def stored_record(version: int, **changes: object) -> stores.StoredObject:
    """Return the record of an engine ``e``."""
    body = {
        names.SERVICE: fleet_system.MODEL,
        names.ADDRESS: ADDRESS,
        names.ZONE: "plateau",
        names.VERSION: "v1",
        names.SLOTS: 6,
        names.COLD_MS: 0,
        names.ORDERS_TAKEN: 0,
        names.STATE: names.STATE_READY,
        names.ACCELERATOR_TYPE: "large",
        names.LAYERS: {names.FIRST_LAYER: 0, names.END_LAYER: 80},
        **changes,
    }
    return stores.StoredObject("servers", "e", version, orjson.dumps(body))


def encoded_report(**changes: object) -> bytes:
    return orjson.dumps({names.ORDERS_TAKEN: 0, **changes})


class RecordingRegistry:
    """A registry, and the names of instances whose end it reported."""

    def __init__(self) -> None:
        self.registry = registries.UpstreamRegistry(upstreams.decode)
        self.ends: list[str] = []
        self.registry.subscribe_ends(
            lambda upstream: self.ends.append(upstream.name)
        )

    def apply(self, *records: stores.StoredObject) -> None:
        self.registry.on_changed(records, ())

    @property
    def usable(self) -> list[chain.Upstream]:
        return list(self.registry.usable(fleet_system.MODEL))


def virtual_time(test):  # type: ignore[no-untyped-def]
    """Run an asynchronous test in virtual time."""

    @functools.wraps(test)
    def run(*arguments: object, **named: object) -> None:
        async def body() -> None:
            await test(*arguments, **named)

        virtual.run(body)

    return run


class TestIncarnation:
    """Distinction of successive processes of an instance."""

    def test_each_process_has_a_name_of_its_own(self) -> None:
        incarnations = [
            chain.Incarnation("e"),
            chain.Incarnation("e", 1),
            chain.Incarnation("e", 2),
        ]
        assert len({incarnation.name for incarnation in incarnations}) == 3
        assert incarnations[1].is_before(incarnations[2])
        assert not incarnations[2].is_before(incarnations[1])
        assert not incarnations[1].is_before(chain.Incarnation("f", 2))


class TestRestart:
    """The registry, when a record describes another process."""

    @virtual_time
    async def test_resets_what_was_known_before(self) -> None:
        recorder = RecordingRegistry()
        recorder.apply(stored_record(1, born=100))
        recorder.registry.avoid("e#100", "failed", has_ended=True)
        assert recorder.usable == []
        recorder.apply(stored_record(2, born=200, layers=None))
        assert [upstream.name for upstream in recorder.usable] == ["e#200"]
        assert recorder.usable[0].layers is None
        assert recorder.usable[0].incarnation.id == "e"
        assert recorder.registry.has_ended("e#100")
        assert not recorder.registry.has_ended("e#200")

    @virtual_time
    async def test_end_of_the_earlier_process_is_reported_once(self) -> None:
        recorder = RecordingRegistry()
        recorder.apply(stored_record(1, born=100))
        recorder.apply(stored_record(2, born=200))
        assert recorder.ends == ["e#100"]
        recorder.registry.on_changed((), ("e",))
        assert recorder.ends == ["e#100", "e#200"]

    @virtual_time
    async def test_outdated_record_changes_nothing(self) -> None:
        recorder = RecordingRegistry()
        recorder.apply(stored_record(2, born=200))
        recorder.apply(stored_record(1, born=100, state=names.STATE_DRAINING))
        assert [upstream.name for upstream in recorder.usable] == ["e#200"]
        assert recorder.ends == []

    @virtual_time
    async def test_missed_removal_is_noticed_at_the_next_listing(self) -> None:
        # The next listing holds only the record of the new process.
        recorder = RecordingRegistry()
        recorder.apply(stored_record(1, born=100))
        recorder.registry.on_listed((stored_record(7, born=200),))
        assert [upstream.name for upstream in recorder.usable] == ["e#200"]
        assert recorder.ends == ["e#100"]

    @virtual_time
    async def test_end_known_already_is_not_reported_again(self) -> None:
        recorder = RecordingRegistry()
        recorder.apply(stored_record(1, born=100))
        recorder.registry.avoid("e#100", "connection refused", has_ended=True)
        recorder.apply(stored_record(2, born=200))
        assert recorder.ends == ["e#100"]

    @virtual_time
    async def test_end_is_reported_while_the_instance_is_avoided(self) -> None:
        recorder = RecordingRegistry()
        recorder.apply(stored_record(1, born=100))
        recorder.registry.avoid("e#100", "silent")
        assert recorder.ends == []
        recorder.registry.avoid("e#100", "connection refused", has_ended=True)
        assert recorder.ends == ["e#100"]

    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=80
    )
    @hypothesis.given(
        strategies.lists(
            strategies.one_of(
                strategies.integers(1, 4), strategies.just("removed")
            ),
            max_size=12,
        )
    )
    def test_start_times_never_decrease_in_any_order_of_records(
        self, steps: list[int | str]
    ) -> None:
        async def body() -> None:
            recorder = RecordingRegistry()
            newest = 0
            for version, step in enumerate(steps, 1):
                if step == "removed":
                    recorder.registry.on_changed((), ("e",))
                    newest = 0
                    assert recorder.usable == []
                    continue
                assert isinstance(step, int)
                recorder.apply(stored_record(version, born=step))
                newest = max(newest, step)
                assert [
                    upstream.started_ms for upstream in recorder.usable
                ] == [newest]
            assert (
                len(recorder.ends) == len(set(recorder.ends))
                or "removed" in steps
            )

        virtual.run(body)


class TestReports:
    """Reports of this and of other processes of an engine."""

    def incarnation(self, started_ms: int) -> chain.Incarnation:
        return chain.Incarnation("e", started_ms)

    def test_report_of_this_process_is_not_from_a_later_run(self) -> None:
        report = upstreams.decode_report(encoded_report(born=100))
        assert not report.is_from_later_run(self.incarnation(100))

    def test_report_of_a_later_process_is_from_a_later_run(self) -> None:
        report = upstreams.decode_report(encoded_report(born=101))
        assert report.is_from_later_run(self.incarnation(100))

    @pytest.mark.parametrize("changes", [{"born": 99}, {}])
    def test_report_of_an_earlier_or_unknown_process_is_malformed(
        self, changes: dict[str, object]
    ) -> None:
        report = upstreams.decode_report(encoded_report(**changes))
        with pytest.raises(errors.CrowdeckError) as caught:
            report.is_from_later_run(self.incarnation(100))
        assert caught.value.code is errors.Code.MALFORMED

    def test_neither_report_nor_record_has_a_start_time(self) -> None:
        report = upstreams.decode_report(encoded_report())
        assert not report.is_from_later_run(self.incarnation(0))

    @pytest.mark.parametrize(
        "started_ms", ["100", 1.5, True, None, -1, [], {}]
    )
    def test_malformed_start_times_are_rejected(
        self, started_ms: object
    ) -> None:
        with pytest.raises(errors.CrowdeckError):
            upstreams.decode_report(encoded_report(born=started_ms))
        with pytest.raises(errors.CrowdeckError):
            upstreams.decode(stored_record(1, born=started_ms))


class TestMalformedRecord:
    """Records that another writer has damaged."""

    @virtual_time
    async def test_unknown_service_replaces_no_instance(self) -> None:
        # The record has the address of a healthy engine.
        recorder = RecordingRegistry()
        recorder.registry.set_services_source(
            lambda: frozenset({fleet_system.MODEL})
        )
        recorder.apply(stored_record(1))
        foreign_record = stored_record(9, service="unknown")
        recorder.apply(attrs.evolve(foreign_record, name="foreign"))
        assert [upstream.name for upstream in recorder.usable] == ["e"]
        # A record of a known service replaces the instance at its address.
        recorder.apply(attrs.evolve(stored_record(10), name="next"))
        assert [upstream.name for upstream in recorder.usable] == ["next"]

    @virtual_time
    async def test_only_its_own_engine_is_dropped(self) -> None:
        recorder = RecordingRegistry()
        other_record = attrs.evolve(
            stored_record(1, address="10.0.0.2:8000"), name="other"
        )
        recorder.apply(stored_record(1), other_record)
        recorder.apply(stored_record(2, address=7))
        assert [upstream.name for upstream in recorder.usable] == ["other"]

    @virtual_time
    async def test_engine_is_used_again_once_the_record_is_valid(self) -> None:
        recorder = RecordingRegistry()
        recorder.apply(stored_record(1))
        recorder.apply(stored_record(2, slots="many"))
        assert recorder.usable == []
        recorder.apply(stored_record(3))
        assert [upstream.name for upstream in recorder.usable] == ["e"]

    @virtual_time
    async def test_record_that_lost_its_start_time_is_rejected(self) -> None:
        recorder = RecordingRegistry()
        recorder.apply(stored_record(1, born=100))
        recorder.apply(stored_record(2))
        assert recorder.usable == []

    @virtual_time
    async def test_record_that_lost_the_accelerator_type_is_rejected(
        self,
    ) -> None:
        # Guards against orders to an engine whose memory is no longer known.
        recorder = RecordingRegistry()
        recorder.apply(stored_record(1, born=100))
        assert recorder.usable
        recorder.apply(
            stored_record(2, born=100, **{names.ACCELERATOR_TYPE: ""})
        )
        assert recorder.usable == []

    def test_address_and_layers_are_decoded(self) -> None:
        upstream = upstreams.decode(stored_record(1))
        assert upstream.address == instances.Address.parse(ADDRESS)
        assert upstream.layers == pipeline.LayerRange(0, 80)
