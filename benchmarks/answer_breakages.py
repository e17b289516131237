"""The guards of what counts as an answer, and of answers that end before their request arrived."""

from __future__ import annotations

from benchmarks.breakage import Breakage

BOUNDS = "mulleinreach/common/response_bounds.py"
HEADS = "mulleinreach/common/response_heads.py"
TUNNEL = "mulleinreach/gateway/connectivity/tunnel.py"
TUNNEL_SERVER = "mulleinreach/gateway/connectivity/tunnel_server.py"
EARLY_TESTS = "mulleinreach/common/tests/test_early_answers.py"
HEAD_TESTS = "mulleinreach/common/tests/test_response_heads.py"
TUNNEL_TESTS = "mulleinreach/gateway/connectivity/tests/test_tunnelled_uploads.py"

ANSWER_BREAKAGES = [
    Breakage(
        "MIXED",
        "only what has the status of a final response is an answer",
        BOUNDS,
        "        if message.code not in FINAL_STATUSES:\n",
        "        if False:\n",
        "mulleinreach/gateway/request/tests/test_status_codes.py",
    ),
    Breakage(
        "MIXED",
        "a connection's error outlasts the connection",
        "mulleinreach/common/responses.py",
        "return self._connection_protocol.connection_error",
        "return self._connection_protocol.exception()",
        f"{EARLY_TESTS} -k reset",
    ),
    Breakage(
        "MIXED",
        "an answer until the close is whole only if its request had arrived",
        BOUNDS,
        "if not self._is_request_received():",
        "if False:",
        f"{EARLY_TESTS} -k close_amid",
    ),
    Breakage(
        "MIXED",
        "a success behind a long request waits for a reset",
        BOUNDS,
        "        if self.has_long_request:\n",
        "        if False:\n",
        f"{EARLY_TESTS} -k reset_after_a_close",
    ),
    Breakage(
        "MIXED",
        "the node at the upstream waits for a reset, too",
        TUNNEL_SERVER,
        "if self._sent_bytes > FIRST_FLIGHT_BYTES and await is_reset_after_end(transport):",
        "if False:",
        f"{TUNNEL_TESTS} -k reset_after_a_close",
    ),
    Breakage(
        "MIXED",
        "a request that is still being made hasn't arrived",
        BOUNDS,
        "return self._is_request_written and unreceived_bytes(self.transport) == 0",
        "return unreceived_bytes(self.transport) == 0",
        f"{EARLY_TESTS} -k rest_of_an_upload",
    ),
    Breakage(
        "MIXED",
        "an early refusal is an answer",
        BOUNDS,
        "self._is_success_until_close = is_success and framing is BodyFraming.CLOSE",
        "self._is_success_until_close = framing is BodyFraming.CLOSE",
        f"{EARLY_TESTS} -k refusal",
    ),
    Breakage(
        "MIXED",
        "the node at the upstream counts what hasn't arrived there",
        TUNNEL_SERVER,
        "self._sent_bytes - unreceived_bytes(transport)",
        "self._sent_bytes",
        f"{TUNNEL_TESTS} -k passed_on",
    ),
    Breakage(
        "MIXED",
        "the asking node compares what it wrote with what arrived",
        TUNNEL,
        "return self._written_bytes - self._blocks.received_bytes",
        "return 0",
        f"{TUNNEL_TESTS} -k end_amid",
    ),
    Breakage(
        "MIXED",
        "a malformed line makes a response none",
        HEADS,
        "if not self._read_line(line):",
        "if self._read_line(line) and False:",
        f"{HEAD_TESTS} -k malformed_line_is_none",
    ),
    Breakage(
        "MIXED",
        "a name is a token",
        HEADS,
        "[!#$%&'*+\\-.^_`|~0-9A-Za-z]+:",
        "[^:]+:",
        f"{HEAD_TESTS} -k malformed_line_is_none",
    ),
    Breakage(
        "LOST",
        "a value holds no control bytes",
        HEADS,
        "[\\t\\x20-\\x7e\\x80-\\xff]*",
        "[^\\n]*",
        "mulleinreach/gateway/request/tests/test_malformed_heads.py -k caller_gets",
    ),
    Breakage(
        "MIXED",
        "heads after an informational one are checked",
        HEADS,
        "self.is_done = not self._is_informational",
        "self.is_done = True",
        f"{HEAD_TESTS} -k sound_response",
    ),
    Breakage(
        "MIXED",
        "scanner and parser agree on the heads",
        BOUNDS,
        "if not self._has_scanned_all_heads():",
        "if False:",
        f"{HEAD_TESTS} -k disagree",
    ),
]
