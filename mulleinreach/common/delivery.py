"""How much of what was written to a connection its peer has received."""

from __future__ import annotations

import asyncio
import fcntl
import struct
import termios

from absl import logging

# Extra info of transports that know the number themselves.
UNRECEIVED_BYTES = "unreceived_bytes"
_COUNT = struct.Struct("i")


def unreceived_bytes(transport: asyncio.Transport) -> int:
    """Return how many of the written bytes the peer's system hasn't acknowledged.

    The end of a connection [1]_ acknowledges all that had arrived before it was sent. So after an
    end this is the number of bytes that hadn't, also if the connection was reset since.

    References
    ==========

    .. [1] RFC 9293, "Transmission Control Protocol", section 3.10.7.4.
    """
    counted = transport.get_extra_info(UNRECEIVED_BYTES)
    if counted is not None:
        return counted
    return transport.get_write_buffer_size() + _unacknowledged_bytes(transport)


def _unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return how many bytes the system keeps until they are acknowledged; 0 if it can't tell."""
    descriptor = transport.get_extra_info("socket").fileno()
    # Connections in memory have none.
    if not isinstance(descriptor, int):
        return 0
    try:
        count = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(_COUNT.size))
    except OSError as error:
        logging.log_first_n(logging.WARNING, "event=unacknowledged_unknown why=%r", 1, error)
        return 0
    return _COUNT.unpack(count)[0]
