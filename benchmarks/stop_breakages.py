"""Breakages of planned stops: what is owed is answered."""

from __future__ import annotations

from benchmarks.breakage import Breakage

SERVER = "mulleinreach/common/server"
REQUEST = "mulleinreach/gateway/request"
TESTS = "mulleinreach/gateway/tests/test_owed_answers.py"
INTAKE_TESTS = "mulleinreach/gateway/tests/test_stop_intake.py"

STOP_BREAKAGES = [
    Breakage(
        "LOST",
        "draining closes unused connections only",
        f"{SERVER}/connections.py",
        "if connection.is_unused and not connection.has_unread:",
        "if True:",
        f"{TESTS} -k head_that_has_begun",
    ),
    Breakage(
        "LOST",
        "a connection on which a head has begun isn't idle",
        f"{SERVER}/connections.py",
        "            if connection.is_unused:\n                self.remove(connection)",
        "            if True:\n                self.remove(connection)",
        f"{SERVER}/tests/test_connections.py -k closed_as_idle",
    ),
    Breakage(
        "LOST",
        "what was read behind a request is answered",
        f"{SERVER}/handler.py",
        "if not (isinstance(protocol, BoundedRequestHandler) and protocol.has_read_ahead):",
        "if True:",
        f"{TESTS} -k requests_behind",
    ),
    Breakage(
        "LOST",
        "a connection ends once it is unused",
        f"{SERVER}/handler.py",
        "if self._bounds.connections.is_draining and self.is_unused:",
        "if False:",
        f"{SERVER}/tests/test_connections.py -k draining",
    ),
    Breakage(
        "LOST",
        "late in a stop, deadlines decide what is taken",
        f"{REQUEST}/intake.py",
        "        if self._is_closed:\n            return False\n",
        "",
        f"{INTAKE_TESTS} -k deadlines",
    ),
    Breakage(
        "LOST",
        "in a stop, known times decide what is taken",
        f"{REQUEST}/intake.py",
        "return longest_s is not None and self._clock.now() + longest_s <= self.finish_by",
        "return True",
        f"{TESTS} -k usually_quick",
    ),
    Breakage(
        "LOST",
        "in a stop, nothing is taken of routes of which too little is known",
        f"{REQUEST}/intake.py",
        "return longest_s is not None and self._clock.now()",
        "return longest_s is None or self._clock.now()",
        f"{INTAKE_TESTS} -k few_answers",
    ),
    Breakage(
        "LOST",
        "in a stop, requests that still run tell how long others may take",
        f"{REQUEST}/intake.py",
        "max(longest_s, self._oldest_s(route))",
        "longest_s",
        f"{INTAKE_TESTS} -k still_run",
    ),
    Breakage(
        "LOST",
        "in a stop, the longest of the known answers tells how long others may take",
        f"{REQUEST}/intake.py",
        "return max(times) if",
        "return sorted(times)[len(times) * 9 // 10] if",
        f"{INTAKE_TESTS} -k longest_of",
    ),
    Breakage(
        "LOST",
        "requests that are being read are refused at once",
        f"{REQUEST}/owed.py",
        "if request.phase is RequestPhase.READING and request.deadline > latest_deadline:",
        "if False:",
        f"{INTAKE_TESTS} -k deadlines",
    ),
    Breakage(
        "LOST",
        "requests that still run at the end are answered",
        f"{REQUEST}/owed.py",
        "                self._log_given_up(request)\n                request.end()\n",
        "                pass\n",
        f"{TESTS} -k at_the_end",
    ),
    Breakage(
        "REFUSED",
        "a send that was cut may have run",
        f"{REQUEST}/sending.py",
        "        job.is_unresolved = True\n",
        "",
        f"{TESTS} -k runs_at_the_end",
    ),
    Breakage(
        "LOST",
        "what waits at a node that is stopped while it starts is refused",
        "mulleinreach/platform/__main__.py",
        "        prepare_signals(on_stop=partial(refuse_waiting, listener))",
        "        pass",
        "mulleinreach/platform/tests/test_start_signals.py -k wait_at",
    ),
    Breakage(
        "LOST",
        "a starting node waits for addresses that are in use",
        "mulleinreach/common/listening.py",
        "is_over = loop.time() >= until or gives_up()",
        "is_over = True",
        "mulleinreach/platform/tests/test_addresses_in_use.py -k once_its",
    ),
    Breakage(
        "LOST",
        "a node that can't start refuses what waits for it",
        "mulleinreach/gateway/process.py",
        "            refuse_waiting(callers)",
        "            pass",
        "mulleinreach/platform/tests/test_addresses_in_use.py -k stays_in_use",
    ),
    Breakage(
        "LOST",
        "what has come unread is answered, too",
        f"{SERVER}/connections.py",
        "if connection.is_unused and not connection.has_unread:",
        "if connection.is_unused:",
        f"{SERVER}/tests/test_connections.py -k has_come",
    ),
]
