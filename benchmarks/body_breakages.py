"""The guards of bodies that end with their connection."""

from __future__ import annotations

from benchmarks.breakage import Breakage

RESPONSES = "mulleinreach/common/responses.py"
RELAY = "mulleinreach/gateway/request/relay.py"
READERS = "mulleinreach/common/tests/test_responses.py"
STREAMS = "mulleinreach/gateway/request/tests/test_streams_without_length.py"

BODY_BREAKAGES = [
    Breakage(
        "MIXED",
        "a reset is no end of a body without length",
        RESPONSES,
        "if error is not None and self.framing is BodyFraming.CLOSE:",
        "if False:",
        "mulleinreach/gateway/request/tests/test_exchange.py",
    ),
    Breakage(
        "MIXED",
        "a reset after the end of a framed body cuts nothing",
        RESPONSES,
        "if error is not None and self.framing is BodyFraming.CLOSE:",
        "if error is not None:",
        READERS,
    ),
    Breakage(
        "MIXED",
        "a body that is read at once is asked for its end",
        RESPONSES,
        "            self.check_complete()\n            self._body",
        "            self._body",
        READERS,
    ),
    Breakage(
        "MIXED",
        "a body with a limit is asked for its end",
        "mulleinreach/requests/answers.py",
        "    response.check_complete()\n",
        "",
        READERS,
    ),
    Breakage(
        "MIXED",
        "a plain service's answer is asked for its end",
        "mulleinreach/entry/relay.py",
        "        upstream.check_complete()\n",
        "",
        READERS,
    ),
    Breakage(
        "ORDER",
        "a stream without length and without events was broken off",
        RELAY,
        "if result.body_end.framing is BodyFraming.CLOSE and not has_events:",
        "if False:",
        STREAMS,
    ),
    Breakage(
        "ORDER",
        "a stream that ends inside an event was broken off",
        RELAY,
        "        if splitter.rest:\n",
        "        if False:\n",
        STREAMS,
    ),
]
