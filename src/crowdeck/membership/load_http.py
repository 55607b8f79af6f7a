# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Entries' loads over HTTP, at the address for peers."""

import typing

from crowdeck import errors
from crowdeck import http
from crowdeck.membership import load_messages as messages
from crowdeck.membership import peer_http
from crowdeck.membership import peer_selection
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.relay import ingress

LOAD_PATH = "/load"
# Longer reports are refused: some ten thousand engines.
MAX_REPORT_BYTES = 1024 * 1024
# The exchange gives up sooner; this bounds a call by anyone else.
READ_TIMEOUT_SECONDS = 1.0

# Not an error of the sender, which passes this entry over for a while.
_STATUS_BY_CODE = {errors.Code.LEAVING: 409, errors.Code.TOO_LARGE: 413}


class LoadResponder(typing.Protocol):
    """Answers other entries' reports of their load."""

    def respond(self, report: messages.LoadReport) -> messages.LoadAnswer:
        """Take a report and return the answer.

        :raises CrowdeckError: if it is not taken.
        """
        ...


class LoadApp:
    """Answers reports, as an ASGI application."""

    def __init__(self, responder: LoadResponder) -> None:
        self._responder = responder

    async def __call__(
        self,
        scope: ingress.Scope,
        receive: ingress.Receive,
        send: ingress.Send,
    ) -> None:
        """Answer one report."""
        try:
            report = messages.decode_report(await _read_body(receive))
            answer = self._responder.respond(report)
        except errors.CrowdeckError as error:
            counters.COUNTERS.add("load.refused")
            if error.code is not errors.Code.LEAVING:
                logs.change("load_refused", reason=error.message)
            status = _STATUS_BY_CODE.get(error.code, 400)
            await peer_http.respond(send, status, b"")
            return
        await peer_http.respond(send, 200, messages.encode_answer(answer))


class HttpLoadClient:
    """Tells loads to other entries over HTTP; implements ``LoadClient``."""

    def __init__(self, client: http.HttpClient) -> None:
        self._client = client

    async def tell_load(
        self, peer: peer_selection.Peer, report: messages.LoadReport
    ) -> messages.LoadAnswer:
        """Tell a load and return the answer.

        :raises CrowdeckError: if there is none that can be used.
        """
        timeouts = http.Timeouts(
            peer_http.CONNECT_TIMEOUT_SECONDS, READ_TIMEOUT_SECONDS
        )
        async with self._client.open(
            "POST",
            f"http://{peer.address}{LOAD_PATH}",
            [peer_http.JSON_HEADER],
            messages.encode_report(report),
            timeouts,
        ) as response:
            content = await response.read(http.RESPONSE_LIMIT_BYTES)
            status = response.status
        if status != 200:
            raise errors.CrowdeckError(
                errors.Code.UPSTREAM_FAILED,
                f"{peer.name} responded with status {status} instead of 200",
            )
        return messages.decode_answer(content)


async def _read_body(receive: ingress.Receive) -> bytes:
    """Return a request's body.

    :raises CrowdeckError: ``TOO_LARGE`` beyond ``MAX_REPORT_BYTES``.
    """
    body = bytearray()
    is_incomplete = True
    while is_incomplete:
        message = await receive()
        body += message.get("body", b"")
        is_incomplete = bool(message.get("more_body"))
        if len(body) > MAX_REPORT_BYTES:
            raise errors.CrowdeckError(
                errors.Code.TOO_LARGE,
                f"the load report is over {MAX_REPORT_BYTES} bytes",
            )
    return bytes(body)
