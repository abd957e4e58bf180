"""Messages between instances for each flow, with decision code in virtual time.

A safeguard that asks more instances than before shows here, by the state in
which the flow is.
"""

import abc
import asyncio
import statistics

from fireflyford import flows
from fireflyford.lab import _packet_fleet
from fireflyford.lab.experiments import _framework

_AGENT_COUNT = 10
# Agents of a service that holds none of the flows.
_OTHER_AGENT_COUNT = 5
_FLOW_COUNT = 100
_FLOW_INTERVAL_MS = 20
# Longer than the startup grace period of a directory agent.
_SETTLE_MS = 400
_REQUEST_LIMIT_MS = 3_000


def _make_fleet(seed: int) -> _packet_fleet.PacketFleet:
    specs = [_packet_fleet.TargetSpec()] * _AGENT_COUNT
    specs += [_packet_fleet.TargetSpec(service="other")] * _OTHER_AGENT_COUNT
    return _packet_fleet.PacketFleet(seed, specs, long_lived=True)


def _restart(nodes: list[_packet_fleet.Node]) -> None:
    for node in nodes:
        node.start()
        if isinstance(node, _packet_fleet.AgentNode):
            node.report(flows.TargetState.READY, 1)


class _State(abc.ABC):
    """State of the open flows when their clients send a request."""

    name: str

    @abc.abstractmethod
    def apply(self, fleet: _packet_fleet.PacketFleet) -> None:
        """Brings the open flows into this state."""


class _Known(_State):
    name = "known to the balancer"

    def apply(self, fleet: _packet_fleet.PacketFleet) -> None:
        """Changes nothing: the balancer has seen the flow opened."""


class _NewBalancers(_State):
    name = "after a restart of the balancers"

    def apply(self, fleet: _packet_fleet.PacketFleet) -> None:
        """Restarts the balancers."""
        _restart([*fleet.balancers])


class _NewProcesses(_State):
    name = "after a restart of agents and balancers"

    def apply(self, fleet: _packet_fleet.PacketFleet) -> None:
        """Restarts all processes."""
        _restart([*fleet.agents, *fleet.balancers])


class _Lost(_State):
    name = "lost, known to the balancer"

    def apply(self, fleet: _packet_fleet.PacketFleet) -> None:
        """Restarts the backend servers with their agents."""
        for target in fleet.targets:
            target.crash()
            target.up = True
        _restart([*fleet.agents])


class _LostAndUnknown(_Lost):
    name = "lost, new balancer"

    def apply(self, fleet: _packet_fleet.PacketFleet) -> None:
        """Restarts backend servers, agents and balancers."""
        super().apply(fleet)
        _restart([*fleet.balancers])


_STATES = (
    _Known(),
    _NewBalancers(),
    _NewProcesses(),
    _Lost(),
    _LostAndUnknown(),
)


def _count(state: _State, seed: int) -> list[_framework.Figure]:
    """Returns messages for each flow, and response times, in one state."""
    fleet = _make_fleet(seed)
    clients = []
    for _ in range(_FLOW_COUNT):
        clients.append(fleet.client())
        clients[-1].open()
        fleet.run(_FLOW_INTERVAL_MS)
    fleet.run(_SETTLE_MS)
    opening_count = fleet.flow_message_count
    state.apply(fleet)
    fleet.publish_registry()
    fleet.run(_SETTLE_MS)
    before_count = fleet.flow_message_count
    fleet.results.clear()
    for client in clients:
        client.request()
        fleet.run(_FLOW_INTERVAL_MS)
    fleet.run(_REQUEST_LIMIT_MS)
    request_count = fleet.flow_message_count - before_count
    duration_ms = statistics.mean(item.duration_ms for item in fleet.results)
    figures = [
        _framework.Figure(
            f"messages, {state.name}", request_count / _FLOW_COUNT, "1"
        ),
        _framework.Figure(f"mean time, {state.name}", duration_ms, "ms"),
    ]
    if isinstance(state, _Known):
        messages = opening_count / _FLOW_COUNT
        name = "messages, open and first request"
        figures.insert(0, _framework.Figure(name, messages, "1"))
    return figures


class FlowMessages(_framework.Experiment):
    """Counts the messages that flows in several states cost."""

    @property
    def name(self) -> str:
        """Name on the command line."""
        return "flow-messages"

    @property
    def summary(self) -> str:
        """One-line description that `list` prints."""
        return "messages between instances for each flow, by its state"

    async def run(self, seed: int) -> _framework.Result:
        """Counts in each state."""
        figures: list[_framework.Figure] = []
        for state in _STATES:
            figures += await asyncio.to_thread(_count, state, seed)
        return _framework.Result(self.name, seed, tuple(figures))


EXPERIMENTS = (FlowMessages(),)
