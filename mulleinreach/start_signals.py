"""Signals to a process that is starting, most of which is the time that its imports take."""

from __future__ import annotations

import os
import signal


def prepare_signals() -> None:
    """Keep SIGHUP from ending the process, and let SIGTERM end it in order.

    The node replaces both handlers once it can stop gracefully. Until then it has read nothing.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda number, frame: os._exit(os.EX_OK))
