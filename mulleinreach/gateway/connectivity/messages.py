"""Cap'n Proto encoding of the messages that open a tunnel."""

from __future__ import annotations

import enum
import errno
import struct
from dataclasses import dataclass
from pathlib import Path

import capnp

from mulleinreach.common import Address

MAX_MESSAGE_BYTES = 4096
LENGTH = struct.Struct(">I")
# How many bytes the upstream had received when it ended the connection.
RECEIVED = struct.Struct(">Q")

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("tunnel.capnp")))


class TunnelOutcome(enum.IntEnum):
    """The answer to a request for a tunnel.

    ``REFUSED``: the upstream's host refuses connections, so its process has ended.
    ``UNREACHABLE``: the upstream gave no answer in time.
    ``DENIED``: the other node opens no tunnel for this request.
    """

    OPENED = 1
    REFUSED = 2
    UNREACHABLE = 3
    DENIED = 4


class TunnelError(ConnectionError):
    """No tunnel was opened.

    Parameters
    ==========

    outcome : the other node's answer; ``None`` without a valid answer.
    """

    def __init__(self, reason: str, outcome: TunnelOutcome | None = None):
        super().__init__(errno.EHOSTUNREACH, reason)
        self.outcome = outcome


@dataclass(frozen=True)
class TunnelRequest:
    """A node's request for a connection to an upstream.

    Parameters
    ==========

    secret : secret of the coordinator's lease, which only nodes of the deployment know.
    """

    secret: str
    upstream: Address


def _frame(message) -> bytes:
    data = message.to_bytes_packed()
    return LENGTH.pack(len(data)) + data


def encode_request(request: TunnelRequest) -> bytes:
    """Return the frame of a request."""
    return _frame(
        _schema.TunnelRequest.new_message(secret=request.secret, upstream=str(request.upstream))
    )


def decode_request(data: bytes) -> TunnelRequest:
    """Return the request in a frame's message; raises :class:`TunnelError` if it is malformed.

    Examples
    ========

    >>> request = TunnelRequest("secret", Address("10.0.0.1", 80))
    >>> decode_request(encode_request(request)[LENGTH.size:]) == request
    True
    """
    try:
        message = _schema.TunnelRequest.from_bytes_packed(data)
        return TunnelRequest(message.secret, Address.parse(message.upstream))
    except (capnp.KjException, ValueError) as error:
        raise TunnelError(f"malformed request: {error}") from error


def encode_reply(outcome: TunnelOutcome) -> bytes:
    """Return the frame of a reply."""
    return _frame(_schema.TunnelReply.new_message(outcome=outcome.value))


def decode_reply(data: bytes) -> TunnelOutcome:
    """Return the outcome in a frame's message; raises :class:`TunnelError` if it is malformed.

    Examples
    ========

    >>> decode_reply(encode_reply(TunnelOutcome.DENIED)[LENGTH.size:])
    <TunnelOutcome.DENIED: 4>
    """
    try:
        return TunnelOutcome(_schema.TunnelReply.from_bytes_packed(data).outcome)
    except (capnp.KjException, ValueError) as error:
        raise TunnelError(f"malformed reply: {error}") from error
