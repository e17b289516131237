"""What was weighed for each request, kept for explanations within a bound."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from mulleinreach.common import Clock

MAX_STEPS = 24


@dataclass
class RequestTrace:
    """The decisions about one request, in order; times in seconds since it came."""

    request_id: str
    organisation: str
    service: str
    started_at: float
    steps: list[tuple[float, str]] = field(default_factory=list)

    def lines(self) -> list[str]:
        """Return the story as lines for a person."""
        head = f"request {self.request_id} of {self.organisation} to {self.service}"
        return [head] + [f"  {after:8.3f} s  {text}" for after, text in self.steps]


class RequestJournal:
    """The stories of the latest requests; the oldest are forgotten first."""

    def __init__(self, clock: Clock, max_requests: int):
        self._clock = clock
        self._max_requests = max_requests
        self._traces: OrderedDict[str, RequestTrace] = OrderedDict()

    def open(self, request_id: str, organisation: str, service: str) -> RequestTrace:
        """Begin the story of a request."""
        trace = RequestTrace(request_id, organisation, service, self._clock.now())
        self._traces[request_id] = trace
        if len(self._traces) > self._max_requests:
            self._traces.popitem(last=False)
        return trace

    def note(self, trace: RequestTrace, text: str) -> None:
        """Add a step; beyond ``MAX_STEPS`` only the last is kept up to date."""
        step = (self._clock.now() - trace.started_at, text)
        if len(trace.steps) >= MAX_STEPS:
            trace.steps[-1] = step
        else:
            trace.steps.append(step)

    def get(self, request_id: str) -> RequestTrace | None:
        """Return the story of a request, if it isn't forgotten."""
        return self._traces.get(request_id)

    def __len__(self) -> int:
        return len(self._traces)
