# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""The errors that crowdeck reports, each with a code.

``docs/ERRORS.md`` explains the codes to operators and callers; a test keeps
both in agreement.
"""

import enum

import attrs

from crowdeck import verdict as verdicts


class Code(enum.StrEnum):
    """A stable name for one kind of error."""

    BAD_REQUEST = "BAD_REQUEST"
    TOO_LARGE = "TOO_LARGE"
    TARGET_TOO_LONG = "TARGET_TOO_LONG"
    FIELDS_TOO_LARGE = "FIELDS_TOO_LARGE"
    TOO_SLOW = "TOO_SLOW"
    UNAUTHORIZED = "UNAUTHORIZED"
    FORBIDDEN = "FORBIDDEN"
    NOT_FOUND = "NOT_FOUND"
    NO_PATH = "NO_PATH"
    OVERLOADED = "OVERLOADED"
    TEAM_LIMIT = "TEAM_LIMIT"
    QUARANTINED = "QUARANTINED"
    LEAVING = "LEAVING"
    SEALED = "SEALED"
    STALE_EPOCH = "STALE_EPOCH"
    WRONG_INCARNATION = "WRONG_INCARNATION"
    WRONG_LAYER = "WRONG_LAYER"
    WRONG_POSITION = "WRONG_POSITION"
    WRONG_ANSWER = "WRONG_ANSWER"
    MALFORMED = "MALFORMED"
    FOREIGN = "FOREIGN"
    LINK_LOST = "LINK_LOST"
    STALLED = "STALLED"
    UPSTREAM_LOST = "UPSTREAM_LOST"
    UPSTREAM_FAILED = "UPSTREAM_FAILED"
    DEADLINE = "DEADLINE"
    SUPERSEDED = "SUPERSEDED"
    KEY_IN_USE = "KEY_IN_USE"
    KEY_SPENT = "KEY_SPENT"
    ANSWER_GONE = "ANSWER_GONE"
    CACHE_GONE = "CACHE_GONE"
    COMPANION_MISSING = "COMPANION_MISSING"
    ORDER = "ORDER"
    STORE_DOWN = "STORE_DOWN"
    STORE_CONFLICT = "STORE_CONFLICT"
    STORE_UNSURE = "STORE_UNSURE"
    STORE_HISTORY = "STORE_HISTORY"
    CONFIG = "CONFIG"
    SETTINGS = "SETTINGS"
    INTERNAL = "INTERNAL"


HTTP_STATUS: dict[Code, int] = {
    Code.BAD_REQUEST: 400,
    Code.TOO_LARGE: 413,
    Code.TARGET_TOO_LONG: 414,
    Code.FIELDS_TOO_LARGE: 431,
    Code.TOO_SLOW: 408,
    Code.UNAUTHORIZED: 401,
    Code.FORBIDDEN: 403,
    Code.NOT_FOUND: 404,
    Code.NO_PATH: 503,
    Code.OVERLOADED: 503,
    Code.TEAM_LIMIT: 429,
    Code.QUARANTINED: 503,
    Code.LEAVING: 503,
    Code.DEADLINE: 504,
    Code.KEY_IN_USE: 409,
    Code.KEY_SPENT: 409,
    Code.ANSWER_GONE: 410,
    Code.ORDER: 409,
    Code.STORE_DOWN: 503,
    Code.STORE_CONFLICT: 409,
    Code.SETTINGS: 422,
    Code.INTERNAL: 500,
}

DEFAULT_HTTP_STATUS = 502


class CrowdeckError(Exception):
    """An error with a code, a verdict and, if known, a delay before a retry.

    :ivar code: kind of the error.
    :ivar verdict: whether the request may have run.
    :ivar retry_after: seconds after which to retry, or ``None`` if
        unknown.
    :ivar culprit: name of the instance that failed, or empty.
    """

    def __init__(
        self,
        code: Code,
        message: str,
        *,
        verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN,
        retry_after: float | None = None,
        culprit: str = "",
    ) -> None:
        super().__init__(f"{code}: {message}")
        self.code = code
        self.message = message
        self.verdict = verdict
        self.retry_after = retry_after
        self.culprit = culprit

    @property
    def http_status(self) -> int:
        """HTTP status with which an entry reports this error."""
        return HTTP_STATUS.get(self.code, DEFAULT_HTTP_STATUS)


class LinkLost(CrowdeckError):
    """A link could not be opened, was lost, or delivered no reply in time.

    :ivar was_sent: whether the question may have reached the peer; if
        false, the verdict is ``NOT_RUN``, else ``MAY_HAVE_RUN``.
    """

    def __init__(self, message: str, *, was_sent: bool, culprit: str) -> None:
        super().__init__(
            Code.LINK_LOST,
            message,
            verdict=(
                verdicts.Verdict.MAY_HAVE_RUN
                if was_sent
                else verdicts.Verdict.NOT_RUN
            ),
            culprit=culprit,
        )
        self.was_sent = was_sent


class InstanceGone(CrowdeckError):
    """An upstream's process has ended.

    Nothing listens at its address, or another instance does. Resets and
    timeouts do not prove this: an overloaded engine resets connections.
    """

    def __init__(self, message: str) -> None:
        super().__init__(Code.UPSTREAM_LOST, message)


class KeptConnectionFailed(CrowdeckError):
    """A connection that was used before failed, or gave another answer.

    This says little about the upstream, which may have closed the connection
    just as the request was sent. The request may have run.
    """

    def __init__(self, message: str) -> None:
        super().__init__(
            Code.UPSTREAM_LOST,
            message,
            verdict=verdicts.Verdict.MAY_HAVE_RUN,
        )


class ConfigError(CrowdeckError):
    """A configuration file is invalid; the message says where and why."""

    def __init__(self, message: str) -> None:
        super().__init__(Code.CONFIG, message)


class SettingsError(CrowdeckError):
    """A settings tree is invalid; the message says where and why."""

    def __init__(self, message: str) -> None:
        super().__init__(Code.SETTINGS, message)


@attrs.frozen
class ErrorReport:
    """The fields of an error that callers and operators are shown."""

    code: str
    message: str
    verdict: str
    is_retry_safe: bool
    retry_after: float | None

    @classmethod
    def of(cls, error: CrowdeckError) -> "ErrorReport":
        """Describe ``error`` for a caller, without internal details."""
        return cls(
            code=str(error.code),
            message=error.message,
            verdict=str(error.verdict),
            is_retry_safe=error.verdict.is_retry_safe,
            retry_after=error.retry_after,
        )
