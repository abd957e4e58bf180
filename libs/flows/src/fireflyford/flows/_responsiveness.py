"""Which instances do not answer, judged by the queries of one process.

A query is a message that its receiver answers at once: a search, an offer of a
new flow, or a packet whose holder a directory agent is asked for. Any message
of an instance shows that it runs.
"""

from collections.abc import Callable
from collections.abc import Iterable

from fireflyford import core
from fireflyford import telemetry
from fireflyford.flows import _messages

# Queries that have to stay unanswered, their least distance, and the time from
# the first one on: longer than a few lost datagrams and than a short pause of
# the instance, and short enough for a client to try again within its limit.
MIN_QUERY_COUNT = 3
MIN_QUERY_GAP_MS = 150
MIN_SILENCE_MS = 600
# A longer gap between two queries restarts the count: nothing is known about
# the time between them.
MAX_QUERY_GAP_MS = 1_000
# A process that has not swept for this time was itself paused. A sweep is due
# every 60 ms; a busy machine delays it by some tens of milliseconds.
MAX_OWN_PAUSE_MS = 250
# After a pause, messages that arrived during it are still read for this time.
SETTLING_MS = 100
# How long an instance that announced a restart is waited for. Its next process
# starts within 1.5 s, later on a machine where many start.
RESTART_LIMIT_MS = 5_000
# A process that has just started has missed the announcements of instances that
# stopped before. Until their next processes run, it judges no instance that it
# has not heard from.
UNHEARD_WAIT_MS = RESTART_LIMIT_MS
# If a larger share of the agents of a service is silent, this process is
# probably cut off from them.
MAX_UNRESPONSIVE_SHARE = 0.5
# For how long a silent directory agent is avoided at first. The time doubles
# with each further silence, as one that is gone costs each flow a timeout.
MIN_AVOIDANCE_MS = 1_000
MAX_AVOIDANCE_MS = 8_000


class _Silence:
    """Unanswered queries to one instance."""

    def __init__(self, now_ms: int):
        self.first_ms = now_ms
        self.counted_ms = now_ms
        self.last_ms = now_ms
        self.count = 1
        self.is_logged = False


def _announces_always(address: core.Address) -> bool:
    del address
    return True


