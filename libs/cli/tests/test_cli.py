"""Tests of the command line, alone and with real processes."""

import asyncio
import contextlib
import dataclasses
import io
import json
import pathlib
import random
import sys

import pytest

from fireflyford import agent
from fireflyford import caller
from fireflyford import cli
from fireflyford import config
from fireflyford import core
from fireflyford.lab import _deployments
from fireflyford.lab import _fleet

KEY = "00112233445566778899aabbccddeeff"
BASE = _deployments.BANTAY
Output = pytest.CaptureFixture[str]


def run_cli(
    monkeypatch: pytest.MonkeyPatch, capsys: Output, *arguments: str
) -> tuple[int, str, str]:
    monkeypatch.setattr(sys, "argv", ["fireflyford", *arguments])
    try:
        cli.main()
        code = 0
    except SystemExit as error:
        code = int(error.code or 0)
    captured = capsys.readouterr()
    return code, captured.out, captured.err


def test_token_command_prints_valid_token(
    monkeypatch: pytest.MonkeyPatch, capsys: Output
) -> None:
    """Guards against tokens that agents reject."""
    code, out, _ = run_cli(
        monkeypatch, capsys, "token", "ana", "--key-hex", KEY
    )
    token = agent.make_token(bytes.fromhex(KEY), "ana")
    assert (code, out) == (0, f"{token}\n")


def test_hexadecimal_key_is_not_parsed_as_number(
    monkeypatch: pytest.MonkeyPatch, capsys: Output
) -> None:
    """Guards against a key such as 00e1 being parsed as a number."""
    key = "00e1" + "0" * 28
    _, out, _ = run_cli(monkeypatch, capsys, "token", "ana", f"--key-hex={key}")
    assert out == agent.make_token(bytes.fromhex(key), "ana") + "\n"


@pytest.mark.parametrize(
    ("arguments", "code", "message"),
    [
        (("token", "ana"), 2, "no usable key; give --settings-path"),
        (("token", "a.b", "--key-hex", KEY), 2, "'a.b' is not a valid name"),
        (("status",), 2, "give --instance ip:port or set"),
        (("status", "--instance", "x"), 2, "correct --instance"),
        (("status", "--instance", "127.0.0.1:9"), 8, "check the address"),
        (("config", "check", "/none"), 2, "/none: No such file"),
        (("config", "show", "--store", "127.0.0.1:9"), 8, "does not answer"),
        (("balancer", "/none"), 2, "/none"),
    ],
)
def test_error_is_printed_on_one_line_with_exit_code(
    monkeypatch: pytest.MonkeyPatch,
    capsys: Output,
    arguments: tuple[str, ...],
    code: int,
    message: str,
) -> None:
    """Guards against tracebacks, and exit codes that are not documented."""
    actual_code, out, err = run_cli(monkeypatch, capsys, *arguments)
    assert (actual_code, out) == (code, "")
    assert message in err
    assert err.startswith("fireflyford: ")
    assert err.count("\n") == 1


def test_config_check_prints_all_errors(
    monkeypatch: pytest.MonkeyPatch, capsys: Output, tmp_path: pathlib.Path
) -> None:
    """Guards against validation that stops at the first error."""
    invalid = dataclasses.replace(BASE, regions=(), name="")
    path = tmp_path / "wrong.json"
    path.write_text(config.render(invalid))
    code, _, err = run_cli(monkeypatch, capsys, "config", "check", str(path))
    assert code == 2
    assert len(err.splitlines()) == 3


def test_config_check_compares_and_prints_json(
    monkeypatch: pytest.MonkeyPatch, capsys: Output, tmp_path: pathlib.Path
) -> None:
    """Guards against an exit status or a document that programs misread."""
    in_force, changed = tmp_path / "in-force.json", tmp_path / "changed.json"
    in_force.write_text(config.render(BASE))
    first, *others = BASE.services
    larger = dataclasses.replace(first, target_count=first.target_count + 1)
    services = (larger, *others)
    changed.write_text(
        config.render(dataclasses.replace(BASE, services=services))
    )
    check = ("config", "check", str(changed), "--against", str(in_force))
    code, out, err = run_cli(monkeypatch, capsys, *check)
    assert (code, err) == (0, "")
    assert out.startswith("~ services.tahian.target_count")
    code, out, _ = run_cli(monkeypatch, capsys, *check, "--format", "json")
    document = json.loads(out)
    assert (code, document["findings"]) == (0, [])
    assert len(document["differences"]) == 1

    services = (dataclasses.replace(first, address="127.0.0.1:9"), *others)
    changed.write_text(
        config.render(dataclasses.replace(BASE, services=services))
    )
    code, out, _ = run_cli(monkeypatch, capsys, *check, "--format", "json")
    (finding,) = json.loads(out)["findings"]
    assert (code, finding["severity"]) == (2, "error")
    assert finding["line"] > 1
    code, _, err = run_cli(monkeypatch, capsys, *check)
    assert code == 2
    assert f"{changed}:{finding['line']}: service tahian would move" in err
    code, _, err = run_cli(monkeypatch, capsys, *check[:3], "--format", "yaml")
    assert (code, "expected text or json" in err) == (2, True)


