# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Refusals of requests that no application has answered."""

import attrs
import orjson
from uvicorn.protocols.http import httptools_impl

from crowdeck import errors
from crowdeck.observe import counters
from crowdeck.observe import logs

# A caller that is refused for want of memory or of connections may return
# after this time: other processes have room.
RETRY_SECONDS = 0.25


def spent_error() -> errors.CrowdeckError:
    """Return the error of a request for which there is no memory left."""
    return errors.CrowdeckError(
        errors.Code.OVERLOADED,
        "clients hold as much as this process can bear",
        retry_after=RETRY_SECONDS,
    )


def malformed_error(reason: str) -> errors.CrowdeckError:
    """Return the error of bytes that are no request."""
    return errors.CrowdeckError(
        errors.Code.BAD_REQUEST, f"this is no HTTP/1.1 request ({reason})"
    )


def target_error(limit: int) -> errors.CrowdeckError:
    """Return the error of a target over a limit in bytes."""
    return errors.CrowdeckError(
        errors.Code.TARGET_TOO_LONG, f"the target is over {limit} bytes"
    )


def fields_error(limit: int) -> errors.CrowdeckError:
    """Return the error of fields, or framing, over a limit in bytes."""
    return errors.CrowdeckError(
        errors.Code.FIELDS_TOO_LARGE,
        f"the fields of a head, or the trailers or extensions of a body, are "
        f"over {limit} bytes",
    )


def slow_error() -> errors.CrowdeckError:
    """Return the error of a request that takes too long to arrive."""
    return errors.CrowdeckError(
        errors.Code.TOO_SLOW, "the request did not arrive in time"
    )


def log(error: errors.CrowdeckError, phase: str, held_bytes: int) -> None:
    """Count and log a refusal.

    :param phase: the part of the request that was being read.
    """
    counters.COUNTERS.add(f"clients.refused.{error.code.lower()}")
    logs.change(
        "client_refused",
        code=str(error.code),
        reason=error.message,
        phase=phase.lower(),
        held_bytes=held_bytes,
    )


def encode(error: errors.CrowdeckError) -> bytes:
    """Return a whole HTTP answer with an error, which closes."""
    body = orjson.dumps(attrs.asdict(errors.ErrorReport.of(error)))
    lines = [
        httptools_impl.STATUS_LINE[error.http_status],
        b"content-type: application/json\r\n",
        b"content-length: %d\r\n" % len(body),
        b"connection: close\r\n",
    ]
    if error.retry_after:
        lines.append(b"retry-after: %.3f\r\n" % error.retry_after)
    return b"".join((*lines, b"\r\n", body))
