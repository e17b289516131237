"""What the lease's row holds, as a document that any store can keep."""

from __future__ import annotations

from absl import logging

from mulleinreach.gateway.known.content import format_digest, parse_digest
from mulleinreach.gateway.known.crashes import held_contents
from mulleinreach.gateway.model import CallerTimeout, HandoverState, HeldContent
from mulleinreach.gateway.ports import LeaseRecord


def encode_record(record: LeaseRecord) -> dict[str, object]:
    """Return a record as a document.

    Examples
    ========

    >>> inheritance = HandoverState((CallerTimeout("r", 5.5),), held=(HeldContent(7, 60.0),))
    >>> record = LeaseRecord("a.1", "10.0.0.1:1", 1, 0, "secret", inheritance)
    >>> decode_record(encode_record(record)) == record
    True
    """
    return {
        "holder": record.holder,
        "address": record.address,
        "token": record.token,
        "renewal": record.renewal,
        "secret": record.secret,
        "first_waits": {w.route: w.shortest_s for w in record.inheritance.first_waits},
        "held": [format_digest(held.content) for held in record.inheritance.held],
        "held_for_s": [round(held.remaining_s, 1) for held in record.inheritance.held],
        "era": record.era,
    }


def decode_record(document: dict) -> LeaseRecord | None:
    """Return the record that a document holds; none, with a log line, if it can't be read."""
    try:
        return LeaseRecord(
            str(document["holder"]),
            str(document["address"]),
            int(document["token"]),
            int(document["renewal"]),
            str(document["secret"]),
            _decode_inheritance(document),
            # Earlier releases didn't tell it.
            int(document.get("era", 0)),
        )
    except (KeyError, TypeError, ValueError) as error:
        logging.warning("event=lease_unreadable why=%r", error)
        return None


def _decode_inheritance(document: dict) -> HandoverState:
    """Return what a coordinator left; nothing if that can't be read.

    Earlier releases left less. Nobody needs any of it to coordinate.
    """
    try:
        waits = document.get("first_waits", {}).items()
        return HandoverState(
            tuple(CallerTimeout(str(route), float(shortest_s)) for route, shortest_s in waits),
            _decode_held(document),
        )
    except (TypeError, ValueError, AttributeError) as error:
        logging.warning("event=inheritance_unreadable why=%r", error)
        return HandoverState()


def _decode_held(document: dict) -> tuple[HeldContent, ...]:
    """Return the requests that are held; earlier releases didn't tell for how much longer."""
    contents = [parse_digest(text) for text in document.get("held", [])]
    times_s = [float(seconds) for seconds in document.get("held_for_s", [])]
    return held_contents(contents, times_s)
