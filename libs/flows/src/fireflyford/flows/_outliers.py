"""Agents whose backend servers respond far more slowly than the others.

Measured from the service times in load reports. Such an agent is on probation:
it is offered few new flows, whose responses show when it has recovered.
"""

from collections.abc import Mapping
import statistics

from fireflyford import core
from fireflyford import telemetry
from fireflyford.flows import _types

# A backend server is an outlier above this multiple of the median service time
# of its service. Machines of one service differ by up to 2.5 in speed.
ENTRY_FACTOR = 3.5
# It is no longer one below this multiple. The gap keeps a backend server near
# the threshold from going back and forth with each report.
EXIT_FACTOR = 2.5
# At most this share of the agents of a service is on probation: if more are
# slow, the others could not bear the load.
MAX_SHARE = 0.2
# Fewer measurements do not give a median to compare with.
MIN_AGENT_COUNT = 5
# Loads change with each report, which are at least 100 ms apart.
UPDATE_INTERVAL_MS = 500
# Time between two new flows for an agent on probation, from all directory
# agents together. With a gain of 0.1 for each response, a mean of 7 times the
# median falls below `EXIT_FACTOR` after 14 responses.
TRICKLE_INTERVAL_MS = 250


class Outliers:
    """Agents on probation, as one directory agent sees them."""

    def __init__(self, clock: core.Clock) -> None:
        """Initializes without agents on probation.

        Args:
            clock: Source of time.
        """
        self._clock = clock
        self._updated_ms = clock.now_ms() - UPDATE_INTERVAL_MS
        # Time of the next flow for each agent on probation.
        self._next_flow_ms: dict[core.Address, int] = {}
        self._agent_count = 0

    def __len__(self) -> int:
        """Returns the number of agents on probation."""
        return len(self._next_flow_ms)

    def is_due(self) -> bool:
        """Returns whether the loads have to be compared again."""
        now_ms = self._clock.now_ms()
        return now_ms - self._updated_ms >= UPDATE_INTERVAL_MS

    def update(self, loads: Mapping[core.Address, _types.Load]) -> None:
        """Compares the agents of a service by their last loads."""
        self._updated_ms = now_ms = self._clock.now_ms()
        self._agent_count = len(loads)
        times = {
            address: load.service_ms
            for address, load in loads.items()
            if load.service_ms and load.state is _types.TargetState.READY
        }
        found: list[core.Address] = []
        if len(times) >= MIN_AGENT_COUNT:
            median_ms = statistics.median(times.values())
            found = [
                address
                for address, service_ms in times.items()
                if service_ms > median_ms * self._factor(address)
            ]
            # The slowest first.
            found.sort(key=times.__getitem__, reverse=True)
        kept = set(found[: int(len(loads) * MAX_SHARE)])
        for address in tuple(self._next_flow_ms):
            if address not in kept:
                del self._next_flow_ms[address]
                telemetry.log("probation-ended", holder=address)
        for address in kept - self._next_flow_ms.keys():
            self._next_flow_ms[address] = now_ms + self._interval_ms()
            telemetry.log(
                "probation-started",
                holder=address,
                service_ms=times[address],
                median_ms=median_ms,
            )

    def accepts(self, address: core.Address) -> bool:
        """Returns whether an agent may be offered a new flow now."""
        return self._next_flow_ms.get(address, 0) <= self._clock.now_ms()

    def record_offer(self, address: core.Address) -> None:
        """Records that a new flow is offered to an agent."""
        if address in self._next_flow_ms:
            self._next_flow_ms[address] = (
                self._clock.now_ms() + self._interval_ms()
            )

    def _factor(self, address: core.Address) -> float:
        on_probation = address in self._next_flow_ms
        return EXIT_FACTOR if on_probation else ENTRY_FACTOR

    def _interval_ms(self) -> int:
        """Returns the time between two flows from this directory agent.

        There are as many directory agents as agents of the service.
        """
        return TRICKLE_INTERVAL_MS * max(1, self._agent_count)
