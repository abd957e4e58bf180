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

# Minimum time without a keepalive after which an instance without an entry is
# removed: a few keepalives may be lost, and a process restarts within it.
KEEPALIVE_TIMEOUT_MS = 3_000
# Longest time between two reports of an agent that runs, for a small fleet.
SILENCE_LIMIT_MS = 1_800
# How long a process that has left is remembered: longer than the watch of the
# registry may take to return its entry, and than datagrams are delayed.
LEFT_RETENTION_MS = 30_000
# Load of an agent that has not reported one.
_UNKNOWN_LOAD = _types.Load()
# A ring is updated while at most this part of its agents has changed, and built
# anew otherwise.
_MAX_UPDATED_SHARE = 0.25


class Fleet:
    """Balancers and agents that are known to be present.

    Each change takes time in proportion to the number of changed instances,
    because during a rolling replacement every instance sees every other change.
    """

    def __init__(self, clock: core.Clock) -> None:
        """Initializes an empty view.

        Args:
            clock: Source of time for the age of keepalives.
        """
        self._clock = clock
        self._registered: dict[core.Address, _types.Instance] = {}
        # Registered instances whose entries the store has lost, and until when
        # they are retained.
        self._retained: set[core.Address] = set()
        self._retention_end_ms: int | None = None
        # Time of the last keepalive of each instance, and the instance itself.
        self._keepalives: dict[core.Address, tuple[int, _types.Instance]] = {}
        # Time and incarnation of processes that announced that they leave.
        self._left: dict[core.Address, tuple[int, int]] = {}
        # Since when instances are present that have not had an entry yet.
        self._unseen_since_ms: dict[core.Address, int] = {}
        self._loads: dict[core.Address, _types.Load] = {}
        self._present: dict[core.Address, _types.Instance] = {}
        self._balancers: dict[core.Address, _types.Instance] = {}
        self._agents: dict[str, dict[core.Address, _types.Instance]] = {}
        self._rings: dict[str, routing.TargetRing] = {}
        # Agents of each ring that have changed since it was last updated.
        self._changed_agents: dict[str, set[core.Address]] = {}
        # Increases whenever the agents change or one of them starts or stops
        # accepting new flows.
        self.generation = 0
        # Whether all instances have been listed once, by the registry or by an
        # instance that is present. Until then, an instance that is not known
        # may still be there.
        self.is_complete = False
        # Time without a keepalive after which an instance without an entry is
        # removed. Keepalives are the rarer, the larger the fleet is.
        self.keepalive_timeout_ms = KEEPALIVE_TIMEOUT_MS
        # Time without a keepalive that the interval of keepalives or load
        # reports to this instance does not explain.
        self.silence_limit_ms = SILENCE_LIMIT_MS

    def retain_entries(self, duration_ms: int) -> None:
        """Retains instances with entries, although the store loses entries.

        Called when the store has been restored from a copy, which may lack
        entries or contain those of earlier processes. The instances write their
        entries again.

        Args:
            duration_ms: Time after which an instance without an entry remains
                only if it sends keepalives.
        """
        self._retention_end_ms = self._clock.now_ms() + duration_ms

    def _is_retaining(self) -> bool:
        return (
            self._retention_end_ms is not None
            and self._clock.now_ms() < self._retention_end_ms
        )

    def _end_retention(self) -> None:
        """Drops retained instances whose entries have not come back."""
        if self._retention_end_ms is None or self._is_retaining():
            return
        self._retention_end_ms = None
        for address in self._retained:
            self._registered.pop(address, None)
        telemetry.log("retention-ended", dropped=len(self._retained))
        self._retained.clear()

    def _retain_newer(
        self, entries: dict[core.Address, _types.Instance]
    ) -> None:
        """Adds registered instances that are missing or later processes."""
        for address, known in self._registered.items():
            entry = entries.get(address)
            if entry is None or entry.incarnation < known.incarnation:
                entries[address] = known
                self._retained.add(address)
            else:
                self._retained.discard(address)

    def replace_entries(
        self, instances: Iterable[_types.Instance]
    ) -> list[_types.Instance]:
        """Replaces all registry entries.

        Returns:
            Instances whose process was not known before.
        """
        entries = {item.address: item for item in instances}
        if self._is_retaining():
            self._retain_newer(entries)
        else:
            self._retained.clear()
        self._registered = entries
        for address in self._registered:
            self._unseen_since_ms.pop(address, None)
        self.is_complete = True
        return self.refresh()

    def update_entries(
        self,
        put: Iterable[_types.Instance],
        deleted: Iterable[core.Address],
    ) -> list[_types.Instance]:
        """Updates the registry entries.

        Args:
            put: Added and changed entries.
            deleted: Addresses of deleted entries.

        Returns:
            Instances whose process was not known before.
        """
        changed: dict[core.Address, None] = {}
        is_retaining = self._is_retaining()
        for address in deleted:
            if is_retaining and address in self._registered:
                # The lease in the copy ended before the instance has written
                # its entry again.
                self._retained.add(address)
                continue
            self._registered.pop(address, None)
            changed[address] = None
        for instance in put:
            known = self._registered.get(instance.address)
            if (
                is_retaining
                and known is not None
                and known.incarnation > instance.incarnation
            ):
                continue
            self._registered[instance.address] = instance
            self._retained.discard(instance.address)
            self._unseen_since_ms.pop(instance.address, None)
            changed[instance.address] = None
        return self._update(changed)

    def apply_heartbeat(self, heartbeat: _messages.Heartbeat) -> None:
        """Applies a heartbeat, unless it is from an earlier process."""
        instance = heartbeat.instance
        address = instance.address
        known = self._present.get(address)
        if known is not None and known.incarnation > instance.incarnation:
            return
        if heartbeat.leaving:
            now_ms = self._clock.now_ms()
            self._left[address] = (now_ms, instance.incarnation)
            self._keepalives.pop(address, None)
            self._registered.pop(address, None)
            self._retained.discard(address)
            self._update([address])
            return
        if self._has_left(instance):
            return
        self._keepalives[address] = (self._clock.now_ms(), instance)
        if known != instance:
            self._update([address])
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
            self._mark_changed(instance)

    def refresh(self) -> list[_types.Instance]:
        """Merges both sources again.

        Must be called periodically, so that keepalives time out.

        Returns:
            Instances whose process was not known before.
        """
        self._end_retention()
        oldest_ms = self._clock.now_ms() - LEFT_RETENTION_MS
        self._left = {
            address: left
            for address, left in self._left.items()
            if left[0] >= oldest_ms
        }
        return self._update(
            dict.fromkeys(
                (*self._present, *self._registered, *self._keepalives)
            )
        )

    def _update(
        self, addresses: Iterable[core.Address]
    ) -> list[_types.Instance]:
        """Merges both sources for some addresses.

        Returns:
            Instances whose process was not known before.
        """
        oldest_ms = self._clock.now_ms() - self.keepalive_timeout_ms
        found = []
        for address in addresses:
            known = self._present.get(address)
            instance = self._merge(address, oldest_ms)
            if instance == known:
                continue
            if known is not None:
                self._remove(known)
            if instance is None:
                assert known is not None
                self._forget(known)
                continue
            self._add(instance)
            if known is None and address not in self._registered:
                self._unseen_since_ms[address] = self._clock.now_ms()
            if known is None or known.incarnation != instance.incarnation:
                found.append(instance)
            telemetry.log(
                "instance-found",
                peer=instance.instance_id,
                address=address,
                service=instance.service,
                incarnation=instance.incarnation,
            )
        return found

    def _merge(
        self, address: core.Address, oldest_ms: int
    ) -> _types.Instance | None:
        """Returns the newest process at an address, None if there is none."""
        registered = self._registered.get(address)
        if registered is not None and self._has_left(registered):
            registered = None
        keepalive = self._keepalives.get(address)
        if keepalive is None or keepalive[0] < oldest_ms:
            return registered
        live = keepalive[1]
        if registered is None or registered.incarnation <= live.incarnation:
            return live
        return registered

    def _has_left(self, instance: _types.Instance) -> bool:
        """Returns whether this process or a later one announced its leave."""
        left = self._left.get(instance.address)
        return left is not None and instance.incarnation <= left[1]

    def _add(self, instance: _types.Instance) -> None:
        self._present[instance.address] = instance
        if instance.role is core.Role.BALANCER:
            self._balancers[instance.address] = instance
            return
        agents = self._agents.setdefault(instance.service, {})
        agents[instance.address] = instance
        self._mark_changed(instance)

    def _remove(self, instance: _types.Instance) -> None:
        del self._present[instance.address]
        if instance.role is core.Role.BALANCER:
            del self._balancers[instance.address]
            return
        del self._agents[instance.service][instance.address]
        self._mark_changed(instance)

    def _forget(self, instance: _types.Instance) -> None:
        """Discards what is known of an instance that is gone."""
        self._loads.pop(instance.address, None)
        self._keepalives.pop(instance.address, None)
        self._unseen_since_ms.pop(instance.address, None)
        telemetry.log(
            "instance-gone",
            peer=instance.instance_id,
            address=instance.address,
        )

    def _mark_changed(self, agent: _types.Instance) -> None:
        self.generation += 1
        changed = self._changed_agents.setdefault(agent.service, set())
        changed.add(agent.address)

    def latest_incarnation(self, address: core.Address) -> int | None:
        """Returns that of the last process known at an address, if any.

        A process that has left counts for a while.
        """
        known = self._present.get(address)
        left = self._left.get(address)
        if known is None:
            return None if left is None else left[1]
        return known.incarnation

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
        return len(self._present) - len(self._balancers)

    def load(self, address: core.Address) -> _types.Load:
        """Returns the last reported load of an agent, or the default load."""
        return self._loads.get(address, _UNKNOWN_LOAD)

    def is_load_known(self, address: core.Address) -> bool:
        """Returns whether an agent has reported its load."""
        return address in self._loads

    def unregistered(self, min_age_ms: int) -> tuple[_types.Instance, ...]:
        """Returns instances that send heartbeats but have no registry entry.

        Args:
            min_age_ms: How long the entry of a new instance may take to be
                seen; such an instance is left out until then.
        """
        latest_ms = self._clock.now_ms() - min_age_ms
        return tuple(
            item
            for address, item in self._present.items()
            if address not in self._registered
            and self._unseen_since_ms.get(address, latest_ms) <= latest_ms
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

    def is_silent(self, address: core.Address) -> bool:
        """Returns whether no keepalive has arrived for longer than expected."""
        last = self._keepalives.get(address)
        return (
            last is None
            or self._clock.now_ms() - last[0] > self.silence_limit_ms
        )

    def has_silent_agents(self, limit_ms: int) -> bool:
        """Returns whether an agent with an entry has just become silent.

        Args:
            limit_ms: Silence after which an agent no longer counts.
        """
        newest_ms = self._clock.now_ms() - self.keepalive_timeout_ms
        oldest_ms = self._clock.now_ms() - limit_ms
        return any(
            oldest_ms <= heard_ms < newest_ms
            and instance.role is core.Role.AGENT
            and address in self._registered
            for address, (heard_ms, instance) in self._keepalives.items()
        )

    def agents(self, service: str) -> tuple[_types.Instance, ...]:
        """Returns the agents of one service."""
        return tuple(self._agents.get(service, {}).values())

    def services(self) -> tuple[str, ...]:
        """Returns the services that have agents."""
        return tuple(
            service for service, agents in self._agents.items() if agents
        )

    def instances(self) -> tuple[_types.Instance, ...]:
        """Returns all instances."""
        return tuple(self._present.values())

    def balancers(self) -> tuple[_types.Instance, ...]:
        """Returns the balancers."""
        return tuple(self._balancers.values())

    def ring(self, service: str) -> routing.TargetRing:
        """Returns the ring that maps flows of a service to directory agents."""
        ring = self._rings.get(service)
        changed = self._changed_agents.pop(service, set())
        if ring is not None and not changed:
            return ring
        agents = self._agents.get(service, {})
        if ring is None or len(changed) > len(agents) * _MAX_UPDATED_SHARE:
            ring = routing.TargetRing(map(self._ring_target, agents.values()))
        else:
            ring = ring.updated(
                (
                    self._ring_target(agents[address])
                    for address in changed
                    if address in agents
                ),
                (str(address) for address in changed if address not in agents),
            )
        self._rings[service] = ring
        return ring

    def _ring_target(self, agent: _types.Instance) -> routing.Target:
        return routing.Target(
            name=str(agent.address),
            address=agent.address,
            incarnation=0,
            accepts_flows=self.accepts_flows(agent.address),
        )

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
        if first is not None and count == 1:
            return (first.address,)
        successors = [item.address for item in ring.walk(key, count)]
        if first is None:
            return tuple(successors)
        others = [item for item in successors if item != first.address]
        return (first.address, *others)[:count]
