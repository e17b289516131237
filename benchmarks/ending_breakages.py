"""Breakages of how groups end: each switches off one rule, which a test has to notice."""

from benchmarks.breakage import Breakage

FLEET = "mulleinreach/gateway/fleet"
GATEWAY = "mulleinreach/gateway"
ENDING_GROUPS = f"{FLEET}/tests/test_ending_groups.py"
ANNOUNCED = f"{FLEET}/tests/test_announced_ends.py"

ENDING_BREAKAGES = [
    Breakage(
        "LOST",
        "a retiring group finishes answers as long as their route allows",
        f"{FLEET}/retirements.py",
        "return self._longest_timeout_s(service) + END_MARGIN_S",
        "return 8.0 + END_MARGIN_S",
        f"{ENDING_GROUPS} -k as_long_as",
    ),
    Breakage(
        "LOST",
        "a head that reports requests isn't idle",
        f"{FLEET}/group_monitor.py",
        "if isinstance(report, Upstream) and self._hosts.reported_running(head.id):",
        "if False:",
        f"{ENDING_GROUPS} -k coordinator_misses",
    ),
    Breakage(
        "LOST",
        "a group that is briefly silent finishes what can't go on elsewhere",
        f"{FLEET}/group_monitor.py",
        "if not has_fixed_requests(load) or not self._is_briefly_silent(group):",
        "if True:",
        f"{ENDING_GROUPS} -k silence_of_a_host",
    ),
    Breakage(
        "LOST",
        "a slow group finishes what can't go on elsewhere",
        f"{FLEET}/group_monitor.py",
        "self._begin_retiring(key, group.head, RetirementReason.MEMBER_SLOW)",
        'self._spawn_dissolve(group, model, "slow")',
        f"{ENDING_GROUPS} -k slow_group",
    ),
    Breakage(
        "LOST",
        "a head that is off the list finishes what it answers",
        f"{FLEET}/group_monitor.py",
        "elif has_fixed_requests(load) and math.isfinite(absent_s):",
        "elif False:",
        f"{ENDING_GROUPS} -k off_the_list",
    ),
    Breakage(
        "LOST",
        "groups whose end is announced take no stream if others last",
        f"{GATEWAY}/state/selection.py",
        "        lasting = self._without_due(permitted)",
        "        lasting = permitted",
        f"{ANNOUNCED} -k hear_no_coordinator",
    ),
    Breakage(
        "LOST",
        "a member that was removed from the list may end at any time",
        f"{GATEWAY}/state/announced_ends.py",
        "self._directory.draining_members() + self._directory.departed_members()",
        "self._directory.draining_members()",
        f"{ANNOUNCED} -k stops_listening",
    ),
    Breakage(
        "LOST",
        "a group that works isn't dissolved, whatever its members answer",
        f"{FLEET}/group_monitor.py",
        "        if self._makes_progress(group):\n            if",
        "        if False:\n            if",
        f"{ANNOUNCED} -k taken_for_lost",
    ),
    Breakage(
        "LOST",
        "a group whose end is announced frees its hosts",
        f"{FLEET}/group_monitor.py",
        "has_substitutes or self._substitutes.outlast(key, group, model)",
        "has_substitutes",
        f"{ANNOUNCED} -k frees",
    ),
    Breakage(
        "LOST",
        "a stream that goes on without any event was broken off",
        f"{GATEWAY}/request/stream_forwarder.py",
        "has_events = job.events_sent > events_before",
        "has_events = job.events_sent > 0",
        f"{GATEWAY}/request/tests/test_streams_without_length.py -k goes_on_and_closes",
    ),
    Breakage(
        "LOST",
        "no signal ends a node that is starting",
        "mulleinreach/platform/__main__.py",
        "    prepare_signals()\n",
        "",
        "mulleinreach/platform/tests/test_start_signals.py",
    ),
    Breakage(
        "LOST",
        "each request without a whole answer leaves a line",
        "mulleinreach/common/log.py",
        " and name != UNANSWERED_EVENT:",
        ":",
        "mulleinreach/common/tests/test_log.py -k left_out_together",
    ),
    Breakage(
        "LOST",
        "a member that only left the list retires no group",
        "mulleinreach/gateway/fleet/substitutes.py",
        "if not self._announced_ends.is_announced(key):",
        "if False:",
        "mulleinreach/gateway/fleet/tests/test_announced_ends.py -k only_left",
    ),
    Breakage(
        "LOST",
        "a member that has left as announced was leaving since its announcement",
        "mulleinreach/gateway/state/upstreams.py",
        "leaves_since = announced_at if is_announced else since",
        "leaves_since = since",
        "mulleinreach/gateway/fleet/tests/test_announced_ends.py -k as_announced",
    ),
]
