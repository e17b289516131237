"""Breakages of the bounds on clients."""

from __future__ import annotations

from benchmarks.breakage import Breakage

SERVER = "mulleinreach/common/server"
TESTS = f"{SERVER}/tests"

CLIENT_BREAKAGES = [
    Breakage(
        "MEMORY",
        "requests sent ahead aren't parsed",
        f"{SERVER}/handler.py",
        "        if self._is_waiting():\n            self._keep(data)\n",
        "        if False:\n            self._keep(data)\n",
        f"{TESTS}/test_handler.py -k sent_ahead",
    ),
    Breakage(
        "MEMORY",
        "a head is bounded as a whole",
        f"{SERVER}/handler.py",
        "if self._head_size > self._bounds.head_bytes() + READ_BYTES:",
        "if False:",
        f"{TESTS}/test_handler.py -k head_over",
    ),
    Breakage(
        "MEMORY",
        "requests of all connections are bounded together",
        f"{SERVER}/memory.py",
        "while self.held_bytes + size > self.limit_bytes:",
        "while False:",
        f"{TESTS}/test_memory.py -k sum_of_bodies",
    ),
    Breakage(
        "MEMORY",
        "answers of all connections are bounded together",
        f"{SERVER}/memory.py",
        "while self.held_bytes > self.limit_bytes:",
        "while False:",
        f"{TESTS}/test_memory.py -k answers",
    ),
    Breakage(
        "MEMORY",
        "a request that runs keeps what it holds",
        f"{SERVER}/memory.py",
        "return self.is_stalled or self.state is HoldState.PENDING",
        "return True",
        f"{TESTS}/test_memory.py -k runs",
    ),
    Breakage(
        "MEMORY",
        "a client that takes nothing of its answer is closed",
        f"{SERVER}/connections.py",
        "if now - unsent.since > timeout_s:",
        "if False:",
        f"{TESTS}/test_memory.py -k takes_nothing",
    ),
    Breakage(
        "DESCRIPTORS",
        "connections are bounded",
        f"{SERVER}/connections.py",
        "if len(self) > self._max_connections:",
        "if False:",
        f"{TESTS}/test_connections.py",
    ),
    Breakage(
        "DESCRIPTORS",
        "connections are accepted in batches",
        "mulleinreach/common/loop.py",
        "batch = min(backlog, ACCEPT_BATCH)",
        "batch = backlog",
        "mulleinreach/common/tests/test_loop.py -k batches",
    ),
    Breakage(
        "LOOP",
        "framing of chunks is paced",
        f"{SERVER}/framing.py",
        "return max(0.0, self._next_at - now)",
        "return 0.0",
        f"{TESTS}/test_handler.py -k tiny_chunks",
    ),
]
