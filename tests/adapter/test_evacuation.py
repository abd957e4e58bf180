"""Evacuated zones from the store and from peers, in a balancer process."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import random
import socket

import pytest

from fireflyford import core
from fireflyford import flows
from fireflyford import runtime
from fireflyford import store
from fireflyford import telemetry
from fireflyford.lab import _platform_settings
from fireflyford.lab import _platform_store
from fireflyford.platform import _front_end
from fireflyford.platform import _store
from fireflyford.runtime import _balancer
from fireflyford.runtime import _config_source
from fireflyford.runtime import _evacuation_source

STORE = core.Address("127.1.0.98", 18_500)
OWN = core.Address("10.0.0.1", 7_000)
PEER = core.Address("10.0.0.2", 7_000)
CONFIG = {"version": 3, "routes": []}
OPTIONS = _platform_settings.make_balancer_settings(
    OWN, STORE, evacuation_prefix="op/evacuate/"
)


def result(
    revision: int, keys: dict[str, bytes], deleted: tuple[str, ...] = ()
) -> store.ReadResult:
    entries = (store.Entry(key, keys[key], 1) for key in keys)
    return store.ReadResult(tuple(entries), revision, deleted)


class Peers(_config_source.PeerClient):
    """Peers with the documents of a test."""

    def __init__(self) -> None:
        """Starts with peers that do not answer."""
        self.documents: dict[str, bytes] = {}
        self.reads: list[str] = []

    async def read(
        self, address: core.Address, path: str
    ) -> core.Outcome[bytes]:
        """Returns a document, the same at each address."""
        self.reads.append(path)
        if path not in self.documents:
            return core.Failure(core.ErrorKind.INSTANCE_UNREACHABLE, path)
        return core.Ok(self.documents[path])


def make_balancer(
    clock: core.Clock, options: runtime.FlowSettings = OPTIONS
) -> tuple[_balancer.Balancer, Peers]:
    process = _balancer.Balancer(
        options, _front_end.PlatformFrontEnd(STORE), clock
    )
    peers = Peers()
    process.peer_client = peers  # type: ignore[assignment]
    return process, peers


def run(
    body: Callable[[_balancer.Balancer, Peers], Awaitable[None]],
    options: runtime.FlowSettings = OPTIONS,
) -> None:
    async def main() -> None:
        await body(*make_balancer(core.ManualClock(1_000_000), options))

    asyncio.run(main())


def make_keys() -> tuple[_evacuation_source.EvacuationKeys, flows.Evacuations]:
    evacuations = flows.Evacuations(core.ManualClock(1_000_000))
    keys = _evacuation_source.EvacuationKeys("op/evacuate/", evacuations)
    return keys, evacuations


def test_keys_are_added_and_removed_one_by_one() -> None:
    """Guards against a change of one zone that moves others."""
    keys, evacuations = make_keys()
    keys.replace(result(10, {"op/config": b"{}"}))
    assert evacuations.view == flows.EvacuationView(0, 10)
    keys.change(result(12, {"op/evacuate/b": b"{}"}))
    keys.change(result(13, {"op/evacuate/a": b"{}"}))
    assert evacuations.view == flows.EvacuationView(0, 13, ("a", "b"))
    keys.change(result(14, {"op/config": b"{}"}))
    assert evacuations.view == flows.EvacuationView(0, 13, ("a", "b"))
    keys.change(result(15, {}, ("op/evacuate/b", "op/evacuate/unknown")))
    assert evacuations.view == flows.EvacuationView(0, 15, ("a",))
    keys.replace(result(16, {"op/evacuate/c": b"{}"}))
    assert evacuations.view == flows.EvacuationView(0, 16, ("c",))


@pytest.mark.parametrize(
    ("key", "body", "zones", "event"),
    [
        ("op/evacuate/", b"{}", (), "evacuation-key-ignored"),
        ("op/evacuate/a/b", b"{}", (), "evacuation-key-ignored"),
        ("op/evacuate/a\n", b"{}", (), "evacuation-key-ignored"),
        ("op/evacuate/" + "z" * 65, b"{}", (), "evacuation-key-ignored"),
        ("op/evacuate/zone b", b"{}", ("zone b",), "evacuation-changed"),
        ("op/evacuate/b", b"\xff[", ("b",), "odd-evacuation-body"),
        ("op/evacuate/b", b"[" * 5_000, ("b",), "odd-evacuation-body"),
        ("op/evacuated", b"{}", (), ""),
        ("op/other", b"[]", (), ""),
    ],
)
def test_odd_keys_and_bodies_do_no_harm(
    key: str,
    body: bytes,
    zones: tuple[str, ...],
    event: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stray key that stops or starts evacuations."""
    events: list[str] = []
    monkeypatch.setattr(
        telemetry, "log", lambda name, **fields: events.append(name)
    )
    keys, evacuations = make_keys()
    keys.replace(result(10, {key: body}))
    assert evacuations.zones == zones
    assert events[:1] == ([event] if event else [])
    keys.change(result(11, {"op/evacuate/c": b"{}"}))
    assert "c" in evacuations.zones


def test_more_zones_than_a_message_holds_are_left_out() -> None:
    """Guards against opening packets that every receiver drops."""
    keys, evacuations = make_keys()
    names = {f"op/evacuate/{index:03}": b"{}" for index in range(70)}
    keys.replace(result(10, names))
    assert len(evacuations.zones) == 64


