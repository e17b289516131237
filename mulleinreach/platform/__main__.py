"""Starts a gateway node on the users' platform."""

import os
from functools import partial

from mulleinreach.platform.early import SETTINGS_VARIABLE, listen_for_callers
from mulleinreach.start_refusals import refuse_waiting
from mulleinreach.start_signals import prepare_signals


def start() -> None:
    """Prepare for signals, listen for callers, then import and run the node.

    On import, aiohttp loads the system's certificate authorities, which slows the start. The
    platform uses plain HTTP and needs none, so the certificate paths are set to an empty file.
    """
    prepare_signals()
    path = os.environ.get(SETTINGS_VARIABLE, "")
    listener = listen_for_callers(path)
    if listener is not None:
        prepare_signals(on_stop=partial(refuse_waiting, listener))
    os.environ["SSL_CERT_FILE"] = os.environ["SSL_CERT_DIR"] = os.devnull
    from mulleinreach.platform.process import run

    run(path, listener)


if __name__ == "__main__":
    start()
