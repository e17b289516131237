"""The guards of bodies that end with their connection."""

from __future__ import annotations

from benchmarks.breakage import Breakage

RESPONSES = "mulleinreach/common/responses.py"
FORWARDER = "mulleinreach/gateway/request/stream_forwarder.py"
READERS = "mulleinreach/common/tests/test_responses.py"
STREAMS = "mulleinreach/gateway/request/tests/test_streams_without_length.py"
OUTCOMES = "mulleinreach/gateway/request/run_outcomes.py"
CRASHING = "mulleinreach/gateway/request/tests/test_crashing_requests.py"

BODY_BREAKAGES = [
    Breakage(
        "ORDER",
        "a body that ends with its connection is complete only if its process runs",
        OUTCOMES,
        "if state is ProcessState.ENDED:",
        "if False:",
        f"{STREAMS} -k ended",
    ),
    Breakage(
        "BUDGET",
        "an answer of a process that ended with it doesn't count as served",
        OUTCOMES,
        "if state is ProcessState.ENDED:",
        "if False:",
        f"{CRASHING} -k seem_to_end",
    ),
    Breakage(
        "LOST",
        "an upstream that leaves ends its streams whole",
        OUTCOMES,
        "if body_end.framing is BodyFraming.CLOSE and not self._chooser.is_leaving(upstream):",
        "if body_end.framing is BodyFraming.CLOSE:",
        f"{STREAMS} -k leaves",
    ),
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
        FORWARDER,
        "if result.body_end.framing is BodyFraming.CLOSE and not has_events:",
        "if False:",
        STREAMS,
    ),
    Breakage(
        "ORDER",
        "a stream that ends inside an event was broken off",
        FORWARDER,
        "        if splitter.rest:\n",
        "        if False:\n",
        STREAMS,
    ),
]
