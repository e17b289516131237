"""Addresses that can't be listened on."""

from __future__ import annotations

import asyncio
import errno

import pytest

from mulleinreach.common import Address, Code, MulleinreachError
from mulleinreach.common.listening import listen_when_free

ADDRESS = Address("10.0.0.1", 80)


class Listener:
    """Fails to listen as often as it is told errors."""

    def __init__(self, *errors: int):
        self._errors = list(errors)
        self.tries = 0

    async def listen(self) -> None:
        """Listen, or fail with the next error."""
        self.tries += 1
        if self._errors:
            number = self._errors.pop(0)
            raise OSError(number, "can't bind")


def test_address_in_use_is_tried_until_it_is_free():
    listener = Listener(errno.EADDRINUSE, errno.EADDRINUSE)
    asyncio.run(listen_when_free(ADDRESS, listener.listen))
    assert listener.tries == 3


# Guards against a start that waits for an address which no machine of this name has.
def test_unusable_address_is_named_at_once():
    listener = Listener(errno.EADDRNOTAVAIL)
    with pytest.raises(MulleinreachError) as caught:
        asyncio.run(listen_when_free(ADDRESS, listener.listen))
    assert caught.value.code is Code.ADDRESS_UNAVAILABLE
    assert str(ADDRESS) in caught.value.message
    assert listener.tries == 1


# Guards against a start that outlasts its own stop.
def test_node_that_is_asked_to_stop_waits_for_no_address():
    listener = Listener(errno.EADDRINUSE)
    with pytest.raises(MulleinreachError):
        asyncio.run(listen_when_free(ADDRESS, listener.listen, gives_up=lambda: True))
    assert listener.tries == 1
