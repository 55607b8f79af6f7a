# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Tests of messages, their codec, and links over TCP and TLS."""

import pathlib
import typing

import anyio
import attrs
import capnp
import hypothesis
from hypothesis import strategies
import pytest
import trustme

from crowdeck import errors
from crowdeck import header as http_header
from crowdeck import instance as instances
from crowdeck.observe import counters
from crowdeck import pipeline
from crowdeck.settings import config as configs
from crowdeck import verdict as verdicts
from crowdeck.wire import codec
from crowdeck.wire import link
from crowdeck.wire import messages
from crowdeck.wire import questions
from crowdeck.wire import rpc

PATH = pipeline.Path("m", "1", "", 4, (pipeline.StageRef("a", 9, 0, 4),))
OPENING = messages.Opening(
    "r", 1, "t", "s", PATH, "p", (messages.Piece(3, "x"),), 9, 1.5, 0, "", 8
)
SAMPLES: list[messages.Record] = [
    messages.Prefill(OPENING, 0, 0, 2, b"\0\xff"),
    messages.Step("r", 1, 2, 4, 7, b"hidden"),
    messages.Step("q", 0, 0, 0, 0, b""),
    messages.Token("r", 1, 2, 4, 7, 11, "tök", ""),
    messages.Answer("r", 1, 2, 11, "tök", ""),
    messages.AnswerEnd("r", 1, 3, 2**64 - 1, "stop"),
    messages.Failure(
        "r", 1, verdicts.Verdict.RAN, errors.Code.STALLED, "m", "a"
    ),
    messages.Credit("r", 1, 9),
    messages.Cancel("r", 1),
]
QUESTIONS: list[questions.Question] = [
    questions.Open(OPENING),
    questions.Seal("r", 1, 2**62),
    questions.Call(
        "r",
        0,
        1,
        "t",
        "s",
        "GET",
        "/",
        (http_header.Header("a", "b"),),
        b"x",
        1.0,
        "",
    ),
    questions.TakeTurn("s", "r", -1, True, False, 2.0),
    questions.Heartbeat(1.0),
]


class TestCodec:
    """Messages survive a round trip; invalid input is malformed."""

    def test_batch_keeps_records_in_order(self) -> None:
        runs = codec.encode_runs(SAMPLES + SAMPLES[::-1])
        built = _build_runs(runs)
        assert list(codec.decode_runs(built)) == SAMPLES + SAMPLES[::-1]

    @pytest.mark.parametrize(
        "question", QUESTIONS, ids=lambda q: type(q).__name__
    )
    def test_question_survives_a_round_trip(
        self, question: questions.Question
    ) -> None:
        struct = codec.SCHEMA.Question.new_message(
            **codec.QUESTIONS.encode(question)
        )
        assert codec.QUESTIONS.decode(struct) == question

    def test_columns_of_unequal_length_are_malformed(self) -> None:
        columns = {"request": ["a", "b"], "epoch": [1]}
        with pytest.raises(errors.CrowdeckError) as caught:
            list(codec.decode_runs(_build_runs([{"steps": columns}])))
        assert caught.value.code == errors.Code.MALFORMED

    def test_invalid_path_is_malformed(self) -> None:
        encoded = codec.QUESTIONS.encode(questions.Open(OPENING))
        stages = encoded["open"]["opening"]["path"]["stages"]
        stages[0]["endLayer"] = 3
        struct = codec.SCHEMA.Question.new_message(**encoded)
        with pytest.raises(errors.CrowdeckError) as caught:
            codec.QUESTIONS.decode(struct)
        assert caught.value.code == errors.Code.MALFORMED

    @hypothesis.settings(derandomize=True, database=None, deadline=None)
    @hypothesis.given(strategies.binary(max_size=300))
    def test_any_bytes_are_decoded_or_malformed(self, data: bytes) -> None:
        padded = data + b"\0" * (-len(data) % 8)
        try:
            with codec.SCHEMA.Record.from_bytes(padded) as struct:
                codec.RECORDS.decode(struct)
        except (errors.CrowdeckError, capnp.KjException, ValueError):
            return


class _RecordingHandler:
    """Answers every question except ``Drain``, on which it raises.

    :ivar records: the records that have arrived.
    :ivar fault: raised on the next records, if set.
    """

    def __init__(self) -> None:
        self.records: list[messages.Record] = []
        self.fault: Exception | None = None
        self.closed = anyio.Event()

    def on_opened(self, peer: link.Peer) -> None:
        pass

    def on_closed(self, peer: link.Peer) -> None:
        self.closed.set()

    def on_record(self, peer: link.Peer, record: messages.Record) -> None:
        if self.fault is not None:
            raise self.fault
        self.records.append(record)

    async def on_question(
        self, peer: link.Peer, question: questions.Question
    ) -> questions.Reply:
        if isinstance(question, questions.Drain):
            raise RuntimeError("secret detail")
        return questions.Done(peer.greeting.instance)


def _greeting(name: str, cluster: str = "c") -> messages.Greeting:
    return messages.Greeting(cluster, name, "sidecar", "z", 5)


