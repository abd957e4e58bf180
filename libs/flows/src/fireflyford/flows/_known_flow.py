"""Flows that a balancer knows, told apart by their sequence numbers."""

from fireflyford import core
from fireflyford.flows import _types

# Sequence numbers that are at most this far apart belong to the same flow. More
# than a client sends or receives between two packets through one balancer; two
# flows start that close to each other with a probability of 1 in 2,048.
SAME_FLOW_WINDOW_BYTES = 1 << 20
# A known flow follows the sequence numbers of packets beyond this window.
_UPDATE_WINDOW_BYTES = SAME_FLOW_WINDOW_BYTES // 2
_SEQUENCE_MODULUS = _types.SEQUENCE_MODULUS
_UPDATE_WINDOW_END = _SEQUENCE_MODULUS - _UPDATE_WINDOW_BYTES


class KnownFlow:
    """A flow whose holder has been reported to this balancer.

    It is updated in place, because a copy for each packet would take as long as
    the rest of the decision.
    """

    __slots__ = ("ack", "data_seq", "has_repeats", "holder", "seq", "service")

    def __init__(
        self,
        service: str,
        holder: core.Address | None,
        seq: int,
        ack: int | None,
        data_seq: int | None = None,
    ) -> None:
        """Initializes a flow.

        Args:
            service: Service of the holder.
            holder: The holder, None after it has reported that it no longer
                holds the flow.
            seq: A recent sequence number of the client, which distinguishes the
                flow from others that use the same ports.
            ack: A recent acknowledgment number of the client, None before the
                first one.
            data_seq: Highest sequence number of data of a long-lived flow, None
                before the first one.
        """
        self.service = service
        self.holder = holder
        self.seq = seq
        self.ack = ack
        self.data_seq = data_seq
        # Whether the client has repeated this data.
        self.has_repeats = False

    def accept(self, packet: _types.Packet) -> bool:
        """Returns whether a packet belongs to this flow.

        An opening packet belongs to it if it is a copy of the one that opened
        it; any other one opens a new flow. The sequence numbers follow those of
        the packets once they are half a window apart.
        """
        if packet.opens:
            return self.seq == packet.seq
        distance = (packet.seq - self.seq) % _SEQUENCE_MODULUS
        if (
            SAME_FLOW_WINDOW_BYTES
            <= distance
            <= _SEQUENCE_MODULUS - SAME_FLOW_WINDOW_BYTES
        ):
            return False
        if (
            self.ack is None
            or _UPDATE_WINDOW_BYTES <= distance <= _UPDATE_WINDOW_END
            or _UPDATE_WINDOW_BYTES
            <= (packet.ack - self.ack) % _SEQUENCE_MODULUS
            <= _UPDATE_WINDOW_END
        ):
            self.seq = packet.seq
            if packet.acknowledges:
                self.ack = packet.ack
        return True

    def accept_data(self, packet: _types.Packet) -> bool:
        """Returns whether a packet has new data of a long-lived flow."""
        if self.data_seq is not None and not (
            0
            < (packet.seq - self.data_seq) % _SEQUENCE_MODULUS
            < _SEQUENCE_MODULUS // 2
        ):
            self.has_repeats = True
            return False
        self.data_seq = packet.seq
        self.has_repeats = False
        return True

    def is_of(self, service: str | None, ack: int) -> bool:
        """Returns whether an answer of a service is about this flow."""
        return (
            self.service == service
            and self.ack is not None
            and is_near(self.ack, ack)
        )


def is_near(first: int, second: int) -> bool:
    """Returns whether two sequence numbers may be of the same flow."""
    distance = (second - first) % _SEQUENCE_MODULUS
    return (
        distance < SAME_FLOW_WINDOW_BYTES
        or distance > _SEQUENCE_MODULUS - SAME_FLOW_WINDOW_BYTES
    )
