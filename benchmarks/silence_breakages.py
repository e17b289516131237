"""Guards of answers whose upstream is silent, and of upstreams that send without end."""

from __future__ import annotations

from benchmarks.breakage import Breakage

GATEWAY = "mulleinreach/gateway"
SILENCE = f"{GATEWAY}/tests/test_silence_during_stops.py"
ENDLESS = f"{GATEWAY}/request/tests/test_endless_answers.py"

SILENCE_BREAKAGES = [
    Breakage(
        "LOST",
        "a request that can't go on elsewhere stays at an upstream that is believed lost",
        f"{GATEWAY}/request/active.py",
        "[exchange for exchange in exchanges if exchange.may_move()]",
        "list(exchanges)",
        SILENCE,
    ),
    Breakage(
        "LOST",
        "a silent group that no other can replace is kept for a while",
        f"{GATEWAY}/fleet/group_monitor.py",
        "return all(self._hosts.silent_s(m.id) <= MAX_SILENCE_S for m in group.members.values())",
        "return False",
        f"{SILENCE} -k only_group",
    ),
    Breakage(
        "MEMORY",
        "informational responses are bounded",
        "mulleinreach/common/response_bounds.py",
        "if self._head_bytes > MAX_HEAD_BYTES:",
        "if False:",
        f"{ENDLESS} -k head_without_end",
    ),
    Breakage(
        "LOOP",
        "very small events are paced",
        f"{GATEWAY}/request/stream_forwarder.py",
        "if len(events) > FREE_EVENTS:",
        "if False:",
        f"{GATEWAY}/request/tests/test_small_events.py",
    ),
    Breakage(
        "LOOP",
        "the framing of upstreams' bodies is bounded",
        "mulleinreach/common/response_bounds.py",
        "if self._chunked_bytes - body_bytes > MAX_FRAMING_BYTES + body_bytes:",
        "if False:",
        "mulleinreach/common/tests/test_response_bounds.py -k framing",
    ),
    Breakage(
        "LOOP",
        "informational responses are few",
        "mulleinreach/common/response_bounds.py",
        "elif self._informational_count > MAX_INFORMATIONAL_RESPONSES:",
        "elif False:",
        "mulleinreach/common/tests/test_response_bounds.py -k informational",
    ),
    Breakage(
        "MEMORY",
        "an event is bounded",
        f"{GATEWAY}/request/events.py",
        "if len(self._buffer) > MAX_EVENT_BYTES:",
        "if False:",
        f"{ENDLESS} -k event_without_end",
    ),
    Breakage(
        "MEMORY",
        "bodies are bounded together",
        f"{GATEWAY}/request/exchange.py",
        "self._memory = memory or MemoryLedger(MAX_BUFFERED_BYTES)",
        "self._memory = memory or MemoryLedger(100 * MAX_BUFFERED_BYTES)",
        f"{ENDLESS} -k bounded_together",
    ),
]