def _with_link(
    check: typing.Any,
    server_tls: rpc.TlsContexts | None = None,
    client_tls: rpc.TlsContexts | None = None,
    cluster: str = "c",
) -> None:
    async def run_check() -> None:
        async with capnp.kj_loop(), anyio.create_task_group() as tasks:
            server_handler, client_handler = (
                _RecordingHandler(),
                _RecordingHandler(),
            )
            async with (
                rpc.RpcTransport(
                    _greeting("far"), server_handler, server_tls
                ) as server,
                rpc.RpcTransport(
                    _greeting("near", cluster), client_handler, client_tls
                ) as client,
            ):
                address = await tasks.start(
                    server.serve, instances.Address("127.0.0.1", 0)
                )
                with anyio.fail_after(30):
                    await check(client, address, server_handler)
            tasks.cancel_scope.cancel()

    anyio.run(run_check)


class TestTcp:
    """Links over TCP."""

    def test_records_and_questions_arrive(self) -> None:
        async def check(
            client: rpc.RpcTransport,
            address: instances.Address,
            server_handler: _RecordingHandler,
        ) -> None:
            peer = await client.dial(address)
            assert peer.greeting.instance == "far"
            assert await peer.ask(questions.Heartbeat(1), 5) == questions.Done(
                "near"
            )
            for sample in SAMPLES:
                peer.send(sample)
            while len(server_handler.records) < len(SAMPLES):
                await anyio.sleep(0.01)
            assert server_handler.records == SAMPLES

        _with_link(check)

    def test_details_of_internal_errors_are_not_sent(self) -> None:
        async def check(
            client: rpc.RpcTransport,
            address: instances.Address,
            server_handler: _RecordingHandler,
        ) -> None:
            peer = await client.dial(address)
            reply = await peer.ask(questions.Drain(1.0), 5)
            assert isinstance(reply, questions.Refused)
            assert reply.code == errors.Code.INTERNAL
            assert "secret" not in reply.message
            assert peer.is_open

        _with_link(check)

    def test_internal_error_on_a_record_is_counted_and_closes_the_link(
        self,
    ) -> None:
        async def check(
            client: rpc.RpcTransport,
            address: instances.Address,
            server_handler: _RecordingHandler,
        ) -> None:
            before = counters.COUNTERS.get("link.internal_error")
            server_handler.fault = RuntimeError("secret detail")
            peer = await client.dial(address)
            peer.send(SAMPLES[1])
            await server_handler.closed.wait()
            after = counters.COUNTERS.get("link.internal_error")
            assert after == before + 1

        _with_link(check)

    def test_peer_of_another_cluster_is_refused(self) -> None:
        async def check(
            client: rpc.RpcTransport,
            address: instances.Address,
            server_handler: _RecordingHandler,
        ) -> None:
            with pytest.raises(errors.LinkLost) as caught:
                await client.dial(address)
            assert caught.value.verdict is verdicts.Verdict.NOT_RUN

        _with_link(check, cluster="other")

    def test_question_on_a_closed_link_is_not_sent(self) -> None:
        async def check(
            client: rpc.RpcTransport,
            address: instances.Address,
            server_handler: _RecordingHandler,
        ) -> None:
            peer = await client.dial(address)
            peer.close()
            await server_handler.closed.wait()
            with pytest.raises(errors.LinkLost) as caught:
                await peer.ask(questions.Heartbeat(1), 5)
            assert not caught.value.was_sent

        _with_link(check)


class TestTls:
    """Mutual TLS between processes."""

    def test_only_certificates_of_the_same_authority_are_accepted(
        self, tmp_path: pathlib.Path
    ) -> None:
        ours = _make_tls_contexts(tmp_path / "ours")
        theirs = _make_tls_contexts(tmp_path / "theirs")

        async def check_accepted(
            client: rpc.RpcTransport,
            address: instances.Address,
            server_handler: _RecordingHandler,
        ) -> None:
            peer = await client.dial(address)
            assert peer.greeting.instance == "far"

        async def check_refused(
            client: rpc.RpcTransport,
            address: instances.Address,
            server_handler: _RecordingHandler,
        ) -> None:
            with pytest.raises(errors.LinkLost):
                await client.dial(address)

        _with_link(check_accepted, ours, ours)
        _with_link(check_refused, ours, theirs)
        _with_link(check_refused, ours, None)


def _make_tls_contexts(folder: pathlib.Path) -> rpc.TlsContexts:
    folder.mkdir()
    authority = trustme.CA()
    certificate = authority.issue_cert("127.0.0.1")
    certificate.private_key_pem.write_to_path(folder / "key.pem")
    certificate.cert_chain_pems[0].write_to_path(folder / "cert.pem")
    authority.cert_pem.write_to_path(folder / "ca.pem")
    return configs.TlsFiles(
        str(folder / "cert.pem"),
        str(folder / "key.pem"),
        str(folder / "ca.pem"),
    ).load()


def _build_runs(runs: list[dict[str, typing.Any]]) -> list[typing.Any]:
    return [codec.SCHEMA.Run.new_message(**run) for run in runs]


def test_every_message_matches_its_struct() -> None:
    """Each class has a struct with the same fields in the schema."""
    for cls in (*vars(messages).values(), *vars(questions).values()):
        if isinstance(cls, type) and attrs.has(cls):
            name = "Offer" if cls is messages.OfferNote else cls.__name__
            fields = getattr(codec.SCHEMA, name).schema.non_union_fields
            expected = {
                codec._to_camel_case(field.name) for field in attrs.fields(cls)
            }
            assert set(fields) == expected, name
