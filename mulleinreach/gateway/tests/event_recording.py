"""Records the events that a node logs, for tests of its log lines."""

from __future__ import annotations

from dataclasses import dataclass

from mulleinreach.gateway.node import GatewayNode


@dataclass(frozen=True)
class LoggedEvent:
    """A logged event and its fields."""

    name: str
    fields: dict[str, object]


def record_events(node: GatewayNode) -> list[LoggedEvent]:
    """Return a list to which each later event of a node is appended."""
    recorded: list[LoggedEvent] = []
    log = node.log.event

    def event(name: str, **fields: object) -> None:
        recorded.append(LoggedEvent(name, fields))
        log(name, **fields)

    node.log.event = event
    return recorded


def event_fields(recorded: list[LoggedEvent], name: str) -> list[dict[str, object]]:
    """Return the fields of all events with a name."""
    return [event.fields for event in recorded if event.name == name]
