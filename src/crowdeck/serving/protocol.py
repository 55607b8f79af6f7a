# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""HTTP connections of clients, bounded by limits and by an account.

The bytes of a connection are cut into heads and bodies before they are
parsed, so that no request is parsed while another is being answered, and so
that the size of a head is known before anything is made of it.
"""

import asyncio
import enum
import typing

import anyio
import httptools
from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import httptools_impl

from crowdeck import errors
from crowdeck.observe import counters
from crowdeck.observe import logs
from crowdeck.serving import account as accounts
from crowdeck.serving import limits
from crowdeck.serving import refusals

# Ends each head and each chunked body.
_END = b"\r\n\r\n"
# A request line has a method and a version besides its target.
LINE_SLACK_BYTES = 64
# A field takes two texts, a tuple and its place in a list.
FIELD_OVERHEAD_BYTES = 200
# A body is held by the connection, by the request and by what is sent on.
BODY_COPIES = 3
# Bytes of later requests that are read while one is being answered. Beyond
# it the connection is not read, so that its end is noticed only afterwards.
MAX_WAITING_BYTES = 16 * 1024
# Unsent bytes of an answer beyond which its source is paused.
WRITE_BUFFER_BYTES = 64 * 1024
# How long, and how much, is read after a refusal. If a connection is closed
# while its client still sends, the client may get a reset instead.
LINGER_SECONDS = 2.0
MAX_LINGER_BYTES = 1024 * 1024
MAX_LINGER_BODY_BYTES = 32 * 1024 * 1024


class _Phase(enum.Enum):
    """What a connection waits for."""

    IDLE = enum.auto()
    HEAD = enum.auto()
    BODY = enum.auto()
    ANSWER = enum.auto()
    CLOSING = enum.auto()


class _Flow(flow_control.FlowControl):
    """Pauses reading for longer than an application asks for it."""

    is_held = False

    def resume_reading(self) -> None:
        """Resume reading unless it is held."""
        if not self.is_held:
            super().resume_reading()


class _Transport:
    """A transport whose close lets the client read the last answer."""

    def __init__(
        self,
        transport: asyncio.Transport,
        close: typing.Callable[[], None],
        is_closing: typing.Callable[[], bool],
    ) -> None:
        self._transport = transport
        self.close = close
        self.is_closing = is_closing
        self.write = transport.write

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._transport, name)


class BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """One connection of a client."""

    def __init__(
        self, *args: typing.Any, intake: limits.Intake, **kwargs: typing.Any
    ) -> None:
        super().__init__(*args, **kwargs)
        self._intake = intake
        self._account = intake.listener.account
        self._phase = _Phase.IDLE
        self._holding = accounts.Holding(self._account)
        self._waiting = bytearray()
        self._waiting_holding = accounts.Holding(self._account)
        self._write_holding = accounts.Holding(self._account)
        self._began_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._write_timer: asyncio.TimerHandle | None = None
        self._line_bytes = 0
        self._field_bytes = 0
        self._has_line = False
        self._has_begun = False
        self._last_bytes = b""
        self._gap_bytes = 0
        self._body_left: int | None = None
        self._has_head = False
        self._is_complete = False
        self._timed_phase = _Phase.IDLE
        self._linger_bytes_left = MAX_LINGER_BYTES
        self._refusal: errors.CrowdeckError | None = None
        self._keeps_alive = True
        self._is_last = False
        self._is_stopping = False
        self._is_closed = False

    # What the account sees.

    @property
    def spare_bytes(self) -> int:
        """Bytes that :meth:`shed` would release."""
        spare = self._waiting_holding.byte_count
        spare += self._write_holding.byte_count
        if self._phase in (_Phase.HEAD, _Phase.BODY):
            spare += self._holding.byte_count
        return spare

    @property
    def began_at(self) -> float:
        """Loop time from which it has held them."""
        return self._began_at

    @property
    def has_waiting_requests(self) -> bool:
        """Whether bytes of later requests were read."""
        return bool(self._waiting)

    def shed(self) -> None:
        """Release the bytes, and refuse the request that holds them."""
        if self._phase in (_Phase.HEAD, _Phase.BODY):
            self._refuse(refusals.spent_error())
            return
        if self._write_holding.byte_count:
            self._abort("unread")
            return
        self._forget_waiting()

    def end(self) -> None:
        """Close the connection, on which no request is being served."""
        counters.COUNTERS.add("clients.ended")
        if self._phase in (_Phase.HEAD, _Phase.BODY):
            self._refuse(refusals.spent_error(), lingers=False)
        elif self._phase is _Phase.IDLE:
            self._close_now()
        else:
            # It lingers, or its client does not read.
            self._real_transport.abort()

    # Connection.

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Begin to wait for a request."""
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        super().connection_made(transport)
        self._flow = self.flow = _Flow(transport)
        self._real_transport = transport
        self.transport = typing.cast(
            asyncio.Transport,
            _Transport(transport, self._close, self._is_closing),
        )
        self._began_at = anyio.current_time()
        self._intake.listener.add(self)
        self._arm(self._intake.limits().idle_seconds, self._close)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the connection holds."""
        self._is_closed = True
        self._intake.listener.remove(self)
        self._disarm()
        self._disarm_write()
        self._waiting_holding.release()
        self._write_holding.release()
        if self._phase in (_Phase.HEAD, _Phase.CLOSING, _Phase.IDLE):
            self._holding.release()
        super().connection_lost(exc)
        self._unset_keepalive_if_required()

    def data_received(self, data: bytes) -> None:
        """Take bytes of a request, or keep those of a later one."""
        if self._phase is _Phase.CLOSING:
            self._linger_bytes_left -= len(data)
            if self._linger_bytes_left < 0:
                self._real_transport.abort()
        elif self._phase is _Phase.ANSWER:
            self._keep(data)
        else:
            self._unset_keepalive_if_required()
            self._parse(data)

    def shutdown(self) -> None:
        """Close once no request that was read is left."""
        self._is_stopping = True
        if self._phase is _Phase.ANSWER and self._waiting:
            return
        super().shutdown()

    def pause_writing(self) -> None:
        """Begin to wait until the client reads its answer."""
        super().pause_writing()
        size = self._real_transport.get_write_buffer_size()
        self._write_holding = accounts.Holding(self._account)
        self._began_at = anyio.current_time()
        if not self._write_holding.grow(size):
            self._abort("unread")
            return
        self._disarm_write()
        self._write_timer = self.loop.call_later(
            self._intake.limits().unread_seconds, self._abort, "unread"
        )
        if self._phase is _Phase.ANSWER:
            self._intake.listener.end_service(self)

    def resume_writing(self) -> None:
        """Go on: the client has read."""
        self._write_holding.release()
        self._disarm_write()
        if self._phase is _Phase.ANSWER:
            self._intake.listener.begin_service(self)
        super().resume_writing()

    # Requests.

    def on_message_begin(self) -> None:
        """Begin a request."""
        if self._has_head:
            # The parser would take a request for which it is not the turn.
            raise ValueError("a request does not end with an empty line")
        self._is_complete = False
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a field of a head; fields of trailers are dropped."""
        if not self._has_head:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Begin to serve a request."""
        self._has_head = True
        self._body_left = self._declared_bytes()
        super().on_headers_complete()
        # An answer that begins before the end of the body closes.
        self._keeps_alive = self.cycle.keep_alive
        self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        """Take a part of a body."""
        self._gap_bytes = 0
        if self._refusal is not None or self.cycle.response_complete:
            return
        if not self._holding.grow(len(body) * BODY_COPIES):
            self._refusal = refusals.spent_error()
            return
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Note the end of a request."""
        self._is_complete = True
        if not self.cycle.response_started:
            self.cycle.keep_alive = self._keeps_alive and not self._is_stopping
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Go on with the next request, or wait for it."""
        if self._phase is _Phase.BODY:
            # The rest of this body is not wanted.
            self._close()
        if self._phase is not _Phase.ANSWER:
            return
        self._phase = _Phase.IDLE
        self._holding = accounts.Holding(self._account)
        self._intake.listener.end_service(self)
        idle_seconds = self._intake.limits().idle_seconds
        self.timeout_keep_alive = idle_seconds  # type: ignore[assignment]
        super().on_response_complete()
        if self._is_closing():
            return
        if self._waiting:
            self._unset_keepalive_if_required()
            waiting = bytes(self._waiting)
            self._drop_waiting()
            self.flow.resume_reading()
            self._parse(waiting)
        elif self._is_stopping:
            self._close()

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection."""
        self._close()

    def _should_upgrade_to_ws(self) -> bool:
        return False

    def _start_asgi_task(self, cycle: typing.Any, app: typing.Any) -> None:
        task = self.loop.create_task(cycle.run_asgi(app))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        # The application may work on a request whose client has left.
        holding = self._holding
        task.add_done_callback(lambda _: holding.release())

    # Parsing.

    def _parse(self, data: bytes) -> None:
        while data and self._phase not in (_Phase.ANSWER, _Phase.CLOSING):
            if self._phase is _Phase.BODY:
                data = self._parse_body(data)
            else:
                data = self._parse_head(data)
        if data and self._phase is _Phase.ANSWER:
            self._keep(data)
        self._time_phase()

    def _time_phase(self) -> None:
        """Limit the time of a head or a body that has not ended."""
        if self._phase is self._timed_phase:
            return
        in_force = self._intake.limits()
        if self._phase is _Phase.HEAD:
            self._arm(in_force.header_seconds, self._time_out)
        elif self._phase is _Phase.BODY:
            self._arm(in_force.body_seconds, self._time_out)
        else:
            return
        self._timed_phase = self._phase

    def _parse_head(self, data: bytes) -> bytes:
        """Parse bytes of a head, and return those behind it."""
        if self._phase is _Phase.IDLE:
            self._phase = _Phase.HEAD
            self._began_at = anyio.current_time()
        if not self._has_begun:
            data = self._skip_empty_lines(data)
            if not data:
                return b""
        part, rest = self._cut(data)
        if not self._count_head(part) or not self._feed(part):
            return b""
        if self._has_head:
            self._line_bytes = self._field_bytes = 0
            self._has_line = self._has_begun = False
            self._phase = _Phase.BODY
            self._end_message()
        return rest

    def _skip_empty_lines(self, data: bytes) -> bytes:
        """Return what follows empty lines before a request."""
        rest = data.lstrip(b"\r\n")
        self._line_bytes += len(data) - len(rest)
        if self._line_bytes > self._intake.limits().header_bytes:
            self._refuse(refusals.malformed_error("too many empty lines"))
            return b""
        self._has_begun = bool(rest)
        return rest

    def _count_head(self, part: bytes) -> bool:
        """Count a part of a head; refuse it if the head is too large."""
        line_size = 0
        if not self._has_line:
            line_size = part.find(b"\n") + 1
            self._has_line = line_size > 0
            line_size = line_size or len(part)
        self._line_bytes += line_size
        self._field_bytes += len(part) - line_size
        limit = self._intake.limits().header_bytes
        if self._line_bytes > limit + LINE_SLACK_BYTES:
            self._refuse(refusals.target_error(limit))
        elif self._field_bytes > limit + len(_END):
            self._refuse(refusals.fields_error(limit))
        elif not self._holding.grow(
            len(part) + part.count(b"\n") * FIELD_OVERHEAD_BYTES
        ):
            self._refuse(refusals.spent_error())
        return self._phase is _Phase.HEAD

    def _parse_body(self, data: bytes) -> bytes:
        if self._body_left is not None:
            part, rest = data[: self._body_left], data[self._body_left :]
            self._body_left -= len(part)
        else:
            part, rest = self._cut(data)
        self._gap_bytes += len(part)
        if not self._feed(part):
            return b""
        limit = self._intake.limits().header_bytes
        if self._gap_bytes > limit:
            self._refuse(refusals.fields_error(limit))
            return b""
        self._end_message()
        return rest

    def _cut(self, data: bytes) -> tuple[bytes, bytes]:
        """Split bytes behind the first empty line, where a message may end."""
        before = self._last_bytes
        index = (before + data).find(_END) if before else data.find(_END)
        if index < 0:
            self._last_bytes = (before + data[-3:])[-3:]
            return data, b""
        self._last_bytes = b""
        end = index + len(_END) - len(before)
        return data[:end], data[end:]

    def _feed(self, part: bytes) -> bool:
        """Parse bytes; refuse them if they are no request."""
        try:
            self.parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            self._ignore_upgrade()
        except httptools.HttpParserError as error:
            self._refuse(refusals.malformed_error(type(error).__name__))
            return False
        if self._refusal is not None:
            self._refuse(self._refusal)
            return False
        return self._phase is not _Phase.CLOSING

    def _ignore_upgrade(self) -> None:
        """Serve a request that offers another protocol as it is.

        The parser cannot go on behind it, and does not read its body.
        """
        self.cycle.keep_alive = False
        self._is_last = True
        if self._body_left != 0:
            self._refusal = refusals.malformed_error("an upgrade with a body")

    def _end_message(self) -> None:
        """Wait for the answer once a request is whole."""
        if not self._is_complete:
            return
        self._disarm()
        self._gap_bytes = 0
        self._last_bytes = b""
        self._has_head = False
        self._timed_phase = self._phase = _Phase.ANSWER
        self._intake.listener.begin_service(self)

    def _declared_bytes(self) -> int | None:
        """Return the size of a body by its head, ``None`` if in chunks."""
        size = 0
        for name, value in self.headers:
            if name == b"transfer-encoding":
                return None
            if name == b"content-length":
                size = int(value)
        return size

    # Bytes of later requests.

    def _keep(self, data: bytes) -> None:
        if self._is_last:
            return
        if not self._waiting:
            self._waiting_holding = accounts.Holding(self._account)
            self._began_at = anyio.current_time()
        if not self._waiting_holding.grow(len(data)):
            self._forget_waiting()
            return
        self._waiting += data
        if len(self._waiting) >= MAX_WAITING_BYTES:
            self._flow.pause_reading()
            self._flow.is_held = True

    def _forget_waiting(self) -> None:
        """Close after this answer, without those of later requests."""
        counters.COUNTERS.add("clients.waiting_dropped")
        self._drop_waiting()
        self.cycle.keep_alive = False
        self._is_last = True

    def _drop_waiting(self) -> None:
        self._waiting.clear()
        self._waiting_holding.release()
        self._flow.is_held = False

    # The end of a connection.

    def _time_out(self) -> None:
        self._refuse(refusals.slow_error())

    def _refuse(
        self, error: errors.CrowdeckError, lingers: bool = True
    ) -> None:
        """Answer with an error, unless an answer has begun, and close."""
        if self._phase is _Phase.CLOSING or self._is_closed:
            return
        refusals.log(error, self._phase.name, self._holding.byte_count)
        has_begun = False
        if self._has_head:
            has_begun = self.cycle.response_started
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        self._holding.release()
        if has_begun:
            self._real_transport.abort()
            self._phase = _Phase.CLOSING
            return
        self._real_transport.write(refusals.encode(error))
        if lingers:
            self._close()
        else:
            self._close_now()

    def _abort(self, reason: str) -> None:
        """Cut off a client that does not read its answer."""
        counters.COUNTERS.add(f"clients.{reason}")
        logs.change(
            "client_cut",
            reason=reason,
            unsent_bytes=self._real_transport.get_write_buffer_size(),
        )
        self._real_transport.abort()

    def _is_closing(self) -> bool:
        return (
            self._phase is _Phase.CLOSING or self._real_transport.is_closing()
        )

    def _close(self) -> None:
        """Close the connection once the client can have read what was sent."""
        if self._is_closing():
            return
        was_sending = self._phase in (_Phase.HEAD, _Phase.BODY)
        was_sending = was_sending or bool(self._waiting)
        if not was_sending:
            self._close_now()
            return
        has_content = self._phase is _Phase.BODY and not self._gap_bytes
        if has_content:
            self._linger_bytes_left = MAX_LINGER_BODY_BYTES
        self._phase = _Phase.CLOSING
        self.parser = None  # type: ignore[assignment]
        self._drop_waiting()
        self._intake.listener.end_service(self)
        self.flow.resume_reading()
        if self._real_transport.can_write_eof():
            self._real_transport.write_eof()
        self._arm(LINGER_SECONDS, self._real_transport.abort)

    def _close_now(self) -> None:
        self._phase = _Phase.CLOSING
        self._real_transport.close()
        # What the client does not read is dropped then.
        self._arm(LINGER_SECONDS, self._real_transport.abort)

    def _arm(
        self, seconds: float, callback: typing.Callable[[], None]
    ) -> None:
        self._disarm()
        if not self._is_closed:
            self._timer = self.loop.call_later(seconds, callback)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _disarm_write(self) -> None:
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None
