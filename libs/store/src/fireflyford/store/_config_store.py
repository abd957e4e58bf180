"""Configuration storage: compare-and-swap pushes, history and audit trail.

Keys below `fireflyford/config/`:

- `state/head`: version and identity of the current record; each push replaces
  it by compare-and-swap.
- `state/floor`: written by readers only after a restore (see `Floor`).
- `version/<number>`: complete records, the last `HISTORY_COUNT`.
- `audit/<number>`: audit trail, the last `AUDIT_COUNT`.

A push writes head, record and audit entry in one transaction, so none of them
exists without the others.
"""

from collections.abc import AsyncIterator
import dataclasses
import hashlib
import time

from fireflyford import config
from fireflyford import core
from fireflyford.store import _record
from fireflyford.store import _store

# Size limit of one value in the store.
MAX_VALUE_BYTES = 1_000_000
HISTORY_COUNT = 50
# Covers 30 days at 380 changes a day.
AUDIT_COUNT = 12_000
# Time limit for resolving a push whose response was lost.
PUSH_TIMEOUT_MS = 8_000
_RETRY_INTERVAL_MS = 200
_MAX_AUDITED_CHANGES = 20
# A conflict message lists only the latest pushes; `config history` shows all.
_MAX_LISTED_PUSHES = 5
_STATE_PREFIX = "fireflyford/config/state/"
_HEAD_KEY = _STATE_PREFIX + "head"
_FLOOR_KEY = _STATE_PREFIX + "floor"
_VERSION_PREFIX = "fireflyford/config/version/"
_AUDIT_PREFIX = "fireflyford/config/audit/"


@dataclasses.dataclass(frozen=True)
class Push:
    """Request to replace the current configuration.

    Attributes:
        text: Rendered deployment.
        base_version: Version that the operator edited, 0 for none.
        author: Author of the push.
    """

    text: str
    base_version: int
    author: str

    @property
    def identity(self) -> str:
        """Idempotency key, equal for retries of the same push."""
        parts = f"{self.base_version}\n{self.author}\n{self.text}"
        return hashlib.blake2s(parts.encode(), digest_size=16).hexdigest()


@dataclasses.dataclass(frozen=True)
class AcceptedPush:
    """Result of a successful push.

    Attributes:
        record: The accepted record.
        replaced_version: Previous version in the store.
        already_applied: Whether an earlier attempt of the push was applied.
    """

    record: _record.ConfigRecord
    replaced_version: int
    already_applied: bool


@dataclasses.dataclass(frozen=True)
class ConfigState:
    """Head and floor in the store at one revision.

    Attributes:
        head: Reference to the latest record, version 0 if there is none.
        floor_version: Lowest base version that a push may have.
        head_value: Stored bytes of the head, None if the key is absent.
        floor_value: Stored bytes of the floor, None if the key is absent.
        revision: Store revision of the read.
    """

    head: _record.Head
    floor_version: int
    head_value: bytes | None
    floor_value: bytes | None
    revision: int


