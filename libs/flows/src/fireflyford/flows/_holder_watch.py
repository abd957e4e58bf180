"""Detection by a balancer of holders that no longer deliver packets.

Answers of a backend server go straight to the client, so a balancer does not
see them. It sees that a client repeats its data, which the holder confirms to
the balancer if it runs.
"""

from fireflyford import core
from fireflyford import telemetry
from fireflyford.flows import _fleet
from fireflyford.flows import _responsiveness
from fireflyford.flows import _types
from fireflyford.flows import _zone_paths

# A client repeats its data 200, 600 and 1,400 ms after it has sent it, and has
# waited long enough at the second repetition.
MIN_REPEAT_COUNT = 2
# Copies that are closer to each other count as one: data of several packets.
MIN_REPEAT_GAP_MS = 150
# Time for which a holder must have left repeated data unconfirmed: the distance
# of the first two repetitions, less a delay of the second one's predecessor.
MIN_UNCONFIRMED_MS = 350
# A client repeats its data again within this time, or no longer waits.
REPEAT_LIMIT_MS = 1_200


class WaitingClient:
    """A client that repeats data on a flow.

    Attributes:
        packet: Latest copy of the data.
        service: Service of the holder.
        holder: The holder to which the copy was forwarded.
        repeat_count: Repetitions so far.
        repeated_ms: Time of the last counted one.
        unconfirmed_count: Repetitions since the holder last confirmed one.
        unconfirmed_since_ms: Time of the first of these.
    """

    __slots__ = (
        "holder",
        "packet",
        "repeat_count",
        "repeated_ms",
        "service",
        "unconfirmed_count",
        "unconfirmed_since_ms",
    )

    def __init__(
        self,
        packet: _types.Packet,
        service: str,
        holder: core.Address,
        now_ms: int,
    ) -> None:
        """Initializes a client that has repeated its data once."""
        self.packet = packet
        self.service = service
        self.holder = holder
        self.repeat_count = 1
        self.repeated_ms = now_ms
        self.unconfirmed_count = 1
        self.unconfirmed_since_ms = now_ms


class HolderWatch:
    """Finds flows whose clients wait for a holder that is silent."""

    def __init__(
        self,
        clock: core.Clock,
        fleet: _fleet.Fleet,
        responsiveness: _responsiveness.Responsiveness,
        zone_paths: _zone_paths.ZonePaths | None = None,
    ) -> None:
        """Initializes a watch without waiting clients.

        Args:
            clock: Source of time.
            fleet: View of all instances.
            responsiveness: Judges instances by their answers.
            zone_paths: Knows which instances are not reached, None if all are.
        """
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._fleet = fleet
        self._responsiveness = responsiveness
        self._zone_paths = zone_paths
        self._waiting: dict[bytes, WaitingClient] = {}

    def __len__(self) -> int:
        """Returns the number of clients that repeat data."""
        return len(self._waiting)

    def record_repeat(
        self,
        packet: _types.Packet,
        service: str,
        holder: core.Address,
    ) -> None:
        """Records repeated data of a flow that is forwarded to its holder."""
        self._responsiveness.record_query(holder)
        now_ms = self._clock.now_ms()
        waiting = self._waiting.get(packet.flow)
        if (
            waiting is None
            or waiting.holder != holder
            or now_ms - waiting.repeated_ms > REPEAT_LIMIT_MS
        ):
            self._waiting[packet.flow] = WaitingClient(
                packet, service, holder, now_ms
            )
            return
        waiting.packet = packet
        if now_ms - waiting.repeated_ms >= MIN_REPEAT_GAP_MS:
            waiting.repeat_count += 1
            waiting.repeated_ms = now_ms
            if not waiting.unconfirmed_count:
                waiting.unconfirmed_since_ms = now_ms
            waiting.unconfirmed_count += 1

    def record_confirmation(self, flow: bytes, holder: core.Address) -> None:
        """Records that repeated data of a flow has reached its holder."""
        waiting = self._waiting.get(flow)
        if waiting is not None and waiting.holder == holder:
            waiting.unconfirmed_count = 0

    def forget(self, flow: bytes) -> None:
        """Stops watching a flow that its client continues."""
        self._waiting.pop(flow, None)

    def take_stranded(self) -> list[WaitingClient]:
        """Returns clients whose holder is silent, and stops watching them."""
        now_ms = self._clock.now_ms()
        stranded = []
        silent: dict[core.Address, bool] = {}
        for flow, waiting in tuple(self._waiting.items()):
            if now_ms - waiting.repeated_ms > REPEAT_LIMIT_MS:
                del self._waiting[flow]
                continue
            if waiting.repeat_count < MIN_REPEAT_COUNT:
                continue
            holder = waiting.holder
            if holder not in silent:
                silent[holder] = self._is_silent(holder, waiting.service)
            if silent[holder] or self._is_cut_off(waiting):
                del self._waiting[flow]
                stranded.append(waiting)
        return stranded

    def _is_cut_off(self, waiting: WaitingClient) -> bool:
        """Returns whether data of a client no longer reaches its holder.

        The holder reports that it does not hear this zone, and has confirmed
        no copy although its messages arrive.
        """
        holder = waiting.holder
        unconfirmed_ms = self._clock.now_ms() - waiting.unconfirmed_since_ms
        if (
            waiting.unconfirmed_count < MIN_REPEAT_COUNT
            or unconfirmed_ms < MIN_UNCONFIRMED_MS
            or self._zone_paths is None
            or not self._zone_paths.is_reported(holder)
            or not self._responsiveness.may_judge(holder)
        ):
            return False
        telemetry.log(
            "holder-cut-off", holder=holder, unconfirmed_ms=unconfirmed_ms
        )
        return True

    def _is_silent(self, holder: core.Address, service: str) -> bool:
        """Returns whether a holder neither confirms data nor reports."""
        unconfirmed_ms = self._responsiveness.unanswered_ms(holder)
        if (
            unconfirmed_ms < MIN_UNCONFIRMED_MS
            or not self._lacks_keepalives(holder)
            or not self._responsiveness.may_judge(holder)
        ):
            return False
        agents = self._fleet.agents(service)
        silent_count = sum(
            self._lacks_keepalives(agent.address) for agent in agents
        )
        limit = len(agents) * _responsiveness.MAX_UNRESPONSIVE_SHARE
        if silent_count > limit:
            # This balancer is probably cut off itself.
            return False
        telemetry.log(
            "holder-silent",
            holder=holder,
            silent_ms=self._fleet.keepalive_age_ms(holder),
            unconfirmed_ms=unconfirmed_ms,
            silent_agents=silent_count,
        )
        return True

    def _lacks_keepalives(self, address: core.Address) -> bool:
        # A balancer that has just started may not have had one yet.
        age_ms = self._clock.now_ms() - self._started_ms
        return age_ms > self._fleet.silence_limit_ms and self._fleet.is_silent(
            address
        )
