"""Sockets, routers and rings of one balancer."""

import asyncio
from collections.abc import Coroutine
from collections.abc import Set
import dataclasses
from typing import Any

from fireflyford import config
from fireflyford import core
from fireflyford import membership
from fireflyford import routing
from fireflyford import settings
from fireflyford import telemetry
from fireflyford import wire
from fireflyford.balancer import _forwarder
from fireflyford.balancer import _socket

# Members that a router has taken, and whether its service takes new flows.
RouterInput = tuple[tuple[membership.Member, ...], bool]


class Forwarding:
    """Everything that forwards datagrams: one task for each socket."""

    def __init__(
        self, options: settings.BalancerSettings, clock: core.Clock
    ) -> None:
        """Prepares the routers; `start` opens the sockets.

        Args:
            options: Checked settings.
            clock: Source of time.
        """
        self._options = options
        self.counters = _forwarder.Counters()
        self._link = _forwarder.Link(
            wire.ForwardCodec(options.link_key), self.counters
        )
        self._routers = {
            service: routing.Router(clock) for service in options.listeners
        }
        self._transports: dict[str, config.Transport] = {}
        self._view = membership.View()
        # Until a configuration arrives, every service takes new flows.
        self._open_services = frozenset(options.listeners)
        self._view_changed = asyncio.Event()
        self._listeners: dict[str, _forwarder.ServiceListener] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def apply_deployment(self, deployment: config.Deployment) -> None:
        """Takes a configuration; a draining service gets no new flows."""
        self._open_services = frozenset(
            service.name
            for service in deployment.services
            if not service.draining
        )
        self._apply_transports(deployment)
        self._view_changed.set()

    def _apply_transports(self, deployment: config.Deployment) -> None:
        for service in deployment.services:
            known = self._transports.get(service.name)
            self._transports[service.name] = service.transport
            listener = self._listeners.get(service.name)
            if listener is not None and service.transport is not known:
                listener.replace_reader(self._make_reader(service.name))

    def apply_view(self, view: membership.View) -> None:
        """Takes a new view; the rings follow while forwarding goes on."""
        self._view = view
        self._view_changed.set()

    def start(self, deployment: config.Deployment | None) -> None:
        """Opens every socket and starts its task.

        Args:
            deployment: Says which services are plain datagrams; all are QUIC
                while there is none.

        Raises:
            OSError: An address is in use or not local.
        """
        if deployment is not None:
            self._transports = {
                service.name: service.transport
                for service in deployment.services
            }
        self._spawn(self._follow_view())
        link = self._options.link_listen
        self._spawn(self._link.run(_socket.DatagramSocket(link)))
        for service, address in self._options.listeners.items():
            self._listen(service, core.Address.parse(address))

    def stop(self) -> None:
        """Ends all tasks and closes the sockets."""
        for task in self._tasks:
            task.cancel()

    def _listen(self, service: str, address: core.Address) -> None:
        listener = _forwarder.ServiceListener(
            service,
            self._routers[service],
            self._make_reader(service),
            self._link,
            self.counters,
        )
        self._listeners[service] = listener
        self._link.add_listener(listener)
        self._spawn(listener.run(_socket.DatagramSocket(address)))

    def _make_reader(self, service: str) -> _forwarder.HintReader:
        if self._transports.get(service) is config.Transport.DATAGRAM:
            return _forwarder.DatagramHintReader(service)
        return _forwarder.QuicHintReader(
            wire.ConnectionIdCodec(self._options.routing_keys, service)
        )

    @staticmethod
    def _exit_on_failure(task: asyncio.Task[None]) -> None:
        # Without this task the process would only seem to work.
        if not task.cancelled() and (error := task.exception()) is not None:
            telemetry.log(
                "forwarding-failed", error=f"{type(error).__name__}: {error}"
            )
            raise SystemExit(1)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(self._exit_on_failure)
        self._tasks.append(task)

    async def _follow_view(self) -> None:
        known: dict[str, RouterInput] = {}
        while True:
            await self._view_changed.wait()
            self._view_changed.clear()
            await update_routers(
                self._routers, self._view, self._open_services, known
            )


async def update_routers(
    routers: dict[str, routing.Router],
    view: membership.View,
    open_services: Set[str],
    known: dict[str, RouterInput],
) -> None:
    """Gives each router its targets, pausing after each ring.

    The longest pause of forwarding is then one ring, not 420 of them.

    Args:
        routers: Router of each service.
        view: The new view.
        open_services: Services that take new flows.
        known: What the routers have taken, by service; updated.
    """
    for service, members in routing.group_by_service(view, routers).items():
        accepts_flows = service in open_services
        # Unchanged records are the same objects, so this is quick.
        if known.get(service) == (members, accepts_flows):
            continue
        known[service] = (members, accepts_flows)
        targets = routing.make_targets(members)
        if not accepts_flows:
            targets = tuple(
                dataclasses.replace(target, accepts_flows=False)
                for target in targets
            )
        routers[service].replace_targets(targets)
        await asyncio.sleep(0)
