"""A bounded in-memory record of the decisions about each request."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from mulleinreach.common import Clock

MAX_STEPS = 24


@dataclass
class RequestTrace:
    """The decisions about one request, in order; times in seconds since its arrival."""

    request_id: str
    organisation: str
    service: str
    started_at: float
    steps: list[tuple[float, str]] = field(default_factory=list)

    def lines(self) -> list[str]:
        """Format the trace as lines of text."""
        head = f"request {self.request_id} of {self.organisation} to {self.service}"
        return [head] + [f"  {after:8.3f} s  {text}" for after, text in self.steps]


class RequestJournal:
    """The traces of the latest requests; the oldest are discarded first."""

    def __init__(self, clock: Clock, max_requests: int):
        self._clock = clock
        self._max_requests = max_requests
        self._traces: OrderedDict[str, RequestTrace] = OrderedDict()

    def open(self, request_id: str, organisation: str, service: str) -> RequestTrace:
        """Start the trace of a request."""
        trace = RequestTrace(request_id, organisation, service, self._clock.now())
        self._traces[request_id] = trace
        if len(self._traces) > self._max_requests:
            self._traces.popitem(last=False)
        return trace

    def note(self, trace: RequestTrace, text: str) -> None:
        """Add a step; beyond ``MAX_STEPS`` it replaces the last one."""
        step = (self._clock.now() - trace.started_at, text)
        if len(trace.steps) >= MAX_STEPS:
            trace.steps[-1] = step
        else:
            trace.steps.append(step)

    def get(self, request_id: str) -> RequestTrace | None:
        """Return the trace of a request, or ``None`` if it was discarded."""
        return self._traces.get(request_id)

    def __len__(self) -> int:
        return len(self._traces)
