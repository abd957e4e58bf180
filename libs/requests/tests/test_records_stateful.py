"""Stateful test of the request records against a reference model."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from fireflyford import core
from fireflyford import requests

_RETENTION_MS = 1_000
_MAX_COUNT = 4
_MAX_BYTES = 10
_KEYS = strategies.integers(0, 8)


def _response(size_bytes: int) -> core.Outcome[requests.Response]:
    return core.Ok(requests.Response(200, (), b"x" * size_bytes))


class _StepClock(core.ManualClock):
    """Clock that advances without an event loop, since nothing sleeps."""

    def step(self, duration_ms: int) -> None:
        self._now_ms += duration_ms


class RecordsMachine(stateful.RuleBasedStateMachine):
    """Issues tickets, presents them repeatedly and finishes their requests.

    The model remembers every ticket that ran, and its outcome. The table may
    drop records, but must then refuse requests with their tickets.
    """

    def __init__(self) -> None:
        """Creates an empty table and an empty model."""
        super().__init__()
        self.clock = _StepClock()
        self.records = requests.RequestRecords(
            self.clock, _RETENTION_MS, _MAX_COUNT, _MAX_BYTES
        )
        self.issued: dict[int, int] = {}
        self.running: dict[int, requests.RequestRecord] = {}
        self.outcomes: dict[int, core.Outcome[requests.Response]] = {}

    @stateful.rule(duration_ms=strategies.integers(0, 600))
    def wait(self, duration_ms: int) -> None:
        """Advances the clock."""
        self.clock.step(duration_ms)

    @stateful.rule(key=_KEYS)
    def issue(self, key: int) -> None:
        """Issues a ticket."""
        self.issued.setdefault(key, self.clock.now_ms())

    @stateful.rule(key=_KEYS)
    def present(self, key: int) -> None:
        """Presents a ticket, possibly not for the first time."""
        if key not in self.issued:
            return
        claim = self.records.begin(key, self.issued[key], b"original")
        age_ms = self.clock.now_ms() - self.issued[key]
        if isinstance(claim, core.Failure):
            assert claim.kind is core.ErrorKind.TICKET_TOO_OLD
            assert age_ms > _RETENTION_MS or self.records.dropped_count
            return
        assert age_ms <= _RETENTION_MS
        record = claim.value.record
        if claim.value.first:
            assert key not in self.running, "a second run"
            assert key not in self.outcomes, "a second run after the first"
            self.running[key] = record
        elif key in self.outcomes:
            assert record.outcome == self.outcomes[key]
        else:
            assert record is self.running[key]

    @stateful.rule(key=_KEYS)
    def present_other_content(self, key: int) -> None:
        """Presents a used ticket with a different request."""
        if key not in self.running and key not in self.outcomes:
            return
        claim = self.records.begin(key, self.issued[key], b"other")
        assert isinstance(claim, core.Failure)

    @stateful.rule(key=_KEYS, size_bytes=strategies.integers(0, 12))
    def finish(self, key: int, size_bytes: int) -> None:
        """Finishes a running request with a response."""
        record = self.running.pop(key, None)
        if record is not None:
            self.outcomes[key] = _response(size_bytes)
            self.records.finish(record, self.outcomes[key])

    @stateful.invariant()
    def records_stay_within_bounds(self) -> None:
        """Checks the bounds on records and bytes."""
        assert len(self.records) <= _MAX_COUNT
        assert 0 <= self.records.kept_bytes <= _MAX_BYTES


def test_records_match_reference_model() -> None:
    """Guards against second runs, changed responses and unbounded memory."""
    stateful.run_state_machine_as_test(
        RecordsMachine,
        settings=hypothesis.settings(
            max_examples=150,
            stateful_step_count=40,
            deadline=None,
            derandomize=True,
            database=None,
        ),
    )