def test_view_is_encoded_for_peers_and_odd_ones_are_rejected() -> None:
    """Guards against a peer of another release that spoils the view."""
    view = flows.EvacuationView(1, 20, ("a", "b"))
    unpack = _evacuation_source.unpack_view
    assert unpack(_evacuation_source.pack_view(view)) == core.Ok(view)
    assert unpack(_evacuation_source.pack_view(None)) == core.Ok(None)
    for document in (
        b"<html>",
        b"[0]",
        b"[0,-1,[]]",
        b'[0,1,"a"]',
        b"[" * 9000,
    ):
        assert isinstance(unpack(document), core.Failure)


def test_balancer_without_a_view_is_not_ready() -> None:
    """Guards against new flows in an evacuated zone after a restart."""

    async def body(process: _balancer.Balancer, peers: Peers) -> None:
        process.config.handle_changes(
            result(10, {"op/config": json.dumps(CONFIG).encode()})
        )
        process._last_agent_message_ms = process.clock.now_ms()
        assert not process.is_ready()
        process.config.handle_full_read(result(11, {}))
        assert process.is_ready()

    run(body)


def test_deployment_without_evacuation_behaves_as_before() -> None:
    """Guards against a changed watch or readiness of earlier deployments."""

    async def body(process: _balancer.Balancer, peers: Peers) -> None:
        assert process.config.follower._prefix == "op/config"
        peers.documents["/config"] = json.dumps(CONFIG).encode()
        await process._pull_config(PEER)
        assert peers.reads == ["/config"]
        process._last_agent_message_ms = process.clock.now_ms()
        assert process.is_ready()
        process.config.handle_full_read(result(11, {"op/evacuate/a": b"{}"}))
        assert process.flows.evacuation.view is None

    run(body, dataclasses.replace(OPTIONS, evacuation_prefix=""))


def test_configuration_of_a_peer_comes_with_its_view() -> None:
    """Guards against a balancer that starts uninformed without the store."""

    async def body(process: _balancer.Balancer, peers: Peers) -> None:
        peers.documents["/config"] = json.dumps(CONFIG).encode()
        await process._pull_config(PEER)
        process._last_agent_message_ms = process.clock.now_ms()
        assert not process.is_ready()
        view = flows.EvacuationView(0, 20, ("b",))
        peers.documents["/evacuation"] = _evacuation_source.pack_view(view)
        await process._pull_config(PEER)
        assert process.flows.evacuation.view == view
        assert process.is_ready()
        assert process._evacuation_page() == peers.documents["/evacuation"]

    run(body)


def test_balancer_that_the_store_rejects_learns_from_peers() -> None:
    """Guards against an old view where no informed balancer has new flows."""

    async def body(process: _balancer.Balancer, peers: Peers) -> None:
        assert isinstance(process.clock, core.ManualClock)
        peer = flows.Instance("b-2", core.Role.BALANCER, "", "a", PEER, 1)
        process.fleet.replace_entries([peer])
        process.config.handle_full_read(result(10, {}))
        follower = process.config.follower
        follower._mark_reachable()
        poll = asyncio.create_task(process._poll_evacuation())
        await process.clock.advance(_evacuation_source.PEER_POLL_MS)
        assert not peers.reads
        view = flows.EvacuationView(0, 20, ("b",))
        peers.documents["/evacuation"] = _evacuation_source.pack_view(view)
        follower._mark_unreachable("503")
        await process.clock.advance(_evacuation_source.PEER_POLL_MS)
        assert process.flows.evacuation.view == view
        # The store answers again, first from before the evacuation.
        follower._mark_reachable()
        process.config.handle_full_read(result(19, {}))
        assert process.flows.evacuation.view == view
        process.config.handle_full_read(result(21, {}))
        assert process.flows.evacuation.zones == ()
        poll.cancel()

    run(body)


def test_one_watch_follows_configuration_and_evacuations() -> None:
    """Guards against additional store calls, and changes that are missed."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = core.Address("127.0.0.1", probe.getsockname()[1])

    async def main() -> None:
        server = _platform_store.PlatformStoreServer(address)
        server.state.put("op/config", json.dumps(CONFIG).encode())
        server.start()
        clock = core.SystemClock()
        balancer_flows = flows.BalancerFlows(
            clock,
            flows.Instance("b-1", core.Role.BALANCER, "", "a", OWN, 1),
            flows.Fleet(clock),
        )
        source = _config_source.ConfigSource(
            _store.PlatformStore(address),
            clock,
            random.Random(1),
            "op/config",
            _front_end.PlatformFrontEnd(STORE).config_format,
            balancer_flows.apply,
            "op/evacuate/",
            balancer_flows.evacuation,
        )
        task = asyncio.create_task(source.follower.run())
        wait_until = _platform_store.wait_until
        evacuation = balancer_flows.evacuation
        try:
            assert await wait_until(lambda: balancer_flows.version == 3, 2_000)
            assert evacuation.zones == ()
            server.state.put("op/evacuate/b", b"{}")
            assert await wait_until(lambda: evacuation.zones == ("b",), 1_000)
            later = json.dumps(CONFIG | {"version": 4}).encode()
            server.state.put("op/config", later)
            assert await wait_until(lambda: balancer_flows.version == 4, 1_000)
            assert evacuation.zones == ("b",)
            server.state.delete("op/evacuate/b")
            assert await wait_until(lambda: evacuation.zones == (), 1_000)
        finally:
            task.cancel()
            server.stop()

    asyncio.run(main())
