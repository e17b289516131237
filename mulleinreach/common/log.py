"""Structured logs: one line of ``key=value`` pairs for each event."""

from __future__ import annotations

import json

from absl import logging


def format_value(value: object) -> str:
    """Return a value as it stands in a log line; quoted if it has a space.

    Examples
    ========

    >>> format_value("a b")
    '"a b"'
    >>> format_value(1.5)
    '1.5'
    """
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text == "" or any(c in text for c in ' "=\n'):
        return json.dumps(text, ensure_ascii=False)
    return text


class EventLog:
    """Writes events of one node through ``absl.logging``."""

    def __init__(self, node: str):
        self._node = node

    def event(self, name: str, **fields: object) -> None:
        """Log the event ``name`` with its fields, in the order given."""
        pairs = [f"event={name}", f"node={self._node}"]
        pairs += [f"{key}={format_value(value)}" for key, value in fields.items()]
        logging.info("%s", " ".join(pairs))
