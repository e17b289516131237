"""What decides whether a request leaves a silent upstream, on stand-ins of its parts."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from mulleinreach.common import Clock, EventLog
from mulleinreach.gateway.request.budget import RetryDecision
from mulleinreach.gateway.request.send_policy import MAX_EXTRA_RESUMES, PAUSE_LIMIT_S, SendPolicy
from mulleinreach.gateway.state.arrivals import ArrivalWindow
from mulleinreach.gateway.state.tests.test_crashes import ManualClock
from mulleinreach.standins.virtual import run_virtual

NAMES = SimpleNamespace(request_id="r", prompt_parts=(), model=None)
EXCHANGE = SimpleNamespace(upstream_id="u")
MAX_ATTEMPTS = 2


class Budget:
    """A budget with so many retries left."""

    def __init__(self, clock: Clock, left: int):
        self.left = left
        self.window = ArrivalWindow(clock, 10.0)

    def try_spend(self, service: str, request_id: str) -> RetryDecision:
        """Take one retry if there is one left."""
        is_granted = self.left > 0
        self.left -= is_granted
        return RetryDecision(self.window.add() if is_granted else None, 0, 1.0, 1, 1.0, 0.0)


def make_policy(left: int = 1, lost: frozenset[str] = frozenset({"u"})):
    """Return a policy, and the budget that it asks."""
    clock = ManualClock()
    budget = Budget(clock, left)
    chooser = SimpleNamespace(
        lost=lost,
        choose=lambda *args: SimpleNamespace(id="other"),
        later_heads=lambda *args: set(),
    )
    crashes = SimpleNamespace(is_held=lambda digest: False)
    metrics = SimpleNamespace(count_refused_retry=lambda service: None)
    return SendPolicy(chooser, budget, crashes, metrics, clock, EventLog("node")), budget


def make_job(sends: int = 1, ended_runs: int = 0, events_sent: int = 5, is_repeatable: bool = True):
    """Return a request on a route with two attempts."""
    route = SimpleNamespace(max_attempts=MAX_ATTEMPTS, is_repeatable=is_repeatable)
    return SimpleNamespace(
        deadline=float("inf"),
        admitted=SimpleNamespace(route=route),
        constraints=SimpleNamespace(service=SimpleNamespace(name="models")),
        content=1,
        ended_halls=set(),
        events_sent=events_sent,
        headers=NAMES,
        ended_runs=ended_runs,
        retry_charge=None,
        sends=sends,
        service=SimpleNamespace(name="models", engine=None),
        tried=set(),
        tried_epochs={},
        has_lost_upstream=False,
        not_resent="",
    )


def wait_to_resume(policy: SendPolicy, job) -> bool:
    """Let a request find that it can't be sent now, and wait until it may."""

    async def wait() -> bool:
        assert policy.next_upstream(job) is None
        return await policy.wait_to_resume(job)

    return run_virtual(wait())


# Guards against requests that give their upstream up for a send that is then refused, and against
# further sends for upstreams that haven't ended.
@pytest.mark.parametrize("has_begun", [False, True])
@pytest.mark.parametrize("is_lost", [False, True])
@pytest.mark.parametrize("sends", [1, 2, 3, 4])
@pytest.mark.parametrize("ended_runs", [0, 1, 2, 3])
def test_request_that_leaves_its_upstream_is_sent_once_more(has_begun, is_lost, sends, ended_runs):
    policy, _ = make_policy(lost=frozenset({"u"} if is_lost else ()))
    job = make_job(sends, ended_runs)
    if has_begun:
        leaves = policy.may_leave(job, EXCHANGE, PAUSE_LIMIT_S)
    else:
        leaves = policy.reserve_move(job)
    assert leaves is (sends < MAX_ATTEMPTS + min(ended_runs, MAX_EXTRA_RESUMES))
    assert not leaves or policy.next_upstream(job).id == "other"


def test_retry_is_reserved_once_and_returned_if_it_is_not_sent():
    policy, budget = make_policy(left=2)
    job = make_job()
    assert policy.reserve_move(job)
    assert policy.reserve_move(job)
    assert budget.left == 1
    policy.release(job)
    assert job.retry_charge is None
    policy._clock.at += 10.1
    assert len(budget.window) == 0


@pytest.mark.parametrize(
    ("left", "job"), [(0, make_job()), (1, make_job(is_repeatable=False)), (1, make_job(sends=4))]
)
def test_request_that_cannot_go_on_elsewhere_stays(left, job):
    policy, _ = make_policy(left)
    assert not policy.may_leave(job, EXCHANGE, 60.0)
    assert not policy.reserve_move(job)


def test_silent_upstream_that_is_not_lost_is_left_only_after_the_limit():
    policy, _ = make_policy(lost=frozenset())
    job = make_job()
    assert not policy.may_leave(job, EXCHANGE, PAUSE_LIMIT_S - 0.1)
    assert job.retry_charge is None
    assert policy.may_leave(job, EXCHANGE, PAUSE_LIMIT_S)
    assert job.retry_charge is not None


def test_stream_that_waits_gets_the_retry_that_comes_later():
    policy, budget = make_policy(left=0)
    spend, calls = budget.try_spend, []

    def spend_later(service: str, request_id: str) -> RetryDecision:
        calls.append(request_id)
        budget.left += len(calls) == 3
        return spend(service, request_id)

    budget.try_spend = spend_later
    job = make_job()
    assert wait_to_resume(policy, job)
    assert policy.next_upstream(job).id == "other"


# Guards against requests that crash upstreams and are kept until others can take them.
def test_stream_whose_upstream_ended_does_not_wait():
    policy, _ = make_policy(left=0)
    job = make_job()
    job.has_lost_upstream = True
    assert not wait_to_resume(policy, job)


def test_stream_that_has_used_up_its_attempts_does_not_wait():
    policy, _ = make_policy(left=1)
    assert not wait_to_resume(policy, make_job(sends=MAX_ATTEMPTS))


def test_stream_waits_no_longer_than_its_deadline():
    policy, _ = make_policy(left=0)
    job = make_job()
    job.deadline = policy._clock.now() + 1.0
    polls = []
    policy._budget.try_spend = lambda *args: polls.append(args) or _later(policy._clock)
    assert not wait_to_resume(policy, job)
    assert 1 < len(polls) <= 1.0 / POLLED_S + 1


POLLED_S = 0.25


def _later(clock: ManualClock) -> RetryDecision:
    """Refuse a retry, some time later."""
    clock.at += POLLED_S
    return RetryDecision(None, 0, 1.0, 1, 1.0, 0.0)
