"""Tells from log lines what became of a request, and what the coordinator did meanwhile."""

from __future__ import annotations

import shlex
from collections.abc import Iterable
from dataclasses import dataclass

_UPSTREAM_EVENTS = frozenset(
    {"upstream_lost", "group_checked", "group_retiring", "group_dissolving", "group_open", "order"}
)


@dataclass(frozen=True)
class LogLine:
    """One line and its fields."""

    text: str
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """The name of the event."""
        return self.fields["event"]


def parse_line(text: str) -> LogLine | None:
    """Return a line's fields, or ``None`` if it is no event.

    Examples
    ========

    >>> parse_line('I10:00:00.000 event=x id=a why="no route"').fields
    {'event': 'x', 'id': 'a', 'why': 'no route'}
    >>> parse_line("something else") is None
    True
    """
    start = text.find("event=")
    if start < 0:
        return None
    try:
        tokens = shlex.split(text[start:])
    except ValueError:
        return None
    fields = dict(token.split("=", 1) for token in tokens if "=" in token)
    return LogLine(text.strip(), fields)


def explain_request(lines: Iterable[str], request_id: str) -> list[str]:
    """Return the lines about a request, and those about its upstreams during it.

    Parameters
    ==========

    lines : the logs of all nodes, in the order of time.
    """
    parsed = [line for line in map(parse_line, lines) if line is not None]
    own = [n for n, line in enumerate(parsed) if line.fields.get("id") == request_id]
    if not own:
        return []
    upstreams = {parsed[n].fields["upstream"] for n in own if parsed[n].fields.get("upstream")}
    selected = []
    for number in range(own[0], own[-1] + 1):
        line = parsed[number]
        is_own = line.fields.get("id") == request_id
        if is_own or (line.event in _UPSTREAM_EVENTS and _mentions_any(line, upstreams)):
            selected.append(line.text)
    return selected


def _mentions_any(line: LogLine, upstreams: set[str]) -> bool:
    """Whether a line names one of the upstreams in any of its fields."""
    return any(upstream in value for value in line.fields.values() for upstream in upstreams)
