"""The instances of the system as one of them sees them.

Two sources are merged: entries in the registry, which survive the sight of
their instances, and beats, which need no store. An instance is gone when it
has no entry and has been silent; either source alone keeps it.
"""

from collections.abc import Iterable

from fireflyford import core
from fireflyford import routing
from fireflyford import telemetry
from fireflyford.flows import _messages
from fireflyford.flows import _types

# An instance without an entry in the registry is gone after this silence:
# some beats may be lost, and a restarted process is back within it.
SILENCE_MS = 3_000


class Fleet:
    """View of the balancers and agents."""

    def __init__(self, clock: core.Clock) -> None:
        """Starts empty.

        Args:
            clock: Source of time for the age of beats.
        """
        self._clock = clock
        self._registered: dict[str, _types.Instance] = {}
        self._heard: dict[core.Address, tuple[int, _types.Instance]] = {}
        self._loads: dict[core.Address, _types.Load] = {}
        self._present: dict[core.Address, _types.Instance] = {}
        self._rings: dict[str, routing.TargetRing] = {}
        # Changes with each change of the instances or of what they take.
        self.generation = 0

    def replace_entries(
        self, instances: Iterable[_types.Instance]
    ) -> list[_types.Instance]:
        """Replaces all entries of the registry.

        Returns:
            Instances whose process was not known before.
        """
        self._registered = {str(item.address): item for item in instances}
        return self.refresh()

    def update_entries(
        self, put: Iterable[_types.Instance], deleted: Iterable[str]
    ) -> list[_types.Instance]:
        """Takes changed entries and the addresses of deleted ones.

        Returns:
            Instances whose process was not known before.
        """
        for address in deleted:
            self._registered.pop(address, None)
        for instance in put:
            self._registered[str(instance.address)] = instance
        return self.refresh()

    def apply_heartbeat(self, beat: _messages.Heartbeat) -> None:
        """Takes a beat."""
        instance = beat.instance
        address = instance.address
        known = self._present.get(address)
        if known is not None and known.incarnation > instance.incarnation:
            return
        if beat.leaving:
            self._heard.pop(address, None)
            if self._registered.pop(str(address), None) or known:
                self.refresh()
            return
        self._heard[address] = (self._clock.now_ms(), instance)
        if known != instance:
            self.refresh()
        self.record_load(address, beat.load)

    def record_load(self, address: core.Address, load: _types.Load) -> None:
        """Takes the load that came with a message, a sign of life as well."""
        instance = self._present.get(address)
        if instance is None:
            return
        self._heard[address] = (self._clock.now_ms(), instance)
        accepted = self.accepts(address)
        self._loads[address] = load
        if accepted != self.accepts(address):
            self._rings.pop(instance.service, None)
            self.generation += 1

    def refresh(self) -> list[_types.Instance]:
        """Merges both sources again; call it now and then for silence.

        Returns:
            Instances whose process was not known before.
        """
        oldest_ms = self._clock.now_ms() - SILENCE_MS
        present: dict[core.Address, _types.Instance] = {}
        heard = [item for at, item in self._heard.values() if at >= oldest_ms]
        for instance in (*self._registered.values(), *heard):
            rival = present.get(instance.address)
            if rival is None or rival.incarnation <= instance.incarnation:
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
        """Returns the last load heard of an agent."""
        return self._loads.get(address, _types.Load())

    def is_load_known(self, address: core.Address) -> bool:
        """Returns whether an agent has reported its load."""
        return address in self._loads

    def unregistered(self) -> tuple[_types.Instance, ...]:
        """Returns instances that are heard but have no entry."""
        return tuple(
            item
            for address, item in self._present.items()
            if str(address) not in self._registered
        )

    def accepts(self, address: core.Address) -> bool:
        """Returns whether an agent may be the home of flows."""
        return self.load(address).state in (
            _types.TargetState.UNKNOWN,
            _types.TargetState.READY,
        )

    def silence_ms(self, address: core.Address) -> int | None:
        """Returns the time since the last beat, None if there was none."""
        heard = self._heard.get(address)
        return None if heard is None else self._clock.now_ms() - heard[0]

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
        """Returns the ring on which the flows of a service have their home."""
        ring = self._rings.get(service)
        if ring is None:
            ring = routing.TargetRing(
                routing.Target(
                    name=str(item.address),
                    address=item.address,
                    incarnation=0,
                    accepts_flows=self.accepts(item.address),
                )
                for item in self.agents(service)
            )
            self._rings[service] = ring
        return ring

    def directory_agents(
        self, service: str, flow: bytes, count: int
    ) -> tuple[core.Address, ...]:
        """Returns where the directory entry of a flow belongs.

        Args:
            service: Service of the flow.
            flow: The flow.
            count: Number of candidates, the first choice first.
        """
        ring = self.ring(service)
        key = routing.hash_flow(flow)
        first = ring.find(key)
        walked = [item.address for item in ring.walk(key, count)]
        if first is None:
            return tuple(walked)
        others = [item for item in walked if item != first.address]
        return (first.address, *others)[:count]