def test_command_with_unknown_flag_does_not_run(
    monkeypatch: pytest.MonkeyPatch, capsys: Output
) -> None:
    """Guards against a push that runs before all its flags are parsed."""
    code, _, err = run_cli(
        monkeypatch,
        capsys,
        *("config", "push", "x.json", "--base", "0", "--dry-run"),
    )
    assert code == 2
    assert "x.json: " not in err


class _CommandRunner:
    """Runs commands against one fleet, in a thread of this process."""

    def __init__(
        self, fleet: _fleet.Fleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Initializes the environment with the addresses of a fleet."""
        self._monkeypatch = monkeypatch
        balancers = fleet.balancers.values()
        addresses = ",".join(str(item.status_address) for item in balancers)
        monkeypatch.setenv("FIREFLYFORD_STORE", str(fleet.store_address))
        monkeypatch.setenv("FIREFLYFORD_INSTANCE", addresses)

    async def run(self, *arguments: str) -> tuple[int, str]:
        """Returns the exit code, and the output on stdout and stderr."""
        return await asyncio.to_thread(self._run_in_thread, *arguments)

    async def wait_for(self, text: str, *arguments: str) -> str:
        """Repeats a command until its output contains a text, up to 5 s."""
        async with asyncio.timeout(5):
            while text not in (output := (await self.run(*arguments))[1]):
                await asyncio.sleep(0.05)
        return output

    def _run_in_thread(self, *arguments: str) -> tuple[int, str]:
        self._monkeypatch.setattr(sys, "argv", ["fireflyford", *arguments])
        output = io.StringIO()
        code = 0
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(output),
        ):
            try:
                cli.main()
            except SystemExit as error:
                code = int(error.code or 0)
        return code, output.getvalue()


def test_commands_work_with_running_instances(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against commands that do not match the running processes."""
    services = tuple(
        dataclasses.replace(service, target_count=1)
        for service in BASE.services
    )
    fleet = _fleet.Fleet(
        dataclasses.replace(BASE, services=services), random.Random(1), 1
    )
    first, second = fleet.deployment.services
    draining = dataclasses.replace(second, draining=True)
    for name, kept_services in (
        ("new", (first, second)),
        ("draining", (first, draining)),
        ("removed", (first,)),
    ):
        deployment = dataclasses.replace(
            fleet.deployment, services=kept_services
        )
        path = tmp_path / f"{name}.json"
        path.write_text(config.render(deployment))
    try:
        asyncio.run(_run_commands(fleet, tmp_path, monkeypatch))
    finally:
        fleet.stop()


async def _run_commands(
    fleet: _fleet.Fleet,
    directory: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    await fleet.start()
    runner = _CommandRunner(fleet, monkeypatch)
    new = str(directory / "new.json")
    removed = str(directory / "removed.json")
    push = ("config", "push", new, "--author", "ana", "--base")
    assert (await runner.run(*push, "0"))[0] == 0
    assert "already applied" in (await runner.run(*push, "0"))[1]
    code, text = await runner.run("config", "push", removed, "--base", "0")
    assert code == 7
    assert "ana pushed version 1 at" in text
    code, text = await runner.run("config", "push", removed, "--base", "1")
    assert code == 2
    assert "padron would be removed" in text
    assert "no difference" in (await runner.run("config", "diff", new))[1]
    assert "version 1 from 0" in (await runner.run("config", "history"))[1]
    assert "+ deployment bantay" in (await runner.run("audit"))[1]
    assert "\n{" in (await runner.run("config", "show"))[1]
    await _check_instance_commands(fleet, runner)
    rejection = await _push_while_connected(fleet, runner, directory)
    assert "padron would be removed, but holds 1 connections" in rejection


async def _check_instance_commands(
    fleet: _fleet.Fleet, runner: _CommandRunner
) -> None:
    target = next(
        name for name, item in fleet.targets.items() if item.service == "padron"
    )
    running = "configuration version 1 by ana"
    status = await runner.wait_for(running, "status")
    assert target in status
    assert "alive" in (await runner.run("targets", "padron"))[1]
    code, text = await runner.run(
        *("explain", "padron", "--method=POST", "--path=/orders"),
        "--connection-id=00e1",
    )
    assert code == 0
    assert f"flow: to {target} at " in text
    assert "treatment sheet-order" in text
    assert (await runner.run("explain", "none"))[0] == 2
    other = next(name for name in fleet.targets if name != target)
    assert await runner.run("drain", other) == (
        0,
        f"{other} is draining; see `fireflyford targets`\n",
    )
    await runner.wait_for(f"not {other}: draining", "explain", "tahian")


async def _push_while_connected(
    fleet: _fleet.Fleet, runner: _CommandRunner, directory: pathlib.Path
) -> str:
    service = fleet.deployment.services[1]
    client = caller.Client(
        core.Address.parse(service.address),
        service.name,
        fleet.authorities_path(service.name),
    )
    async with client.connect() as connection:
        await client.request(connection, "GET", "/sheets", b"")
        push = ("config", "push", str(directory / "draining.json"))
        assert (await runner.run(*push, "--base", "1"))[0] == 0
        await runner.wait_for("configuration version 2", "status")
        push = ("config", "push", str(directory / "removed.json"))
        return (await runner.run(*push, "--base", "2"))[1]
