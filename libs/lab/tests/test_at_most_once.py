"""At-most-once execution and correct answers, under faults and mutations."""

import dataclasses

import pytest

from fireflyford import core
from fireflyford import requests
from fireflyford.lab import _fault_runs
from fireflyford.lab import _history
from fireflyford.requests import _scheduler

# The experiment `at-most-once` runs 200 seeds.
_SEEDS = range(12)
Outcome = core.Outcome[requests.Response]


@pytest.mark.parametrize("seed", _SEEDS)
def test_run_with_faults_has_no_violations(seed: int) -> None:
    """Guards against repeated executions and false answers under faults."""
    result = _fault_runs.run_once(seed)
    assert result.violations == ()
    assert result.execution_count > 20


def _violated_rules(seeds: range) -> set[_history.Rule]:
    return {
        violation.rule
        for seed in seeds
        for violation in _fault_runs.run_once(seed).violations
    }


def test_checker_detects_missing_records(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a checker that misses repeated executions."""
    begin = requests.RequestRecords.begin

    def begin_without_record(
        self: requests.RequestRecords, key: object, *rest: object
    ) -> core.Outcome[requests.Claim]:
        return begin(self, object(), *rest)  # type: ignore[arg-type]

    monkeypatch.setattr(requests.RequestRecords, "begin", begin_without_record)
    assert _history.Rule.RAN_TWICE in _violated_rules(range(4))


def test_checker_detects_records_dropped_before_tickets_expire(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against executions of copies that outlive their record."""

    def expire_early(self: requests.RequestRecords) -> None:
        while self._by_age and self._by_age[0][0] < self._clock.now_ms() - 500:
            self._drop_oldest()

    monkeypatch.setattr(requests.RequestRecords, "_expire", expire_early)
    assert _history.Rule.RAN_TWICE in _violated_rules(range(4))


def test_checker_detects_not_run_answer_to_executed_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a checker that misses false "not run" answers."""

    def is_failure(outcome: Outcome) -> bool:
        return isinstance(outcome, core.Failure)

    original = _scheduler.Scheduler._run_at_peer

    async def answer_not_run(
        self: _scheduler.Scheduler, *args: object
    ) -> core.Outcome[requests.Response]:
        outcome = await original(self, *args)  # type: ignore[arg-type]
        if is_failure(outcome):
            return core.Failure(core.ErrorKind.NO_TARGET, "not run")
        return outcome

    monkeypatch.setattr(_scheduler.Scheduler, "_run_at_peer", answer_not_run)
    # The fault of seed 14 is the loss of peers' replies.
    assert _fault_runs.choose_faults(14) == (_fault_runs.Fault.LOST_REPLY,)
    rules = _violated_rules(range(14, 15))
    assert _history.Rule.NOT_RUN_BUT_RAN in rules


def test_checker_detects_missing_incarnation_check(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against copies that are executed by a restarted peer."""
    accept = requests.RequestEngine.accept_handoff

    async def accept_any_incarnation(
        self: requests.RequestEngine, handoff: requests.Handoff
    ) -> Outcome:
        readdressed = dataclasses.replace(
            handoff,
            executor=self.issuer.incarnation,
            stamp_ms=self._clock.now_ms(),
        )
        return await accept(self, readdressed)

    monkeypatch.setattr(
        requests.RequestEngine, "accept_handoff", accept_any_incarnation
    )
    run = _fault_runs._FaultRun(
        5, (_fault_runs.Fault.LATE_COPY, _fault_runs.Fault.REUSED_ADDRESS)
    )
    result = _fault_runs._virtual_time.run(run.run())
    rules = {violation.rule for violation in result.violations}
    assert _history.Rule.RAN_TWICE in rules


@pytest.mark.parametrize(
    ("execution", "body", "execution_count", "rule"),
    [
        ("NOT_RUN", None, 1, "NOT_RUN_BUT_RAN"),
        ("RAN", b"a", 0, "COMPLETE_BUT_NOT_RUN"),
        ("RAN", b"b", 1, "WRONG_ANSWER"),
        ("UNKNOWN", None, 2, "RAN_TWICE"),
    ],
)
def test_checker_reports_violated_rule(
    execution: str, body: bytes | None, execution_count: int, rule: str
) -> None:
    """Guards against a rule that the checker never reports."""
    answer = _history.Answer("o", "o/0", core.Execution[execution], body)
    executions = [
        _history.ExecutionRecord("o", "o/0", "backend")
    ] * execution_count
    found = _history.check([answer], executions, {"o/0": b"a"})
    assert [violation.rule for violation in found] == [_history.Rule[rule]]
