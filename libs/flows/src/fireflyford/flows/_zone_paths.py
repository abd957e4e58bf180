"""Detection of one-way paths between availability zones.

Only the receiving side notices that messages of a zone do not arrive. Each
process hears from every zone many times a second, so a zone of which nothing
arrives while others are heard does not reach this process. An agent tells the
instances there, which cannot notice it themselves.
"""

from collections.abc import Iterable
import math

from fireflyford import core
from fireflyford import telemetry
from fireflyford.flows import _fleet
from fireflyford.flows import _messages
from fireflyford.flows import _responsiveness
from fireflyford.flows import _types

# Least silence of a zone that counts; longer than the repetition of a few lost
# datagrams and than a burst of work at one receiver.
MIN_SILENCE_MS = 800
# How late messages may be sent and processed on busy machines.
DELAY_ALLOWANCE_MS = 300
# Probability that independent senders leave a longer gap by chance. One such
# gap a day costs less than to notice a lost path some 100 ms later.
GAP_PROBABILITY = 1e-6
# With fewer senders a single lost message leaves a gap of a whole interval.
MIN_INDEPENDENT_SENDERS = 3
# Longest interval between two messages of an agent in a small fleet.
REPORT_INTERVAL_MS = 1_200
# Messages that waited during a pause of this process are read within this time.
SETTLING_MS = 1_000
# Least interval at which an agent tells a zone that it does not hear it.
PATH_REPORT_INTERVAL_MS = 1_000
# Receivers per second beyond which the interval grows: with some 40 bytes each,
# a third of what a node may send for control (docs/CAPACITY.md).
MAX_PATH_REPORTS_PER_S = 25
# Intervals for which a report is valid; tolerates one lost report.
PATH_REPORT_VALIDITY_RATIO = 2.5


def silence_limit_ms(sender_count: int, interval_ms: int) -> int:
    """Returns the silence of a zone that does not occur by chance.

    Args:
        sender_count: Instances of the zone that send messages periodically.
        interval_ms: Longest interval between two messages of one of them.

    >>> silence_limit_ms(16, 1_577), silence_limit_ms(4, 1_131)
    (1211, 1395)
    >>> silence_limit_ms(1, 1_200), silence_limit_ms(100, 1_500)
    (2700, 800)
    """
    if sender_count < MIN_INDEPENDENT_SENDERS:
        return 2 * interval_ms + DELAY_ALLOWANCE_MS
    share = 1 - math.pow(GAP_PROBABILITY, 1 / sender_count)
    return max(MIN_SILENCE_MS, int(interval_ms * share) + DELAY_ALLOWANCE_MS)


