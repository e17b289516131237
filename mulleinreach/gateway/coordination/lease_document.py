"""Encodes the content of the lease's row as a document, independent of the store."""

from __future__ import annotations

from absl import logging

from mulleinreach.gateway.coordination.message_fields import checked_share
from mulleinreach.gateway.model import (
    CallerTimeout,
    DepartedShare,
    HandoverState,
    HeldContent,
    ShareStatement,
)
from mulleinreach.gateway.ports import LeaseRecord
from mulleinreach.gateway.state.content import format_digest, parse_digest
from mulleinreach.gateway.state.crashes import held_contents


def encode_record(record: LeaseRecord) -> dict[str, object]:
    """Return the document for a record.

    Examples
    ========

    >>> shares = ShareStatement(1, 0.75, (DepartedShare(0.125, 4.0),))
    >>> held = (HeldContent(7, 60.0),)
    >>> inheritance = HandoverState((CallerTimeout("r", 5.5),), held, shares)
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
        **_encode_shares(record.inheritance.shares),
    }


def _encode_shares(shares: ShareStatement | None) -> dict[str, object]:
    if shares is None:
        return {}
    return {
        "shares_token": shares.token,
        "shares_connected": shares.connected,
        "shares_departed": [[d.fraction, d.remaining_s] for d in shares.departed],
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
            _decode_shares(document),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        logging.warning("event=inheritance_unreadable why=%r", error)
        return HandoverState()


def _decode_shares(document: dict) -> ShareStatement | None:
    """Return what was stated of shares; ``None`` in documents of earlier releases."""
    if "shares_connected" not in document:
        return None
    departed = [
        DepartedShare(checked_share(float(fraction)), float(remaining_s))
        for fraction, remaining_s in document["shares_departed"]
    ]
    connected = checked_share(float(document["shares_connected"]))
    return ShareStatement(int(document["shares_token"]), connected, tuple(departed))


def _decode_held(document: dict) -> tuple[HeldContent, ...]:
    """Return the held requests; earlier releases don't store the remaining times."""
    contents = [parse_digest(text) for text in document.get("held", [])]
    times_s = [float(seconds) for seconds in document.get("held_for_s", [])]
    return held_contents(contents, times_s)
