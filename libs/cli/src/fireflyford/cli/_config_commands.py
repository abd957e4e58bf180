"""Commands of the group `config`, and the audit trail."""

import getpass
import json
import os
import pathlib
import runpy
import sys
import time

from fireflyford import config
from fireflyford import core
from fireflyford import store
from fireflyford.cli import _instances
from fireflyford.cli import _job
from fireflyford.cli import _targets

_PROGRAM_SUFFIX = ".py"
_PROGRAM_VARIABLE = "DEPLOYMENT"
_FORMATS = ("text", "json")


class ConfigCommands:
    """Reviews, pushes and shows configurations.

    A file is either a printed configuration (JSON) or an operator's program
    (.py) that defines DEPLOYMENT.
    """

    def check(
        self, file: str, against: str = "", format: str = "text"
    ) -> _job.Job:
        """Validates a configuration and prints each fault on a line.

        Errors prevent a push; the exit status is 2 if there are any. Warnings
        name entries that never match and limits that cannot hold; the exit
        status is 0 if there are only warnings or differences.

        Args:
            file: Configuration or program.
            against: Configuration in force, as `config show` prints it, or a
                program: differences are printed, and changes that would break
                flows are errors.
            format: `text`, or `json` for one document on standard output.
        """
        return _job.Job(lambda: _check(file, against, format))

    def print(self, file: str) -> _job.Job:
        """Prints a configuration in its canonical form, for review.

        Args:
            file: Configuration or program.
        """
        return _job.Job(lambda: _print(file))

    def diff(self, file: str, version: int = 0, store: str = "") -> _job.Job:
        """Compares the configuration in force with a file, line by line.

        Args:
            file: Configuration or program.
            version: Compare with this version instead of the one in force.
            store: Gateways of the store, ip:port,...; or FIREFLYFORD_STORE.
        """
        return _job.make_async_job(lambda: _diff(file, version, store))

    def push(
        self,
        file: str,
        base: int,
        author: str = "",
        instance: str = "",
        store: str = "",
    ) -> _job.Job:
        """Puts a configuration in force.

        The push is accepted only if the version in force is still `base`. A
        push can be repeated safely, since it is applied only once.

        Args:
            file: Configuration or program.
            base: Version that you started from, as `config show` printed it;
                0 for the first push.
            author: Name in the audit trail; the login name if not given.
            instance: Status port of a balancer, ip:port, or
                FIREFLYFORD_INSTANCE; with it, removing a service that still
                has connections is refused.
            store: Gateways of the store, ip:port,...; or FIREFLYFORD_STORE.
        """
        return _job.make_async_job(
            lambda: _push(file, base, author, instance, store)
        )

    def show(
        self, version: int = 0, instance: str = "", store: str = ""
    ) -> _job.Job:
        """Prints the configuration in force; its version goes to stderr.

        Args:
            version: Print this version from the history instead.
            instance: Print what this instance runs, by its status port.
            store: Gateways of the store, ip:port,...; or FIREFLYFORD_STORE.
        """
        return _job.make_async_job(lambda: _show(version, instance, store))

    def history(self, limit: int = 20, store: str = "") -> _job.Job:
        """Lists the latest versions with author and time, newest first.

        Args:
            limit: Maximum number of versions.
            store: Gateways of the store, ip:port,...; or FIREFLYFORD_STORE.
        """
        return _job.make_async_job(
            lambda: read_audit(limit, store, details=False)
        )


def _open_store(text: str) -> core.Outcome[store.ConfigStore]:
    """Returns a client of the configuration store at the given gateways."""
    gateways = _job.parse_addresses(text, _job.STORE_VARIABLE, "--store")
    if isinstance(gateways, core.Failure):
        return gateways
    client = store.EtcdStore(gateways.value)
    return core.Ok(store.ConfigStore(client, core.SystemClock()))