class ConfigStore:
    """Reads and writes configurations in a key-value store."""

    def __init__(self, store: _store.Store, clock: core.Clock) -> None:
        """Uses `clock` for timestamps and retries."""
        self._store = store
        self._clock = clock

    async def push(self, push: Push) -> core.Outcome[AcceptedPush]:
        """Replaces the current configuration if it is the push's base.

        Returns:
            The accepted record, or `BAD_CONFIG`, `CONFIG_TOO_LARGE`,
            `CONFIG_CONFLICT` (lists the conflicting changes), `CONFIG_STALE`
            (after a restore), `STORE_UNAVAILABLE` (nothing was written) or
            `STORE_OUTCOME_UNKNOWN` (a retry is safe, the push is idempotent).
        """
        record = self._make_record(push)
        if isinstance(record, core.Failure):
            return record
        deadline_ms = self._clock.now_ms() + PUSH_TIMEOUT_MS
        first_unknown: core.Failure | None = None
        while True:
            outcome = await self._try_push(record.value)
            if not _needs_retry(outcome, first_unknown is not None):
                return outcome
            if isinstance(outcome, core.Failure):
                first_unknown = first_unknown or outcome
            if self._clock.now_ms() >= deadline_ms:
                return _unknown_outcome(push, first_unknown)
            await self._clock.sleep(_RETRY_INTERVAL_MS)

    async def read_state(self) -> core.Outcome[ConfigState]:
        """Reads head and floor in one call."""
        outcome = await self._store.read(_STATE_PREFIX)
        if isinstance(outcome, core.Failure):
            return outcome
        result = outcome.value
        head_value, floor_value = result.get(_HEAD_KEY), result.get(_FLOOR_KEY)
        floor = _record.decode(floor_value, _record.Floor)
        return core.Ok(
            ConfigState(
                head=_record.decode(head_value, _record.Head)
                or _record.Head(0, ""),
                floor_version=0 if floor is None else floor.version,
                head_value=head_value,
                floor_value=floor_value,
                revision=result.revision,
            )
        )

    async def read(
        self, version: int | None = None
    ) -> core.Outcome[_record.ConfigRecord | None]:
        """Reads the record of a version, by default the current one."""
        if version is None:
            state = await self.read_state()
            if isinstance(state, core.Failure):
                return state
            version = state.value.head.version
        key = _version_key(version)
        outcome = await self._store.read(key)
        if isinstance(outcome, core.Failure):
            return outcome
        value = outcome.value.get(key)
        return core.Ok(_record.decode(value, _record.ConfigRecord))

    async def history(
        self, limit: int
    ) -> core.Outcome[tuple[_record.AuditEntry, ...]]:
        """Reads the audit trail, newest first."""
        outcome = await self._store.read(_AUDIT_PREFIX, limit, descending=True)
        if isinstance(outcome, core.Failure):
            return outcome
        entries = (
            _record.decode(entry.value, _record.AuditEntry)
            for entry in outcome.value.entries
        )
        return core.Ok(tuple(item for item in entries if item is not None))

    async def _read_audit_entry(
        self, version: int
    ) -> core.Outcome[_record.AuditEntry | None]:
        key = _audit_key(version)
        outcome = await self._store.read(key)
        if isinstance(outcome, core.Failure):
            return outcome
        value = outcome.value.get(key)
        return core.Ok(_record.decode(value, _record.AuditEntry))

    async def watch(
        self, start_revision: int, duration_ms: int
    ) -> AsyncIterator[core.Outcome[_record.ConfigRecord]]:
        """Yields newly accepted records; see `Store.watch`."""
        watch = self._store.watch(_VERSION_PREFIX, start_revision, duration_ms)
        async for outcome in watch:
            if isinstance(outcome, core.Failure):
                yield outcome
                return
            for entry in outcome.value.entries:
                record = _record.decode(entry.value, _record.ConfigRecord)
                if record is not None:
                    yield core.Ok(record)

    async def raise_floor(self, state: ConfigState, version: int) -> None:
        """Raises the lowest base version of future pushes to `version`."""
        if version <= state.floor_version:
            return
        await self._store.commit(
            [_store.Precondition(_FLOOR_KEY, state.floor_value)],
            [_store.Write(_FLOOR_KEY, _record.encode(_record.Floor(version)))],
        )

    def _make_record(self, push: Push) -> core.Outcome[_record.ConfigRecord]:
        record = _record.ConfigRecord(
            version=push.base_version + 1,
            identity=push.identity,
            author=push.author,
            wall_ms=self._clock.wall_ms(),
            base_version=push.base_version,
            text=push.text,
        )
        size_bytes = len(_record.encode(record))
        if size_bytes > MAX_VALUE_BYTES:
            return core.Failure(
                core.ErrorKind.CONFIG_TOO_LARGE,
                f"configuration too large: {size_bytes} bytes, limit "
                f"{MAX_VALUE_BYTES} bytes; nothing was written",
            )
        parsed = record.parse()
        if isinstance(parsed, core.Failure):
            return parsed
        errors = config.check(parsed.value)
        if errors:
            return core.Failure(core.ErrorKind.BAD_CONFIG, "; ".join(errors))
        return core.Ok(record)

    async def _try_push(
        self, record: _record.ConfigRecord
    ) -> core.Outcome[AcceptedPush]:
        outcome = await self.read_state()
        if isinstance(outcome, core.Failure):
            return outcome
        state = outcome.value
        if state.head.version >= record.version:
            return await self._resolve_conflict(state, record)
        if record.base_version < state.floor_version:
            return _stale_base(state)
        current = await self.read(state.head.version)
        if isinstance(current, core.Failure):
            return current
        diff = _check_change(current.value, record)
        if isinstance(diff, core.Failure):
            return diff
        return await self._commit_record(state, record, diff.value)

    async def _commit_record(
        self,
        state: ConfigState,
        record: _record.ConfigRecord,
        changes: tuple[str, ...],
    ) -> core.Outcome[AcceptedPush]:
        head = _record.Head(record.version, record.identity)
        entry = _record.AuditEntry(
            version=record.version,
            base_version=record.base_version,
            replaced_version=state.head.version,
            identity=record.identity,
            author=record.author,
            wall_ms=record.wall_ms,
            changes=changes[:_MAX_AUDITED_CHANGES],
            change_count=len(changes),
        )
        outcome = await self._store.commit(
            [
                _store.Precondition(_HEAD_KEY, state.head_value),
                _store.Precondition(_FLOOR_KEY, state.floor_value),
            ],
            [
                _store.Write(_HEAD_KEY, _record.encode(head)),
                _store.Write(
                    _version_key(record.version), _record.encode(record)
                ),
                _store.Write(_audit_key(record.version), _record.encode(entry)),
                *_expired_ranges(record.version),
            ],
        )
        if isinstance(outcome, core.Failure):
            return outcome
        if not outcome.value.applied:
            return await self._try_push(record)
        return core.Ok(
            AcceptedPush(record, state.head.version, already_applied=False)
        )

    async def _resolve_conflict(
        self, state: ConfigState, record: _record.ConfigRecord
    ) -> core.Outcome[AcceptedPush]:
        audited = await self._read_audit_entry(record.version)
        if isinstance(audited, core.Failure):
            return audited
        if (
            audited.value is not None
            and audited.value.identity == record.identity
        ):
            accepted = dataclasses.replace(
                record, wall_ms=audited.value.wall_ms
            )
            return core.Ok(
                AcceptedPush(
                    accepted,
                    audited.value.replaced_version,
                    already_applied=True,
                )
            )
        outcome = await self.history(_MAX_LISTED_PUSHES)
        if isinstance(outcome, core.Failure):
            return outcome
        conflicting = [
            entry
            for entry in outcome.value
            if entry.version > record.base_version
        ]
        return core.Failure(
            core.ErrorKind.CONFIG_CONFLICT,
            f"the current version is {state.head.version}, but the push is "
            f"based on version {record.base_version}; nothing was written. "
            + "; ".join(
                _format_audit_entry(entry) for entry in reversed(conflicting)
            )
            + ". Merge these changes and push with "
            f"--base {state.head.version}",
        )


