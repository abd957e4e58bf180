"""At most one run and true answers, under faults and with broken code."""

import dataclasses

import pytest

from fireflyford import core
from fireflyford import requests
from fireflyford.lab import _fault_runs
from fireflyford.lab import _history
from fireflyford.requests import _scheduler

# CI runs these; the experiment `at-most-once` runs at least 200.
_SEEDS = range(12)
Outcome = core.Outcome[requests.Response]


@pytest.mark.parametrize("seed", _SEEDS)
def test_faults_break_no_promise(seed: int) -> None:
    """Guards against second runs and false answers under faults."""
    result = _fault_runs.run_once(seed)
    assert result.violations == ()
    assert result.execution_count > 20


def _broken_rules(seeds: range) -> set[_history.Rule]:
    return {
        violation.rule
        for seed in seeds
        for violation in _fault_runs.run_once(seed).violations
    }


def test_checker_sees_records_that_let_copies_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a checker that misses second runs of a ticket."""
    begin = requests.RequestRecords.begin

    def forgetful(
        self: requests.RequestRecords, key: object, *rest: object
    ) -> core.Outcome[requests.Claim]:
        return begin(self, object(), *rest)  # type: ignore[arg-type]

    monkeypatch.setattr(requests.RequestRecords, "begin", forgetful)
    assert _history.Rule.RAN_TWICE in _broken_rules(range(4))


def test_checker_sees_records_dropped_before_tickets_expire(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a run of a copy that comes after its record is gone."""

    def expire_early(self: requests.RequestRecords) -> None:
        while self._by_age and self._by_age[0][0] < self._clock.now_ms() - 500:
            self._drop_oldest()

    monkeypatch.setattr(requests.RequestRecords, "_expire", expire_early)
    assert _history.Rule.RAN_TWICE in _broken_rules(range(4))


def test_checker_sees_false_not_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a checker that misses "not run" for work that ran."""

    def pretend(outcome: Outcome) -> bool:
        return isinstance(outcome, core.Failure)

    original = _scheduler.Scheduler._run_at_peer

    async def lying(
        self: _scheduler.Scheduler, *args: object
    ) -> core.Outcome[requests.Response]:
        outcome = await original(self, *args)  # type: ignore[arg-type]
        if pretend(outcome):
            return core.Failure(core.ErrorKind.NO_TARGET, "not run")
        return outcome

    monkeypatch.setattr(_scheduler.Scheduler, "_run_at_peer", lying)
    # Seed 14 loses replies of peers.
    assert _fault_runs.choose_faults(14) == (_fault_runs.Fault.LOST_REPLY,)
    rules = _broken_rules(range(14, 15))
    assert _history.Rule.NOT_RUN_BUT_RAN in rules


def test_checker_sees_work_meant_for_another_incarnation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against copies that run at a restarted peer."""
    accept = requests.RequestEngine.accept_handoff

    async def gullible(
        self: requests.RequestEngine, handoff: requests.Handoff
    ) -> Outcome:
        same = dataclasses.replace(
            handoff,
            executor=self.issuer.incarnation,
            stamp_ms=self._clock.now_ms(),
        )
        return await accept(self, same)

    monkeypatch.setattr(requests.RequestEngine, "accept_handoff", gullible)
    run = _fault_runs._FaultRun(
        5, (_fault_runs.Fault.LATE_COPY, _fault_runs.Fault.REUSED_ADDRESS)
    )
    result = _fault_runs._virtual_time.run(run.run())
    rules = {violation.rule for violation in result.violations}
    assert _history.Rule.RAN_TWICE in rules


@pytest.mark.parametrize(
    ("execution", "body", "ran", "rule"),
    [
        ("NOT_RUN", None, 1, "NOT_RUN_BUT_RAN"),
        ("RAN", b"a", 0, "COMPLETE_BUT_NOT_RUN"),
        ("RAN", b"b", 1, "WRONG_ANSWER"),
        ("UNKNOWN", None, 2, "RAN_TWICE"),
    ],
)
def test_checker_names_the_broken_rule(
    execution: str, body: bytes | None, ran: int, rule: str
) -> None:
    """Guards against a rule of the checker that never fires."""
    answer = _history.Answer("o", "o/0", core.Execution[execution], body)
    runs = [_history.ExecutionRecord("o", "o/0", "backend")] * ran
    found = _history.check([answer], runs, {"o/0": b"a"})
    assert [violation.rule for violation in found] == [_history.Rule[rule]]
