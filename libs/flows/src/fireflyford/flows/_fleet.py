"""View that one instance has of all instances.

Merges two sources: entries in the registry, which persist while an instance is
unreachable, and heartbeats, which need no store. An instance is removed from
the view only when it has no entry and its keepalives have timed out.
"""

from collections.abc import Iterable

from fireflyford import core
from fireflyford import routing
from fireflyford import telemetry
from fireflyford.flows import _messages
from fireflyford.flows import _types

# Time without a keepalive after which an instance without an entry is removed:
# a few keepalives may be lost, and a process restarts within this time.
KEEPALIVE_TIMEOUT_MS = 3_000


class Fleet:
    """Balancers and agents that are known to be present."""

    def __init__(self, clock: core.Clock) -> None:
        """Initializes an empty view.

        Args:
            clock: Source of time for the age of keepalives.
        """
        self._clock = clock
        self._registered: dict[str, _types.Instance] = {}
        # Time of the last keepalive of each instance, and the instance itself.
        self._keepalives: dict[core.Address, tuple[int, _types.Instance]] = {}
        self._loads: dict[core.Address, _types.Load] = {}
        self._present: dict[core.Address, _types.Instance] = {}
        self._rings: dict[str, routing.TargetRing] = {}
        # Increases whenever the instances change or an agent starts or stops
        # accepting new flows.
        self.generation = 0

    def replace_entries(
        self, instances: Iterable[_types.Instance]
    ) -> list[_types.Instance]:
        """Replaces all registry entries.

        Returns:
            Instances whose process was not known before.
        """
        self._registered = {str(item.address): item for item in instances}
        return self.refresh()

    def update_entries(
        self, put: Iterable[_types.Instance], deleted: Iterable[str]
    ) -> list[_types.Instance]:
        """Updates the registry entries.

        Args:
            put: Added and changed entries.
            deleted: Addresses of deleted entries.

        Returns:
            Instances whose process was not known before.
        """
        for address in deleted:
            self._registered.pop(address, None)
        for instance in put:
            self._registered[str(instance.address)] = instance
        return self.refresh()

    def apply_heartbeat(self, heartbeat: _messages.Heartbeat) -> None:
        """Applies a heartbeat, unless it is from an earlier process."""
        instance = heartbeat.instance
        address = instance.address
        known = self._present.get(address)
        if known is not None and known.incarnation > instance.incarnation:
            return
        if heartbeat.leaving:
            self._keepalives.pop(address, None)
            if self._registered.pop(str(address), None) or known:
                self.refresh()
            return
        self._keepalives[address] = (self._clock.now_ms(), instance)
        if known != instance:
            self.refresh()
        self.record_load(address, heartbeat.load)

    def record_load(self, address: core.Address, load: _types.Load) -> None:
        """Records the load from a message, which also counts as a keepalive."""
        instance = self._present.get(address)
        if instance is None:
            return
        self._keepalives[address] = (self._clock.now_ms(), instance)
        accepted = self.accepts_flows(address)
        self._loads[address] = load
        if accepted != self.accepts_flows(address):
            self._rings.pop(instance.service, None)
            self.generation += 1

    def refresh(self) -> list[_types.Instance]:
        """Merges both sources again.

        Must be called periodically, so that keepalives time out.

        Returns:
            Instances whose process was not known before.
        """
        oldest_ms = self._clock.now_ms() - KEEPALIVE_TIMEOUT_MS
        present: dict[core.Address, _types.Instance] = {}
        live = [
            item
            for received_ms, item in self._keepalives.values()
            if received_ms >= oldest_ms
        ]
        for instance in (*self._registered.values(), *live):
            other = present.get(instance.address)
            if other is None or other.incarnation <= instance.incarnation:
                present[instance.address] = instance
        if present == self._present:
            return []
        for address, instance in self._present.items():
            if address not in present:
                self._loads.pop(address, None)
                telemetry.log(
                    "instance-gone",
                    peer=instance.instance_id,
                    address=address,
                )
        found = []
        for address, instance in present.items():
            known = self._present.get(address)
            if known is None or known.incarnation != instance.incarnation:
                found.append(instance)
            if known != instance:
                telemetry.log(
                    "instance-found",
                    peer=instance.instance_id,
                    address=address,
                    service=instance.service,
                    incarnation=instance.incarnation,
                )
        self._present = present
        self._rings.clear()
        self.generation += 1
        return found

    def __contains__(self, address: object) -> bool:
        """Returns whether an instance at the address is present."""
        return address in self._present

    def find(self, address: core.Address) -> _types.Instance | None:
        """Returns the instance at an address."""
        return self._present.get(address)

    def is_agent(self, address: core.Address) -> bool:
        """Returns whether an agent is present at an address."""
        instance = self._present.get(address)
        return instance is not None and instance.role is core.Role.AGENT

    def agent_count(self) -> int:
        """Returns the number of agents of all services."""
        return sum(map(self.is_agent, self._present))

    def load(self, address: core.Address) -> _types.Load:
        """Returns the last reported load of an agent, or the default load."""
        return self._loads.get(address, _types.Load())

    def is_load_known(self, address: core.Address) -> bool:
        """Returns whether an agent has reported its load."""
        return address in self._loads

    def unregistered(self) -> tuple[_types.Instance, ...]:
        """Returns instances that send heartbeats but have no registry entry."""
        return tuple(
            item
            for address, item in self._present.items()
            if str(address) not in self._registered
        )

    def accepts_flows(self, address: core.Address) -> bool:
        """Returns whether the backend server of an agent may accept new flows.

        The ring prefers such agents as directory agents.
        """
        return self.load(address).state in (
            _types.TargetState.UNKNOWN,
            _types.TargetState.READY,
        )

    def keepalive_age_ms(self, address: core.Address) -> int | None:
        """Returns the time since the last keepalive, None if there was none."""
        last = self._keepalives.get(address)
        return None if last is None else self._clock.now_ms() - last[0]

    def agents(self, service: str) -> tuple[_types.Instance, ...]:
        """Returns the agents of one service."""
        return tuple(
            item
            for item in self._present.values()
            if item.role is core.Role.AGENT and item.service == service
        )

    def instances(self) -> tuple[_types.Instance, ...]:
        """Returns all instances."""
        return tuple(self._present.values())

    def balancers(self) -> tuple[_types.Instance, ...]:
        """Returns the balancers."""
        return tuple(
            item
            for item in self._present.values()
            if item.role is core.Role.BALANCER
        )

    def ring(self, service: str) -> routing.TargetRing:
        """Returns the ring that maps flows of a service to directory agents."""
        ring = self._rings.get(service)
        if ring is None:
            ring = routing.TargetRing(
                routing.Target(
                    name=str(item.address),
                    address=item.address,
                    incarnation=0,
                    accepts_flows=self.accepts_flows(item.address),
                )
                for item in self.agents(service)
            )
            self._rings[service] = ring
        return ring

    def directory_agents(
        self, service: str, flow: bytes, count: int
    ) -> tuple[core.Address, ...]:
        """Returns the agents that may keep the directory entry of a flow.

        Args:
            service: Service of the flow.
            flow: The flow.
            count: Number of candidates, most preferred first.
        """
        ring = self.ring(service)
        key = routing.hash_flow(flow)
        first = ring.find(key)
        successors = [item.address for item in ring.walk(key, count)]
        if first is None:
            return tuple(successors)
        others = [item for item in successors if item != first.address]
        return (first.address, *others)[:count]
