"""Addresses of TCP servers, parsed strictly: whatever is accepted can be connected to."""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass

MAX_PORT = 65_535
MAX_NAME_CHARS = 253
_PORT = re.compile(r"0|[1-9][0-9]{0,4}")
_LABEL = re.compile(r"[0-9A-Za-z]([0-9A-Za-z-]{0,61}[0-9A-Za-z])?")
_OCTET = r"(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
# Faster than ipaddress; nodes parse the addresses of thousands of hosts.
_IPV4 = re.compile(rf"{_OCTET}(\.{_OCTET}){{3}}")
_MULTICAST_IPV4 = re.compile(r"2(2[4-9]|3[0-9])\.")


@dataclass(frozen=True)
class Address:
    """A host and a TCP port.

    Parameters
    ==========

    host : an IP address, or a host name [1]_.

    References
    ==========

    .. [1] RFC 1123, "Requirements for Internet Hosts", section 2.1.
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``host:port``; raises ``ValueError`` if it is malformed.

        IPv6 addresses stand in brackets. Port 0 stands for any free port.

        Examples
        ========

        >>> Address.parse("127.0.0.1:80")
        Address(host='127.0.0.1', port=80)
        >>> str(Address.parse("[::1]:80"))
        '[::1]:80'
        """
        host, _, port = text.rpartition(":")
        if not _PORT.fullmatch(port) or int(port) > MAX_PORT:
            raise ValueError(f"{text[:100]!r} is not host:port with a port of 0 to {MAX_PORT}")
        return cls(_parse_host(host), int(port))

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"

    @property
    def url(self) -> str:
        """The address as the base of HTTP URLs."""
        return f"http://{self}"

    def is_connectable(self) -> bool:
        """Whether the address may be that of one server.

        Examples
        ========

        >>> [Address.parse(a).is_connectable() for a in ("10.0.0.1:80", "0.0.0.0:80", "a.b:0")]
        [True, False, False]
        """
        if self.port == 0 or self.host in ("0.0.0.0", "255.255.255.255"):
            return False
        if ":" not in self.host:
            is_ipv4 = _IPV4.fullmatch(self.host) is not None
            return not (is_ipv4 and _MULTICAST_IPV4.match(self.host))
        ip = ipaddress.IPv6Address(self.host)
        return not (ip.is_unspecified or ip.is_multicast)


def _parse_host(text: str) -> str:
    """Return a host in canonical form; raises ``ValueError`` if it is malformed."""
    if _IPV4.fullmatch(text):
        return text
    if text.startswith("[") and text.endswith("]"):
        return str(ipaddress.IPv6Address(text[1:-1]))
    labels = text.split(".")
    # A name doesn't end with a number, so that it isn't confused with an IP address.
    is_name = len(text) <= MAX_NAME_CHARS and not labels[-1].isdigit()
    if not is_name or not all(_LABEL.fullmatch(label) for label in labels):
        raise ValueError(f"{text[:100]!r} is neither an IP address nor a host name")
    return text
