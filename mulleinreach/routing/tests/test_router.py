"""Choosing a replica by the conversation's ranking and the bound on load."""

import random

from mulleinreach.common import Address, rendezvous_rank
from mulleinreach.routing import Candidate, Router

NAMES = [f"r{number}" for number in range(8)]
ADDRESS = Address("10.0.0.1", 80)


def candidates(loads=None, slots=16):
    loads = loads or {}
    return [
        Candidate(name, 1, ADDRESS, loads.get(name, 0), slots, in_flight=loads.get(name, 0))
        for name in NAMES
    ]


def router():
    return Router(random.Random(1))


def test_a_conversation_stays_on_its_first_choice():
    first = rendezvous_rank("c1", NAMES)[0]
    for _ in range(5):
        assert router().choose(candidates({first: 13}), "c1").candidate.replica == first


def test_over_the_bound_it_spills_to_the_same_second_choice():
    first, second, *_ = rendezvous_rank("c1", NAMES)
    choice = router().choose(candidates({first: 14}), "c1")
    assert choice.candidate.replica == second
    assert f"{first} with 14" in choice.why


def test_the_bound_follows_the_mean_when_all_are_busy():
    first = rendezvous_rank("c1", NAMES)[0]
    loads = dict.fromkeys(NAMES, 16) | {first: 18}
    assert router().choose(candidates(loads), "c1").candidate.replica == first


def test_full_replicas_are_never_chosen():
    full = dict.fromkeys(NAMES, 20)
    assert router().choose(candidates(full), "c1") is None
    only = router().choose(candidates(full | {"r3": 19}), "c1")
    assert only.candidate.replica == "r3"


def test_node_may_use_its_fair_share_of_a_replica_reported_full():
    reported = Candidate("r0", 1, ADDRESS, load=20, slots=16, in_flight=6, nodes=3)
    assert reported.has_capacity
    assert not Candidate("r0", 1, ADDRESS, load=20, slots=16, in_flight=7, nodes=3).has_capacity


def test_removed_replica_moves_only_its_own_conversations():
    keys = [f"c{number}" for number in range(300)]
    before = {k: router().choose(candidates(), k).candidate.replica for k in keys}
    fewer = [c for c in candidates() if c.replica != "r2"]
    after = {k: router().choose(fewer, k).candidate.replica for k in keys}
    assert all(after[k] == before[k] for k in keys if before[k] != "r2")


def test_without_a_key_the_less_loaded_of_two_is_chosen():
    loads = dict.fromkeys(NAMES, 10) | {"r0": 0}
    chosen = [router().choose(candidates(loads), "").candidate for _ in range(3)]
    assert {c.replica for c in chosen} <= set(NAMES)
    rng = Router(random.Random(2))
    counts = [rng.choose(candidates(loads), "").candidate.replica for _ in range(400)]
    assert counts.count("r0") > 400 / len(NAMES) * 1.5
