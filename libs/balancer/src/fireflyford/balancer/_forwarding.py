"""Tasks, sockets and routers of one balancer."""

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

# Members last applied to a router, and whether its service accepts new flows.
RouterInput = tuple[tuple[membership.Member, ...], bool]


class Forwarding:
    """Forwarding of one balancer, with one task for each socket."""

    def __init__(
        self, options: settings.BalancerSettings, clock: core.Clock
    ) -> None:
        """Initializes the routers; `start` opens the sockets.

        Args:
            options: Validated settings.
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
        # Until a configuration is applied, all services accept new flows.
        self._open_services = frozenset(options.listeners)
        self._view_changed = asyncio.Event()
        self._listeners: dict[str, _forwarder.ServiceListener] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def apply_deployment(self, deployment: config.Deployment) -> None:
        """Applies a configuration; draining services accept no new flows."""
        self._open_services = frozenset(
            service.name
            for service in deployment.services
            if not service.draining
        )
        self._apply_transports(deployment)
        self._view_changed.set()

    def _apply_transports(self, deployment: config.Deployment) -> None:
        for service in deployment.services:
            previous = self._transports.get(service.name)
            self._transports[service.name] = service.transport
            listener = self._listeners.get(service.name)
            if listener is not None and service.transport is not previous:
                listener.replace_reader(self._make_reader(service.name))

    def apply_view(self, view: membership.View) -> None:
        """Sets the view; the rings are updated in the background."""
        self._view = view
        self._view_changed.set()

    def start(self, deployment: config.Deployment | None) -> None:
        """Opens every socket and starts its task.

        Args:
            deployment: Configuration with the transport of each service; if
                None, all services use QUIC.

        Raises:
            OSError: An address is in use or not local.
        """
        if deployment is not None:
            self._transports = {
                service.name: service.transport
                for service in deployment.services
            }
        self._start_task(self._run_router_updates())
        link = self._options.link_listen
        self._start_task(self._link.run(_socket.DatagramSocket(link)))
        for service, address in self._options.listeners.items():
            self._listen(service, core.Address.parse(address))

    def stop(self) -> None:
        """Cancels all tasks, which closes the sockets."""
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
        self._start_task(listener.run(_socket.DatagramSocket(address)))

    def _make_reader(self, service: str) -> _forwarder.HintReader:
        if self._transports.get(service) is config.Transport.DATAGRAM:
            return _forwarder.DatagramHintReader(service)
        return _forwarder.QuicHintReader(
            wire.ConnectionIdCodec(self._options.routing_keys, service)
        )

    @staticmethod
    def _exit_on_failure(task: asyncio.Task[None]) -> None:
        # A process without this task would look healthy but forward nothing.
        if not task.cancelled() and (error := task.exception()) is not None:
            telemetry.log(
                "forwarding-failed", error=f"{type(error).__name__}: {error}"
            )
            raise SystemExit(1)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._exit_on_failure)
        self._tasks.append(task)

    async def _run_router_updates(self) -> None:
        applied: dict[str, RouterInput] = {}
        while True:
            await self._view_changed.wait()
            self._view_changed.clear()
            await update_routers(
                self._routers, self._view, self._open_services, applied
            )


async def update_routers(
    routers: dict[str, routing.Router],
    view: membership.View,
    open_services: Set[str],
    applied: dict[str, RouterInput],
) -> None:
    """Updates the targets of each router, yielding after each ring.

    Forwarding thus pauses for one ring at a time, not for the rings of all
    services, of which there may be 420.

    Args:
        routers: Routers by service.
        view: The new view.
        open_services: Services that accept new flows.
        applied: Last input of each router by service; updated in place.
    """
    for service, members in routing.group_by_service(view, routers).items():
        accepts_flows = service in open_services
        # Unchanged records are identical objects, so the comparison is fast.
        if applied.get(service) == (members, accepts_flows):
            continue
        applied[service] = (members, accepts_flows)
        targets = routing.make_targets(members)
        if not accepts_flows:
            targets = tuple(
                dataclasses.replace(target, accepts_flows=False)
                for target in targets
            )
        routers[service].replace_targets(targets)
        await asyncio.sleep(0)