def _needs_retry(
    outcome: core.Outcome[AcceptedPush], has_unknown_attempt: bool
) -> bool:
    if isinstance(outcome, core.Ok):
        return False
    if outcome.kind is core.ErrorKind.STORE_OUTCOME_UNKNOWN:
        return True
    # An earlier attempt may have been applied, so an unavailable store does not
    # prove that nothing was written.
    return (
        has_unknown_attempt and outcome.kind is core.ErrorKind.STORE_UNAVAILABLE
    )


def _unknown_outcome(push: Push, failure: core.Failure | None) -> core.Failure:
    reason = "" if failure is None else failure.message
    return core.Failure(
        core.ErrorKind.STORE_OUTCOME_UNKNOWN,
        f"outcome of push {push.identity} unknown ({reason}); repeat the same "
        "command, the push is applied at most once",
    )


def _check_change(
    current: _record.ConfigRecord | None, record: _record.ConfigRecord
) -> core.Outcome[tuple[str, ...]]:
    new = record.parse()
    if isinstance(new, core.Failure):
        return new
    if current is None:
        return core.Ok(config.compare(None, new.value))
    old = current.parse()
    if isinstance(old, core.Failure):
        return core.Failure(
            old.kind,
            f"cannot check the change, because version {current.version} in "
            f"the store cannot be parsed: {old.message}",
        )
    violations = config.find_breaking_changes(old.value, new.value)
    if violations:
        return core.Failure(core.ErrorKind.BAD_CONFIG, "; ".join(violations))
    return core.Ok(config.compare(old.value, new.value))


def _stale_base(state: ConfigState) -> core.Failure:
    return core.Failure(
        core.ErrorKind.CONFIG_STALE,
        f"the store was restored from an older snapshot: it has version "
        f"{state.head.version}, but instances run up to version "
        f"{state.floor_version}. Save the configuration in force with "
        "`config show --instance ADDRESS`, review it, and push it with "
        f"--base {state.floor_version}",
    )


def _format_audit_entry(entry: _record.AuditEntry) -> str:
    pushed_at = time.strftime(
        "%Y-%m-%d %H:%M:%S UTC", time.gmtime(entry.wall_ms / 1000)
    )
    changes = ", ".join(entry.changes) or "no difference"
    omitted_count = entry.change_count - len(entry.changes)
    suffix = f" and {omitted_count} more" if omitted_count > 0 else ""
    return (
        f"{entry.author} pushed version {entry.version} at {pushed_at}: "
        f"{changes}{suffix}"
    )


def _expired_ranges(version: int) -> tuple[_store.DeleteRange, ...]:
    return tuple(
        _store.DeleteRange(prefix, f"{prefix}{version - count + 1:012d}")
        for prefix, count in (
            (_VERSION_PREFIX, HISTORY_COUNT),
            (_AUDIT_PREFIX, AUDIT_COUNT),
        )
        if version > count
    )


def _version_key(version: int) -> str:
    return f"{_VERSION_PREFIX}{version:012d}"


def _audit_key(version: int) -> str:
    return f"{_AUDIT_PREFIX}{version:012d}"