class Responsiveness:
    """Judges instances by their answers to the queries of this process."""

    def __init__(
        self,
        clock: core.Clock,
        announces_restarts: Callable[[core.Address], bool] | None = None,
    ) -> None:
        """Initializes a judge that has sent no query.

        Args:
            clock: Source of time.
            announces_restarts: Whether an instance that has been heard from
                announces planned restarts. Another one may be silent because
                of a restart that nobody knows of. Defaults to all.
        """
        self._clock = clock
        self._started_ms = clock.now_ms()
        self._announces_restarts = announces_restarts or _announces_always
        self._silences: dict[core.Address, _Silence] = {}
        # Instances that this process has had a message of.
        self._heard: set[core.Address] = set()
        # Time and incarnation of processes that announced a restart.
        self._restarts: dict[core.Address, tuple[int, int]] = {}
        self._last_sweep_ms = clock.now_ms()
        self._settled_ms = 0
        # Whether this process started together with its backend server, so
        # that it was not a planned restart of the agent alone.
        self.is_after_crash = False

    def record_query(self, address: core.Address) -> None:
        """Records a query that expects an answer."""
        now_ms = self._clock.now_ms()
        if self._restarts and self.is_restarting(address):
            # Paces further queries, but is no evidence of silence.
            self._silences[address] = _Silence(now_ms)
            return
        silence = self._silences.get(address)
        if silence is None or now_ms - silence.last_ms > MAX_QUERY_GAP_MS:
            self._silences[address] = _Silence(now_ms)
            return
        silence.last_ms = now_ms
        if now_ms - silence.counted_ms >= MIN_QUERY_GAP_MS:
            silence.counted_ms = now_ms
            silence.count += 1

    def record_message(self, address: core.Address) -> None:
        """Records a message of an instance, which ends its silence."""
        self._heard.add(address)
        if not self._silences:
            return
        silence = self._silences.pop(address, None)
        if silence is not None and silence.is_logged:
            telemetry.log(
                "instance-responsive",
                address=address,
                silent_ms=self._clock.now_ms() - silence.first_ms,
            )

    def record_planned_restart(
        self, address: core.Address, incarnation: int
    ) -> None:
        """Records that a process announced that another one will follow it."""
        known = self._restarts.get(address)
        if known is not None and known[1] > incarnation:
            return
        if known is None:
            telemetry.log("restart-announced", address=address)
        self._restarts[address] = (self._clock.now_ms(), incarnation)
        self._silences.pop(address, None)

    def record_heartbeat(self, heartbeat: _messages.Heartbeat) -> None:
        """Ends the wait for a process that starts, or that does not follow."""
        address = heartbeat.instance.address
        known = self._restarts.get(address)
        if known is not None and (
            heartbeat.leaving or heartbeat.instance.incarnation > known[1]
        ):
            del self._restarts[address]

    def is_restarting(self, address: core.Address) -> bool:
        """Returns whether the next process of an instance is awaited."""
        known = self._restarts.get(address)
        if known is None:
            return False
        if self._clock.now_ms() - known[0] < RESTART_LIMIT_MS:
            return True
        del self._restarts[address]
        return False

    def restarting(self) -> tuple[tuple[core.Address, int], ...]:
        """Returns address and incarnation of processes that are replaced."""
        return tuple(
            (address, self._restarts[address][1])
            for address in tuple(self._restarts)
            if self.is_restarting(address)
        )

    def may_judge(self, address: core.Address) -> bool:
        """Returns whether silence of an instance tells that it does not run."""
        now_ms = self._clock.now_ms()
        if self.is_paused() or self.is_restarting(address):
            return False
        if address in self._heard:
            return self._announces_restarts(address)
        return (
            self.is_after_crash or now_ms - self._started_ms >= UNHEARD_WAIT_MS
        )

    def is_paused(self) -> bool:
        """Returns whether this process has not read its messages yet."""
        now_ms = self._clock.now_ms()
        return (
            now_ms < self._settled_ms
            or now_ms - self._last_sweep_ms > MAX_OWN_PAUSE_MS
        )

    def is_unresponsive(self, address: core.Address) -> bool:
        """Returns whether an instance leaves the queries unanswered."""
        silence = self._silences.get(address)
        if silence is None or silence.count < MIN_QUERY_COUNT:
            return False
        now_ms = self._clock.now_ms()
        if (
            now_ms - silence.first_ms < MIN_SILENCE_MS
            or now_ms - silence.last_ms > MAX_QUERY_GAP_MS
            or not self.may_judge(address)
        ):
            return False
        if not silence.is_logged:
            silence.is_logged = True
            telemetry.log(
                "instance-unresponsive",
                address=address,
                queries=silence.count,
                silent_ms=now_ms - silence.first_ms,
            )
        return True

    def unanswered_ms(self, address: core.Address) -> int:
        """Returns the age of the first unanswered query, 0 if there is none."""
        silence = self._silences.get(address)
        return 0 if silence is None else self._clock.now_ms() - silence.first_ms

    def needs_query(self, address: core.Address) -> bool:
        """Returns whether another query would count."""
        silence = self._silences.get(address)
        return (
            silence is None
            or self._clock.now_ms() - silence.counted_ms >= MIN_QUERY_GAP_MS
        )

    def unresponsive(
        self, agents: Iterable[core.Address]
    ) -> frozenset[core.Address]:
        """Returns the unresponsive ones of all agents of a service.

        Returns none if there are so many that this process is probably cut
        off itself.
        """
        if not self._silences:
            return frozenset()
        listed = tuple(agents)
        found = frozenset(filter(self.is_unresponsive, listed))
        if len(found) > len(listed) * MAX_UNRESPONSIVE_SHARE:
            return frozenset()
        return found

    def unresponsive_count(self) -> int:
        """Returns the number of unresponsive instances."""
        return sum(map(self.is_unresponsive, tuple(self._silences)))

    def sweep(self) -> None:
        """Must be called periodically; notices pauses of this process.

        Time during a pause does not count as silence of others.
        """
        now_ms = self._clock.now_ms()
        pause_ms = now_ms - self._last_sweep_ms
        self._last_sweep_ms = now_ms
        if pause_ms > MAX_OWN_PAUSE_MS:
            self._settled_ms = now_ms + SETTLING_MS
            for silence in self._silences.values():
                silence.first_ms += pause_ms
        self._silences = {
            address: silence
            for address, silence in self._silences.items()
            if now_ms - silence.last_ms <= MAX_QUERY_GAP_MS
        }


class Avoidance:
    """Directory agents that are not asked for a while after a silence."""

    def __init__(self, clock: core.Clock) -> None:
        """Initializes with no instance to avoid."""
        self._clock = clock
        # End of the time in which an instance is avoided, and its duration.
        self._avoided: dict[core.Address, tuple[int, int]] = {}

    def __contains__(self, address: object) -> bool:
        """Returns whether an instance is avoided."""
        known = self._avoided.get(address)  # type: ignore[call-overload]
        return known is not None and self._clock.now_ms() < known[0]

    def record_silence(self, address: core.Address) -> int:
        """Records an unanswered question.

        Returns:
            For how long the instance is avoided from now on, 0 if it already
            was.
        """
        if address in self:
            return 0
        _, duration_ms = self._avoided.get(address, (0, 0))
        duration_ms = min(
            max(MIN_AVOIDANCE_MS, 2 * duration_ms), MAX_AVOIDANCE_MS
        )
        self._avoided[address] = (
            self._clock.now_ms() + duration_ms,
            duration_ms,
        )
        return duration_ms

    def record_message(self, address: core.Address) -> None:
        """Records a message of an instance, which is asked again."""
        if self._avoided:
            self._avoided.pop(address, None)