async def read_audit(
    limit: int, gateways: str, details: bool
) -> core.Outcome[str]:
    """Reads and formats the audit trail, newest first."""
    opened = _open_store(gateways)
    if isinstance(opened, core.Failure):
        return opened
    history = await opened.value.history(limit)
    if isinstance(history, core.Failure):
        return history
    lines = []
    for entry in history.value:
        lines.append(_format_entry(entry))
        if details:
            lines += [f"    {change}" for change in entry.changes]
            omitted_count = entry.change_count - len(entry.changes)
            if omitted_count:
                lines.append(f"    and {omitted_count} more")
    return core.Ok("\n".join(lines) or "no configuration was pushed yet")


def _format_entry(entry: store.AuditEntry) -> str:
    line = (
        f"version {entry.version} from {entry.base_version} "
        f"{_format_time(entry.wall_ms)} {entry.author} "
        f"{entry.change_count} changes, push {entry.identity}"
    )
    if entry.replaced_version != entry.base_version:
        line += f", replaced {entry.replaced_version} after a restore"
    return line


def _format_time(wall_ms: int) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(wall_ms / 1000))


def _load(file: str) -> core.Outcome[config.Deployment]:
    file = str(file)  # `fire` converts an argument such as `1` to a number.
    try:
        if file.endswith(_PROGRAM_SUFFIX):
            return _load_program(file)
        parsed = config.parse(pathlib.Path(file).read_bytes())
    except OSError as error:
        return _config_error(file, error.strerror or str(error))
    if isinstance(parsed, core.Failure):
        return _config_error(file, parsed.message)
    return parsed


def _load_program(file: str) -> core.Outcome[config.Deployment]:
    try:
        value = runpy.run_path(file).get(_PROGRAM_VARIABLE)
    except OSError:
        raise
    except Exception as error:  # The operator's program may raise anything.
        return _config_error(file, f"the program failed: {error!r}")
    if not isinstance(value, config.Deployment):
        return _config_error(
            file, f"the program has no {_PROGRAM_VARIABLE}; add one"
        )
    return core.Ok(value)


def _check(file: str, against: str, output_format: str) -> core.Outcome[str]:
    if output_format not in _FORMATS:
        return core.Failure(
            core.ErrorKind.BAD_REQUEST,
            f"--format is {output_format!r}, expected {' or '.join(_FORMATS)}",
        )
    in_force = _load(against) if against else core.Ok(None)
    if isinstance(in_force, core.Failure):
        return in_force
    review = _review(str(file), in_force.value)
    if isinstance(review, core.Failure):
        return review
    found = review.value
    if output_format == "json":
        text = json.dumps({"file": str(file)} | found.document(), indent=2)
    else:
        _print_findings(str(file), found)
        text = "\n".join(found.differences)
    if found.error_count:
        if text:
            print(text)
        return _config_error(
            file, f"{found.error_count} faults; correct the lines above"
        )
    if output_format == "json" or found.differences:
        return core.Ok(text)
    if against:
        return core.Ok(f"{file}: no faults, no difference from {against}")
    return core.Ok(f"{file}: no faults")


def _review(
    file: str, in_force: config.Deployment | None
) -> core.Outcome[config.Review]:
    if file.endswith(_PROGRAM_SUFFIX):
        loaded = _load(file)
        if isinstance(loaded, core.Failure):
            return loaded
        return core.Ok(config.review_deployment(loaded.value, in_force))
    try:
        text = pathlib.Path(file).read_bytes()
    except OSError as error:
        return _config_error(file, error.strerror or str(error))
    return core.Ok(config.review_text(text, in_force))


def _print_findings(file: str, review: config.Review) -> None:
    for item in review.findings:
        position = file if item.line is None else f"{file}:{item.line}"
        label = ""
        if item.severity is config.Severity.WARNING:
            label = "warning: "
        print(f"{position}: {label}{item.message}", file=sys.stderr)


def _print(file: str) -> core.Outcome[str]:
    loaded = _load(file)
    if isinstance(loaded, core.Failure):
        return loaded
    return core.Ok(config.render(loaded.value))