class ZonePaths:
    """Zones that do not reach this process, and instances it does not reach."""

    def __init__(
        self,
        clock: core.Clock,
        own_instance: _types.Instance,
        fleet: _fleet.Fleet,
        responsiveness: _responsiveness.Responsiveness,
    ) -> None:
        """Initializes a process that has heard from no zone.

        Args:
            clock: Source of time.
            own_instance: This instance.
            fleet: View of all instances.
            responsiveness: Knows which instances are being restarted.
        """
        self._clock = clock
        self._own_instance = own_instance
        self._fleet = fleet
        self._responsiveness = responsiveness
        # Longest interval between two messages of an agent to this process.
        self.report_interval_ms = REPORT_INTERVAL_MS
        # Time of the last message by zone.
        self._heard_ms: dict[str, int] = {}
        # Zones that are not heard, with the start of the silence.
        self._unheard: dict[str, int] = {}
        # Zones that are heard again and have not been told yet.
        self._heard_again: list[str] = []
        self._next_report_ms = 0
        # Instances that do not hear this zone, with the end of the validity of
        # their reports.
        self._reported_until_ms: dict[core.Address, int] = {}
        self._last_sweep_ms = clock.now_ms()
        # Silence before this time, the end of a pause, does not count.
        self._resumed_ms = clock.now_ms()

    def record_message(self, sender: core.Address) -> None:
        """Records a message, which shows that its zone reaches this process."""
        instance = self._fleet.find(sender)
        if instance is None or sender == self._own_instance.address:
            return
        zone = instance.availability_zone
        now_ms = self._clock.now_ms()
        self._heard_ms[zone] = now_ms
        if self._unheard:
            since_ms = self._unheard.pop(zone, None)
            if since_ms is not None:
                self._heard_again.append(zone)
                telemetry.log(
                    "zone-heard", zone=zone, silent_ms=now_ms - since_ms
                )

    def record_report(
        self, sender: core.Address, report: _messages.PathReport
    ) -> None:
        """Records whether an instance hears this zone."""
        if report.zone != self._own_instance.availability_zone:
            # The address belonged to an instance of another zone before.
            return
        if not report.validity_ms:
            if self._reported_until_ms.pop(sender, None) is not None:
                telemetry.log("path-restored", address=sender)
            return
        if self._is_paused():
            # It may have waited during a pause. Another one will follow.
            return
        if sender not in self._reported_until_ms:
            telemetry.log("path-lost", address=sender)
        self._reported_until_ms[sender] = (
            self._clock.now_ms() + report.validity_ms
        )

    def is_heard(self, zone: str) -> bool:
        """Returns whether messages of a zone reach this process.

        Nothing is known during a pause and shortly after it.
        """
        return zone not in self._unheard or self._is_paused()

    def is_reported(self, address: core.Address) -> bool:
        """Returns whether an instance reports that it misses this zone."""
        until_ms = self._reported_until_ms.get(address)
        return until_ms is not None and self._clock.now_ms() < until_ms

    def is_reachable(self, address: core.Address) -> bool:
        """Returns whether questions reach an instance and answers come back."""
        if not self._reported_until_ms and not self._unheard:
            return True
        instance = self._fleet.find(address)
        return not self.is_reported(address) and (
            instance is None or self.is_heard(instance.availability_zone)
        )

    def unheard_zones(self) -> tuple[str, ...]:
        """Returns the zones that do not reach this process."""
        return tuple(
            sorted(filter(lambda z: not self.is_heard(z), self._unheard))
        )

    def unreachable_count(self) -> int:
        """Returns the number of instances that do not hear this zone."""
        return sum(map(self.is_reported, self._reported_until_ms))

    def sweep(self) -> list[_types.Action]:
        """Must be called periodically; finds zones that are not heard.

        Returns:
            Reports to the instances of these zones.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._last_sweep_ms > _responsiveness.MAX_OWN_PAUSE_MS:
            self._resumed_ms = now_ms
            self._unheard.clear()
            self._heard_again.clear()
        self._last_sweep_ms = now_ms
        self._expire_reports()
        if now_ms - self._resumed_ms >= SETTLING_MS:
            self._find_unheard()
        if not self._unheard and not self._heard_again:
            return []
        actions: list[_types.Action] = [
            action
            for zone in self._heard_again
            for action in self._report([zone], 0)
        ]
        self._heard_again.clear()
        if now_ms >= self._next_report_ms:
            receiver_count = sum(
                len(self._receivers(zone)) for zone in self._unheard
            )
            interval_ms = max(
                PATH_REPORT_INTERVAL_MS,
                receiver_count * 1_000 // MAX_PATH_REPORTS_PER_S,
            )
            self._next_report_ms = now_ms + interval_ms
            actions += self._report(
                self._unheard, int(interval_ms * PATH_REPORT_VALIDITY_RATIO)
            )
        return actions

    def _is_paused(self) -> bool:
        now_ms = self._clock.now_ms()
        return (
            now_ms - self._resumed_ms < SETTLING_MS
            or now_ms - self._last_sweep_ms > _responsiveness.MAX_OWN_PAUSE_MS
        )

    def _expire_reports(self) -> None:
        for address in tuple(self._reported_until_ms):
            if not self.is_reported(address):
                del self._reported_until_ms[address]
                telemetry.log("path-restored", address=address)

    def _find_unheard(self) -> None:
        # Most of the time no zone is silent for the least time that counts, and
        # the instances need not be listed.
        silent = [
            zone
            for zone in self._heard_ms
            if zone not in self._unheard
            and zone != self._own_instance.availability_zone
            and self._silence_ms(zone) >= MIN_SILENCE_MS
        ]
        if not silent:
            return
        sender_counts = self._sender_counts()
        limits_ms = {
            zone: silence_limit_ms(count, self.report_interval_ms)
            for zone, count in sender_counts.items()
        }
        heard = {
            zone
            for zone in self._heard_ms
            if self._silence_ms(zone) < limits_ms.get(zone, MIN_SILENCE_MS)
        }
        if not heard:
            # This process is probably cut off itself.
            return
        for zone in silent:
            if zone in heard or zone not in limits_ms:
                continue
            self._unheard[zone] = self._heard_ms[zone]
            self._next_report_ms = 0
            telemetry.log(
                "zone-not-heard",
                zone=zone,
                silent_ms=self._silence_ms(zone),
                limit_ms=limits_ms[zone],
                senders=sender_counts[zone],
            )

    def _silence_ms(self, zone: str) -> int:
        since_ms = max(self._heard_ms[zone], self._resumed_ms)
        return self._clock.now_ms() - since_ms

    def _sender_counts(self) -> dict[str, int]:
        """Returns the number of agents that report to this process, by zone."""
        services: tuple[str, ...] = (self._own_instance.service,)
        if self._own_instance.role is core.Role.BALANCER:
            services = self._fleet.services()
        counts: dict[str, int] = {}
        for service in services:
            for agent in self._fleet.agents(service):
                if (
                    agent.address != self._own_instance.address
                    and not self._responsiveness.is_restarting(agent.address)
                ):
                    zone = agent.availability_zone
                    counts[zone] = counts.get(zone, 0) + 1
        return counts

    def _report(
        self, zones: Iterable[str], validity_ms: int
    ) -> list[_types.Action]:
        return [
            _messages.Send(address, _messages.PathReport(zone, validity_ms))
            for zone in zones
            for address in self._receivers(zone)
        ]

    def _receivers(self, zone: str) -> list[core.Address]:
        """Returns the instances of a zone that ask this agent.

        Nobody asks a balancer, or an agent of another service.
        """
        if self._own_instance.role is core.Role.BALANCER:
            return []
        instances = (
            *self._fleet.balancers(),
            *self._fleet.agents(self._own_instance.service),
        )
        return [
            item.address for item in instances if item.availability_zone == zone
        ]
