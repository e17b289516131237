"""Encodes the content of the lease's row as a document, independent of the store."""

from __future__ import annotations

from absl import logging

from mulleinreach.gateway.model import CallerTimeout, HandoverState, HeldContent
from mulleinreach.gateway.ports import LeaseRecord
from mulleinreach.gateway.state.content import format_digest, parse_digest
from mulleinreach.gateway.state.crashes import held_contents


def encode_record(record: LeaseRecord) -> dict[str, object]:
    """Return the document for a record.

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
    """Return the record in a document; logs a warning and returns ``None`` if unreadable."""
    try:
        return LeaseRecord(
            str(document["holder"]),
            str(document["address"]),
            int(document["token"]),
            int(document["renewal"]),
            str(document["secret"]),
            _decode_inheritance(document),
            # Absent in documents of earlier releases.
            int(document.get("era", 0)),
        )
    except (KeyError, TypeError, ValueError) as error:
        logging.warning("event=lease_unreadable why=%r", error)
        return None


def _decode_inheritance(document: dict) -> HandoverState:
    """Return the state for the next coordinator; an empty one if it can't be read.

    Earlier releases stored less of it. It isn't required to coordinate.
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
    """Return the held requests; earlier releases don't store the remaining times."""
    contents = [parse_digest(text) for text in document.get("held", [])]
    times_s = [float(seconds) for seconds in document.get("held_for_s", [])]
    return held_contents(contents, times_s)
