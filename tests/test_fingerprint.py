# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Fingerprints of repeated requests."""

import hypothesis
from hypothesis import strategies
import pytest

from crowdeck.quarantine import fingerprint
from crowdeck.relay import request as requests

PARTS = ("POST", "desk", "/stream/x?a=1", "kiosks", b"{}")


class TestFingerprint:
    """When two requests have the same fingerprint."""

    @pytest.mark.parametrize("index", range(len(PARTS)))
    def test_depends_on_each_part(self, index: int) -> None:
        other = list(PARTS)
        other[index] = b"other" if index == 4 else "other"
        assert fingerprint.of_request(*other) != fingerprint.of_request(*PARTS)

    def test_does_not_depend_on_id_key_or_headers(self) -> None:
        request = make_request(id="a", key="first", headers=[(b"x", b"1")])
        repeat = make_request(id="b", key="second", headers=[])
        assert requests.fingerprint_of(
            request, "kiosks"
        ) == requests.fingerprint_of(repeat, "kiosks")

    def test_of_a_part_depends_on_model_and_id(self) -> None:
        part = fingerprint.of_part("daka51", "5c1e")
        assert part == fingerprint.of_part("daka51", "5c1e")
        assert part != fingerprint.of_part("daka52", "5c1e")
        assert part != fingerprint.of_part("daka51", "5c1f")

    def test_content_leaves_out_the_last_part(self) -> None:
        request = make_request(
            id="1",
            key="k",
            headers=[],
            model="m",
            prompt_parts=("a", "b", "a", "own"),
        )
        content = requests.content_of(request, "kiosks")
        assert content.request == requests.fingerprint_of(request, "kiosks")
        assert content.parts == (
            fingerprint.of_part("m", "a"),
            fingerprint.of_part("m", "b"),
        )

    @hypothesis.given(
        strategies.text(strategies.characters(codec="latin-1"), max_size=3),
        strategies.text(strategies.characters(codec="latin-1"), max_size=3),
    )
    def test_moving_text_between_parts_changes_it(
        self, host: str, target: str
    ) -> None:
        moved = fingerprint.of_request("GET", host + target, "", "t", b"")
        whole = fingerprint.of_request("GET", host, target, "t", b"")
        assert (moved == whole) is (not target)


def make_request(**parts: object) -> requests.CallerRequest:
    fields = {
        "method": "POST",
        "target": "/stream/x",
        "path": "/stream/x",
        "host": "desk",
        "body": b"{}",
        "timeout_seconds": None,
        "arrived": 0.0,
        **parts,
    }
    return requests.CallerRequest(**fields)  # type: ignore[arg-type]
