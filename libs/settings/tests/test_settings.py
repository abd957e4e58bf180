"""Tests of loading and validation of settings files."""

import json
import pathlib

import pytest

from fireflyford import core
from fireflyford import settings

KEY = "0f" * 16


def common_values(directory: pathlib.Path) -> dict[str, object]:
    (directory / "file").write_text("")
    return {
        "instance_id": "one",
        "region": "north",
        "availability_zone": "quay",
        "link_address": "127.0.0.1:1001",
        "control_address": "127.0.0.1:1002",
        "bulk_address": "127.0.0.1:1003",
        "status_address": "127.0.0.1:1004",
        "routing_keys_hex": [KEY],
        "link_key_hex": KEY,
    }


def balancer_values(directory: pathlib.Path) -> dict[str, object]:
    return common_values(directory) | {"listeners": {"shop": "127.0.0.1:1005"}}


def agent_values(directory: pathlib.Path) -> dict[str, object]:
    return common_values(directory) | {
        "service": "shop",
        "backend_address": "127.0.0.1:1006",
        "certificate_path": str(directory / "file"),
        "private_key_path": str(directory / "file"),
        "config_path": str(directory / "file"),
    }


def load_values(
    directory: pathlib.Path, values: object, kind: type[object]
) -> core.Outcome[object]:
    path = directory / "settings.json"
    path.write_text("// A comment.\n" + json.dumps(values))
    return settings.load(str(path), kind)


def test_valid_settings_are_loaded(tmp_path: pathlib.Path) -> None:
    """Guards against validation that rejects valid settings."""
    for values, kind in (
        (balancer_values(tmp_path), settings.BalancerSettings),
        (agent_values(tmp_path), settings.AgentSettings),
    ):
        assert isinstance(load_values(tmp_path, values, kind), core.Ok)


@pytest.mark.parametrize(
    ("field", "value", "expected"),
    [
        ("instance_id", "", "`instance_id` is '', expected 1 to 63"),
        ("region", "a b", "`region` is 'a b', expected 1 to 63"),
        ("availability_zone", 3, "`availability_zone`: expected `str`, got"),
        ("link_address", "[::1]:1001", "`link_address` is '[::1]:1001', expe"),
        ("control_address", "localhost:1", "`control_address` is 'localhost"),
        ("bulk_address", "127.0.0.1", "`bulk_address` is '127.0.0.1', expect"),
        ("status_address", "127.0.0.1:0", "`status_address` is '127.0.0.1:0'"),
        (
            "status_address",
            "127.0.0.1:1003",
            "a different address than `bulk_address`",
        ),
        ("seeds", ["127.0.0.1:1", "x"], "`seeds[1]` is 'x', expected `ip:po"),
        ("seeds", "127.0.0.1:1", "`seeds`: expected `array`, got `str`"),
        ("store_addresses", ["127.0.0.1:70000"], "`store_addresses[0]` is"),
        ("routing_keys_hex", [], "`routing_keys_hex` is empty"),
        (
            "routing_keys_hex",
            [KEY, "zz"],
            "`routing_keys_hex[1]` is an invalid key",
        ),
        (
            "link_key_hex",
            "0f",
            "`link_key_hex` is an invalid key, expected hex",
        ),
        ("config_path", "/none", "`config_path` is '/none', expected the pa"),
        ("drain_limit_ms", -1, "`drain_limit_ms` is -1, expected a number"),
        ("drain_limit_ms", "9", "`drain_limit_ms`: expected `int`, got `str`"),
        ("listeners", {}, "`listeners` is empty"),
        ("listeners", {"shop": "x"}, "`listeners.shop` is 'x', expected `ip"),
        ("listeners", {"a b": "127.0.0.1:9"}, "`listeners.a b`: expected a"),
        (
            "listeners",
            {"a": "127.0.0.1:1001"},
            "a different address than `link_address`",
        ),
        ("capacity_weight", 0, "`capacity_weight` is 0.0, expected a number"),
        ("sedes", [], "unknown field `sedes`, expected `seeds`?"),
    ],
)
def test_invalid_balancer_field_is_reported(
    tmp_path: pathlib.Path, field: str, value: object, expected: str
) -> None:
    """Guards against an invalid field that is accepted or not reported."""
    values = balancer_values(tmp_path) | {field: value}
    outcome = load_values(tmp_path, values, settings.BalancerSettings)
    assert isinstance(outcome, core.Failure)
    assert outcome.kind is core.ErrorKind.BAD_SETTINGS
    assert outcome.message.startswith(str(tmp_path / "settings.json"))
    assert expected in outcome.message


@pytest.mark.parametrize(
    ("field", "value", "expected"),
    [
        ("service", "", "`service` is '', expected 1 to 63"),
        ("backend_address", "x:1", "`backend_address` is 'x:1', expected"),
        ("certificate_path", "/none", "`certificate_path` is '/none', exp"),
        ("private_key_path", "", "`private_key_path` is '', expected the"),
        ("caller_key_hex", "12", "`caller_key_hex` is"),
        ("config_path", "", "`config_path` is empty, expected the path of"),
        ("slot_count", 0, "`slot_count` is 0, expected a number from 1"),
        ("listeners", {}, "unknown field `listeners`"),
    ],
)
def test_invalid_agent_field_is_reported(
    tmp_path: pathlib.Path, field: str, value: object, expected: str
) -> None:
    """Guards against an invalid field that is accepted or not reported."""
    values = agent_values(tmp_path) | {field: value}
    outcome = load_values(tmp_path, values, settings.AgentSettings)
    assert isinstance(outcome, core.Failure)
    assert expected in outcome.message


def test_missing_field_is_reported(tmp_path: pathlib.Path) -> None:
    """Guards against a missing field that is detected only on use."""
    values = balancer_values(tmp_path)
    del values["region"]
    outcome = load_values(tmp_path, values, settings.BalancerSettings)
    assert isinstance(outcome, core.Failure)
    assert "`region`" in outcome.message


def test_duplicate_field_is_rejected(tmp_path: pathlib.Path) -> None:
    """Guards against duplicate fields of which one is silently ignored."""
    path = tmp_path / "settings.json"
    path.write_text('{"region": "a", "region": "b"}')
    outcome = settings.load(str(path), settings.BalancerSettings)
    assert isinstance(outcome, core.Failure)
    assert "region" in outcome.message