async def _diff(file: str, version: int, gateways: str) -> core.Outcome[str]:
    loaded, opened = _load(file), _open_store(gateways)
    if isinstance(loaded, core.Failure):
        return loaded
    if isinstance(opened, core.Failure):
        return opened
    record = await opened.value.read(version or None)
    if isinstance(record, core.Failure):
        return record
    if record.value is None:
        return core.Ok("\n".join(config.compare(None, loaded.value)))
    stored = record.value.parse()
    if isinstance(stored, core.Failure):
        return stored
    print(f"against version {record.value.version}", file=sys.stderr)
    lines = config.compare(stored.value, loaded.value)
    return core.Ok("\n".join(lines) or "no difference")


async def _push(
    file: str, base: int, author: str, instance: str, gateways: str
) -> core.Outcome[str]:
    loaded, opened = _load(file), _open_store(gateways)
    if isinstance(loaded, core.Failure):
        return loaded
    if isinstance(opened, core.Failure):
        return opened
    if not isinstance(base, int) or base < 0:
        return core.Failure(
            core.ErrorKind.BAD_REQUEST,
            f"--base is {base!r}, expected the version that `config show` "
            "printed",
        )
    checked = await _check_running_instances(
        opened.value, loaded.value, base, instance
    )
    if isinstance(checked, core.Failure):
        return checked
    push = store.Push(
        text=config.render(loaded.value),
        base_version=base,
        author=author or getpass.getuser(),
    )
    outcome = await opened.value.push(push)
    if isinstance(outcome, core.Failure):
        return outcome
    return core.Ok(_format_accepted(outcome.value))


async def _check_running_instances(
    config_store: store.ConfigStore,
    deployment: config.Deployment,
    base: int,
    instance: str,
) -> core.Outcome[None]:
    """Checks the change against running instances.

    Skipped without an instance to ask, and for a push that conflicts or is a
    retry.
    """
    if not (instance or os.environ.get(_job.INSTANCE_VARIABLE)):
        return core.Ok(None)
    state = await config_store.read_state()
    if isinstance(state, core.Failure):
        return state
    if state.value.head.version > base:
        return core.Ok(None)
    return await _targets.check_removed_services(deployment, instance)


def _format_accepted(accepted: store.AcceptedPush) -> str:
    record = accepted.record
    line = f"accepted as version {record.version}, push {record.identity}"
    if accepted.already_applied:
        line += "; an earlier attempt had already applied it"
    if accepted.replaced_version != record.base_version:
        line += (
            f"; it replaces version {accepted.replaced_version} in the store"
        )
    return line


async def _show(
    version: int, instance: str, gateways: str
) -> core.Outcome[str]:
    if instance:
        return await _show_instance(instance)
    opened = _open_store(gateways)
    if isinstance(opened, core.Failure):
        return opened
    state = await opened.value.read_state()
    if isinstance(state, core.Failure):
        return state
    head_version = state.value.head.version
    if head_version < state.value.floor_version:
        print(
            "alarm: the store was restored from an older snapshot and has "
            f"version {head_version}, but instances run another one; see "
            "`config show --instance ADDRESS` and push with "
            f"--base {state.value.floor_version}",
            file=sys.stderr,
        )
    outcome = await opened.value.read(version or head_version)
    if isinstance(outcome, core.Failure):
        return outcome
    record = outcome.value
    if record is None:
        return core.Failure(
            core.ErrorKind.BAD_REQUEST,
            f"version {version} is not in the store; see `config history`"
            if version
            else "no configuration was pushed yet; push one with --base 0",
        )
    print(
        f"version {record.version} pushed by {record.author} at "
        f"{_format_time(record.wall_ms)}",
        file=sys.stderr,
    )
    return core.Ok(record.text)


async def _show_instance(instance: str) -> core.Outcome[str]:
    fetched = await _instances.fetch_balancer(instance)
    if isinstance(fetched, core.Failure):
        return fetched
    address, status = fetched.value
    body = await _instances.call(address, "/config")
    if isinstance(body, core.Failure):
        return body
    print(f"version {status.config.version} runs there", file=sys.stderr)
    if status.config.alarm:
        print(f"alarm: {status.config.alarm}", file=sys.stderr)
    return core.Ok(body.value.decode())


def _config_error(file: str, message: str) -> core.Failure:
    return core.Failure(core.ErrorKind.BAD_CONFIG, f"{file}: {message}")
