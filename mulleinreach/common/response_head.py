"""Bounds what a server may send before the head of a response is complete.

aiohttp bounds a line and the number of header fields, but not the informational responses [1]_ that
may come before the final one.

References
==========

.. [1] RFC 9110, "HTTP Semantics", section 15.2, informational 1xx.
"""

from __future__ import annotations

from http import HTTPStatus

from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

MAX_HEAD_BYTES = 65_536


class BoundedResponseHandler(ResponseHandler):
    """Client protocol that closes a connection whose response head doesn't end."""

    def set_response_params(self, **params) -> None:
        """Prepare for the response to a request that is about to be sent."""
        self._head_bytes = 0
        self._has_final_head = False
        super().set_response_params(**params)

    def feed_data(self, data, size: int = 0) -> None:
        """Queue the head of a response; informational responses are dropped."""
        message, _ = data
        if message.code < HTTPStatus.OK and message.code != HTTPStatus.SWITCHING_PROTOCOLS:
            return
        self._has_final_head = True
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        super().data_received(data)
        # Bytes that come before any request are held back by aiohttp.
        if self._parser is None or self._has_final_head:
            return
        self._head_bytes += len(data)
        if self._head_bytes > MAX_HEAD_BYTES and self.exception() is None:
            message = f"no response head in {MAX_HEAD_BYTES} bytes"
            self.set_exception(HttpProcessingError(code=0, message=message))
            self.transport.abort()
