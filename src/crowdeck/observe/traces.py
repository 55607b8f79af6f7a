# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Traces: a span for each hop of each request, in W3C trace context.

Spans are kept in a bounded buffer for ``crowdeck trace`` and, if an endpoint
is configured, exported over OTLP/HTTP. A stage has one span per attempt, as
spans per token would cost too much.
"""

import collections
import json
import typing

from opentelemetry.exporter.otlp.proto.http import trace_exporter
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry import trace
from opentelemetry.trace.propagation import tracecontext

BUFFER_LIMIT = 2_000

_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()


class SpanBuffer(sdk_trace.SpanProcessor):
    """Keeps the most recently ended spans."""

    def __init__(self, limit: int = BUFFER_LIMIT) -> None:
        self._spans: collections.deque[sdk_trace.ReadableSpan] = (
            collections.deque(maxlen=limit)
        )

    def on_end(self, span: sdk_trace.ReadableSpan) -> None:
        """Keep an ended span; drop the oldest one if the buffer is full."""
        self._spans.append(span)

    def find(self, trace_id: str) -> tuple[str, ...]:
        """Return the kept spans of a trace, each as JSON text."""
        found = []
        for span in self._spans:
            context = span.get_span_context()
            if context and f"{context.trace_id:032x}" == trace_id:
                found.append(_span_json(span))
        return tuple(found)


def _span_json(span: sdk_trace.ReadableSpan) -> str:
    started = span.start_time or 0
    ended = span.end_time or started
    context = span.get_span_context()
    return json.dumps(
        {
            "name": span.name,
            "span": f"{context.span_id:016x}" if context else "",
            "parent": f"{span.parent.span_id:016x}" if span.parent else "",
            "start_ns": started,
            "seconds": (ended - started) / 1e9,
            "instance": span.resource.attributes.get("service.instance.id"),
            "attributes": dict(span.attributes or {}),
        }
    )


class OpenSpan:
    """A span that has begun."""

    def __init__(self, span: trace.Span) -> None:
        self._span = span
        self._has_ended = False

    @property
    def traceparent(self) -> str:
        """W3C ``traceparent`` header for the next hop."""
        carrier: dict[str, str] = {}
        context = trace.set_span_in_context(self._span)
        _PROPAGATOR.inject(carrier, context)
        return carrier.get("traceparent", "")

    @property
    def trace_id(self) -> str:
        """Id of the trace, as 32 hexadecimal digits."""
        return f"{self._span.get_span_context().trace_id:032x}"

    def set_attribute(self, name: str, value: str | int | float) -> None:
        """Set an attribute; must not contain secrets or caller content."""
        self._span.set_attribute(name, value)

    def end(self, outcome: str = "") -> None:
        """End the span; later calls have no effect."""
        if self._has_ended:
            return
        self._has_ended = True
        if outcome:
            self._span.set_attribute("outcome", outcome)
        self._span.end()


class Tracer:
    """Creates the spans of one process."""

    def __init__(self, instance: str, otlp_endpoint: str = "") -> None:
        resource = resources.Resource.create(
            {"service.name": "crowdeck", "service.instance.id": instance}
        )
        self._provider = sdk_trace.TracerProvider(
            resource=resource, shutdown_on_exit=False
        )
        self._buffer = SpanBuffer()
        self._provider.add_span_processor(self._buffer)
        if otlp_endpoint:
            exporter = trace_exporter.OTLPSpanExporter(endpoint=otlp_endpoint)
            self._provider.add_span_processor(
                export.BatchSpanProcessor(exporter)
            )
        self._tracer = self._provider.get_tracer("crowdeck")

    def begin(
        self,
        name: str,
        traceparent: str = "",
        attributes: typing.Mapping[str, str | int | float] | None = None,
    ) -> OpenSpan:
        """Begin a span under ``traceparent``; if empty, a new trace."""
        context = _PROPAGATOR.extract({"traceparent": traceparent})
        span = self._tracer.start_span(
            name, context=context, attributes=dict(attributes or {})
        )
        return OpenSpan(span)

    def find(self, trace_id: str) -> tuple[str, ...]:
        """Return the kept spans of a trace, each as JSON text."""
        return self._buffer.find(trace_id)

    def close(self) -> None:
        """Export the remaining spans and stop."""
        self._provider.shutdown()
