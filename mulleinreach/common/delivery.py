"""Whether what was written to a connection has reached its peer."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios

from absl import logging

# Extra info of transports that know the number themselves.
UNRECEIVED_BYTES = "unreceived_bytes"
# A longer request may still be on its way when its head has arrived: ten segments may be sent
# before the first acknowledgement (RFC 6928).
FIRST_FLIGHT_BYTES = 14_600
# How often a connection is looked at after its end, and how long apart.
RESET_CHECKS = 10
RESET_CHECK_INTERVAL_S = 0.01
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


async def is_reset_after_end(transport: asyncio.Transport) -> bool:
    """Whether a connection is reset soon after its peer has ended it.

    A peer whose system has taken bytes that it hasn't read resets the connection once it closes it
    [1]_; it may have ended its side before.

    References
    ==========

    .. [1] RFC 2525, "Known TCP Implementation Problems", section 2.17.
    """
    if _descriptor(transport) is None:
        return False
    for _ in range(RESET_CHECKS):
        await asyncio.sleep(RESET_CHECK_INTERVAL_S)
        if transport.is_closing():
            return False
        sock = transport.get_extra_info("socket")
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return True
    return False


def _unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return how many bytes the system keeps until they are acknowledged; 0 if it can't tell."""
    descriptor = _descriptor(transport)
    if descriptor is None:
        return 0
    try:
        count = fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(_COUNT.size))
    except OSError as error:
        logging.log_first_n(logging.WARNING, "event=unacknowledged_unknown why=%r", 1, error)
        return 0
    return _COUNT.unpack(count)[0]


def _descriptor(transport: asyncio.Transport) -> int | None:
    """Return the descriptor of a connection, ``None`` if it is one in memory."""
    descriptor = transport.get_extra_info("socket").fileno()
    return descriptor if isinstance(descriptor, int) else None
