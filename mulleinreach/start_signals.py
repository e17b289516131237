"""Signals to a process that is starting, most of which is the time that its imports take."""

from __future__ import annotations

import os
import signal
from collections.abc import Callable


def prepare_signals(on_stop: Callable[[], object] = lambda: None) -> None:
    """Keep SIGHUP from ending the process, and let SIGTERM end it in order.

    The node replaces both handlers once it can stop gracefully. Until then it has read nothing.

    Parameters
    ==========

    on_stop : called before SIGTERM ends the process.
    """

    def stop(number: int, frame: object) -> None:
        try:
            on_stop()
        finally:
            os._exit(os.EX_OK)

    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, stop)
