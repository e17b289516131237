"""Breakages of how groups end: each switches off one rule, which a test has to notice."""

from benchmarks.breakage import Breakage

FLEET = "mulleinreach/gateway/fleet"
ENDING_GROUPS = f"{FLEET}/tests/test_ending_groups.py"

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
]
