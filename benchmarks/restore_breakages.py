"""The guards of what nodes know across a restore of the store."""

from __future__ import annotations

from benchmarks.breakage import Breakage

GATEWAY = "mulleinreach/gateway"
STORE = "mulleinreach/platform/store.py"
PORTS = "mulleinreach/platform/tests/test_restored_ports.py"
RESTORED = f"{GATEWAY}/state/tests/test_restored_store.py"
LEASE = f"{GATEWAY}/coordination/tests/test_restored_lease.py"

RESTORE_BREAKAGES = [
    Breakage(
        "RESTORE",
        "an era goes before a version",
        f"{GATEWAY}/revision.py",
        "return (era << VERSION_BITS) | version",
        "return version",
        f"{RESTORED} -k drain",
    ),
    Breakage(
        "RESTORE",
        "a wait doesn't go on from an earlier era",
        STORE,
        "if self._era_of(answer) != era_of(revision):",
        "if False:",
        PORTS,
    ),
    Breakage(
        "RESTORE",
        "waits end when a restore is heard of",
        STORE,
        "            self._calls.cancel_long_polls()\n",
        "",
        PORTS,
    ),
    Breakage(
        "RESTORE",
        "a write that names an earlier era is not sent",
        STORE,
        "if len(comparable) < len(expected_rows):",
        "if False:",
        PORTS,
    ),
    Breakage(
        "RESTORE",
        "nor is it taken for done where only its answer tells the era",
        STORE,
        "was_restored = any(is_of_earlier_era(r, era) for r in expected_rows)",
        "was_restored = False",
        PORTS,
    ),
    Breakage(
        "RESTORE",
        "a list is read page by page in one era",
        STORE,
        "if era_of(page.revision) != era_of(revision):",
        "if False:",
        PORTS,
    ),
    Breakage(
        "RESTORE",
        "what is known stands against a copy",
        f"{GATEWAY}/state/upstream_follower.py",
        "return self._directory.reconcile(upstreams) if self._was_untrusted else upstreams",
        "return upstreams",
        RESTORED,
    ),
    Breakage(
        "RESTORE",
        "a list that was doubted is read once more",
        f"{GATEWAY}/state/upstream_follower.py",
        "return self._was_untrusted and self._clock.now() >= self._untrusted_until",
        "return False",
        f"{RESTORED} -k used_again",
    ),
    Breakage(
        "RESTORE",
        "upstreams that a copy lacks are kept for a while",
        f"{GATEWAY}/state/upstream_follower.py",
        "self._keeps_removed_until = max(self._keeps_removed_until, now + RELISTING_GRACE_S)",
        "pass",
        f"{RESTORED} -k short_outage",
    ),
    Breakage(
        "RESTORE",
        "an upstream that has gone is not brought back by a copy",
        f"{GATEWAY}/state/upstreams.py",
        "if before is not None or listed.id not in self._departed",
        "if True",
        f"{RESTORED} -k removed_upstream_gets",
    ),
    Breakage(
        "RESTORE",
        "a row's word that its upstream leaves outlives it",
        f"{GATEWAY}/state/upstreams.py",
        "if upstream.state is UpstreamState.DRAINING:",
        "if False:",
        f"{RESTORED} -k drain_outlasts",
    ),
    Breakage(
        "RESTORE",
        "a word that an upstream leaves is taken from a doubted list",
        f"{GATEWAY}/state/upstreams.py",
        "if listed.id == known.id and listed.state is UpstreamState.DRAINING:",
        "if False:",
        f"{RESTORED} -k before_any_node",
    ),
    Breakage(
        "RESTORE",
        "evacuations that a copy lacks hold for a while",
        f"{GATEWAY}/state/evacuations.py",
        "if era_of(revision) > era_of(self.revision):",
        "if False:",
        f"{RESTORED} -k evacuation",
    ),
    Breakage(
        "RESTORE",
        "and end if nobody writes them again",
        f"{GATEWAY}/state/evacuations.py",
        "if until is not None and self._clock.now() >= until:",
        "if False:",
        f"{RESTORED} -k evacuation",
    ),
    Breakage(
        "RESTORE",
        "a coordinator's own word confirms none",
        f"{GATEWAY}/state/evacuations.py",
        "is_newer = revision > self.revision",
        "is_newer = True",
        f"{RESTORED} -k another_row",
    ),
    Breakage(
        "RESTORE",
        "an older configuration proves nothing",
        f"{GATEWAY}/state/configuration_follower.py",
        "self._is_store_outdated = result.configuration.version < self.version",
        "self._is_store_outdated = False",
        f"{RESTORED} -k no_evidence",
    ),
    Breakage(
        "RESTORE",
        "a holder waits for one whose row is lost",
        f"{GATEWAY}/coordination/lease.py",
        "is_sole_holder = now >= self._others_may_hold_until",
        "is_sole_holder = True",
        LEASE,
    ),
    Breakage(
        "RESTORE",
        "also one that didn't see the restore",
        f"{GATEWAY}/coordination/lease.py",
        "return result.record.era < result.era",
        "return False",
        LEASE,
    ),
    Breakage(
        "RESTORE",
        "one that held throughout goes on",
        f"{GATEWAY}/coordination/lease.py",
        "if not is_restored or self.is_held():",
        "if not is_restored:",
        LEASE,
    ),
    Breakage(
        "RESTORE",
        "tokens rise beyond those that are lost",
        f"{GATEWAY}/coordination/lease.py",
        "        self._highest_token += RESTORE_TOKEN_INCREMENT\n",
        "",
        LEASE,
    ),
]
