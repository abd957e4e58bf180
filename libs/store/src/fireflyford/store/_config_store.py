"""Configurations in the store: pushes by compare-and-swap, and history.

Keys below `fireflyford/config/`:

- `state/head`: version and identity in force; a push swaps it.
- `state/floor`: written by readers only after a restore (see `Floor`).
- `version/<number>`: full records, the last `HISTORY_COUNT`.
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

# The store's limit for one value.
MAX_VALUE_BYTES = 1_000_000
HISTORY_COUNT = 50
# 30 days at 380 changes a day.
AUDIT_COUNT = 12_000
# A push gives up asking for a lost answer after this time.
PUSH_LIMIT_MS = 8_000
_RETRY_MS = 200
_AUDITED_CHANGE_COUNT = 20
# A conflict names the latest pushes; `config history` shows all.
_EXPLAINED_COUNT = 5
_STATE = "fireflyford/config/state/"
_HEAD = _STATE + "head"
_FLOOR = _STATE + "floor"
_VERSION = "fireflyford/config/version/"
_AUDIT = "fireflyford/config/audit/"


@dataclasses.dataclass(frozen=True)
class Push:
    """What an operator wants to put in force.

    Attributes:
        text: Printed deployment.
        base_version: Version that the operator started from, 0 for none.
        author: Who pushes.
    """

    text: str
    base_version: int
    author: str

    @property
    def identity(self) -> str:
        """Identity that a retry of the same push shares."""
        parts = f"{self.base_version}\n{self.author}\n{self.text}"
        return hashlib.blake2s(parts.encode(), digest_size=16).hexdigest()


@dataclasses.dataclass(frozen=True)
class AcceptedPush:
    """A push that is in the store.

    Attributes:
        record: The accepted record.
        replaced_version: Version that the store held before.
        already_applied: Whether an earlier attempt of this push wrote it.
    """

    record: _record.ConfigRecord
    replaced_version: int
    already_applied: bool


@dataclasses.dataclass(frozen=True)
class ConfigState:
    """What the store says is in force, as of one revision."""

    head: _record.Head
    floor_version: int
    head_value: bytes | None
    floor_value: bytes | None
    revision: int


class ConfigStore:
    """Configurations in a store."""

    def __init__(self, store: _store.Store, clock: core.Clock) -> None:
        """Takes the store and the source of time."""
        self._store = store
        self._clock = clock

    async def push(self, push: Push) -> core.Outcome[AcceptedPush]:
        """Puts a configuration in force.

        Returns:
            The accepted record, or `BAD_CONFIG`, `CONFIG_TOO_LARGE`,
            `CONFIG_CONFLICT` (names who changed what), `CONFIG_STALE` (after
            a restore), `STORE_UNAVAILABLE` (nothing was written) or
            `STORE_OUTCOME_UNKNOWN` (the same push may be repeated, it
            applies once).
        """
        record = self._make_record(push)
        if isinstance(record, core.Failure):
            return record
        limit_ms = self._clock.now_ms() + PUSH_LIMIT_MS
        unknown: core.Failure | None = None
        while True:
            outcome = await self._attempt(record.value)
            if not _needs_retry(outcome, unknown is not None):
                return outcome
            if isinstance(outcome, core.Failure):
                unknown = unknown or outcome
            if self._clock.now_ms() >= limit_ms:
                return _still_unknown(push, unknown)
            await self._clock.sleep(_RETRY_MS)

    async def read_state(self) -> core.Outcome[ConfigState]:
        """Reads which version is in force, in one call."""
        outcome = await self._store.read(_STATE)
        if isinstance(outcome, core.Failure):
            return outcome
        reading = outcome.value
        head_value, floor_value = reading.get(_HEAD), reading.get(_FLOOR)
        floor = _record.decode(floor_value, _record.Floor)
        return core.Ok(
            ConfigState(
                head=_record.decode(head_value, _record.Head)
                or _record.Head(0, ""),
                floor_version=0 if floor is None else floor.version,
                head_value=head_value,
                floor_value=floor_value,
                revision=reading.revision,
            )
        )

    async def read(
        self, version: int | None = None
    ) -> core.Outcome[_record.ConfigRecord | None]:
        """Reads the record of a version, or of the one in force."""
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
        outcome = await self._store.read(_AUDIT, limit, descending=True)
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
        """Yields records as they are accepted; see `Store.watch`."""
        watch = self._store.watch(_VERSION, start_revision, duration_ms)
        async for outcome in watch:
            if isinstance(outcome, core.Failure):
                yield outcome
                return
            for entry in outcome.value.entries:
                record = _record.decode(entry.value, _record.ConfigRecord)
                if record is not None:
                    yield core.Ok(record)

    async def raise_floor(self, state: ConfigState, version: int) -> None:
        """Refuses pushes that start below `version` from now on."""
        if version <= state.floor_version:
            return
        await self._store.commit(
            [_store.Precondition(_FLOOR, state.floor_value)],
            [_store.Write(_FLOOR, _record.encode(_record.Floor(version)))],
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
                f"the configuration takes {size_bytes} bytes, the store holds "
                f"{MAX_VALUE_BYTES}; make it smaller, nothing was pushed",
            )
        readable = record.read()
        if isinstance(readable, core.Failure):
            return readable
        faults = config.check(readable.value)
        if faults:
            return core.Failure(core.ErrorKind.BAD_CONFIG, "; ".join(faults))
        return core.Ok(record)

    async def _attempt(
        self, record: _record.ConfigRecord
    ) -> core.Outcome[AcceptedPush]:
        outcome = await self.read_state()
        if isinstance(outcome, core.Failure):
            return outcome
        state = outcome.value
        if state.head.version >= record.version:
            return await self._explain_conflict(state, record)
        if record.base_version < state.floor_version:
            return _stale(state)
        current = await self.read(state.head.version)
        if isinstance(current, core.Failure):
            return current
        checked = _check_change(current.value, record)
        if isinstance(checked, core.Failure):
            return checked
        return await self._swap(state, record, checked.value)

    async def _swap(
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
            changes=changes[:_AUDITED_CHANGE_COUNT],
            change_count=len(changes),
        )
        outcome = await self._store.commit(
            [
                _store.Precondition(_HEAD, state.head_value),
                _store.Precondition(_FLOOR, state.floor_value),
            ],
            [
                _store.Write(_HEAD, _record.encode(head)),
                _store.Write(
                    _version_key(record.version), _record.encode(record)
                ),
                _store.Write(_audit_key(record.version), _record.encode(entry)),
                *_trims(record.version),
            ],
        )
        if isinstance(outcome, core.Failure):
            return outcome
        if not outcome.value.applied:
            return await self._attempt(record)
        return core.Ok(
            AcceptedPush(record, state.head.version, already_applied=False)
        )

    async def _explain_conflict(
        self, state: ConfigState, record: _record.ConfigRecord
    ) -> core.Outcome[AcceptedPush]:
        own = await self._read_audit_entry(record.version)
        if isinstance(own, core.Failure):
            return own
        if own.value is not None and own.value.identity == record.identity:
            accepted = dataclasses.replace(record, wall_ms=own.value.wall_ms)
            return core.Ok(
                AcceptedPush(
                    accepted, own.value.replaced_version, already_applied=True
                )
            )
        outcome = await self.history(_EXPLAINED_COUNT)
        if isinstance(outcome, core.Failure):
            return outcome
        since = [
            entry
            for entry in outcome.value
            if entry.version > record.base_version
        ]
        return core.Failure(
            core.ErrorKind.CONFIG_CONFLICT,
            f"version {state.head.version} is in force, but the push starts "
            f"from {record.base_version}; nothing was pushed. "
            + "; ".join(_describe(entry) for entry in reversed(since))
            + ". Take these changes over and push with "
            f"--base {state.head.version}",
        )


def _needs_retry(outcome: core.Outcome[AcceptedPush], unknown: bool) -> bool:
    if isinstance(outcome, core.Ok):
        return False
    if outcome.kind is core.ErrorKind.STORE_OUTCOME_UNKNOWN:
        return True
    return unknown and outcome.kind is core.ErrorKind.STORE_UNAVAILABLE


def _still_unknown(push: Push, failure: core.Failure | None) -> core.Failure:
    reason = "" if failure is None else failure.message
    return core.Failure(
        core.ErrorKind.STORE_OUTCOME_UNKNOWN,
        f"push {push.identity} may or may not be accepted ({reason}); repeat "
        "the same command, it applies once",
    )


def _check_change(
    current: _record.ConfigRecord | None, record: _record.ConfigRecord
) -> core.Outcome[tuple[str, ...]]:
    new = record.read()
    if isinstance(new, core.Failure):
        return new
    if current is None:
        return core.Ok(config.compare(None, new.value))
    old = current.read()
    if isinstance(old, core.Failure):
        return core.Failure(
            old.kind,
            f"version {current.version} in the store is unreadable here, so "
            f"the change cannot be checked: {old.message}",
        )
    stranded = config.find_stranded(old.value, new.value)
    if stranded:
        return core.Failure(core.ErrorKind.BAD_CONFIG, "; ".join(stranded))
    return core.Ok(config.compare(old.value, new.value))


def _stale(state: ConfigState) -> core.Failure:
    return core.Failure(
        core.ErrorKind.CONFIG_STALE,
        f"the store holds version {state.head.version}, but instances run "
        f"{state.floor_version} or below: it was restored from an older "
        "snapshot. Save what runs with `config show --instance ADDRESS`, "
        f"review it, and push it with --base {state.floor_version}",
    )


def _describe(entry: _record.AuditEntry) -> str:
    when = time.strftime(
        "%Y-%m-%d %H:%M:%S UTC", time.gmtime(entry.wall_ms / 1000)
    )
    changes = ", ".join(entry.changes) or "no difference"
    more = entry.change_count - len(entry.changes)
    tail = f" and {more} more" if more > 0 else ""
    return (
        f"{entry.author} pushed version {entry.version} at {when}: "
        f"{changes}{tail}"
    )


def _trims(version: int) -> tuple[_store.DeleteRange, ...]:
    return tuple(
        _store.DeleteRange(prefix, f"{prefix}{version - count + 1:012d}")
        for prefix, count in ((_VERSION, HISTORY_COUNT), (_AUDIT, AUDIT_COUNT))
        if version > count
    )


def _version_key(version: int) -> str:
    return f"{_VERSION}{version:012d}"


def _audit_key(version: int) -> str:
    return f"{_AUDIT}{version:012d}"
