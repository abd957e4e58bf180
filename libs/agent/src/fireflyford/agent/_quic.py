"""QUIC connections whose identifiers name this agent."""

import os

from aioquic.quic import configuration as quic_configuration
from aioquic.quic import connection as quic_connection

from fireflyford import core
from fireflyford import wire

# aioquic keeps up to 8 identifiers for a connection; the path of a flow does
# not change behind the fabric, so 2 are enough and cost less memory.
_MAX_CONNECTION_IDS = 2
_RESET_TOKEN_BYTES = 16


class ConnectionIdSource:
    """Makes connection IDs that name this agent."""

    def __init__(
        self,
        codec: wire.ConnectionIdCodec,
        address: core.Address,
        incarnation: int,
    ) -> None:
        """Takes the link address and incarnation to put into each ID."""
        self._codec = codec
        self._address = address
        self._incarnation = incarnation

    def make(self) -> bytes:
        """Returns a new connection ID of 20 bytes."""
        return self._codec.encode(
            wire.ConnectionId(self._address, self._incarnation, os.urandom(4))
        )


class ServerConnection(quic_connection.QuicConnection):
    """Server side of a QUIC connection with our connection IDs.

    aioquic offers no public way to choose connection IDs, so this class
    overrides the two places that draw them; the version is pinned.
    """

    def __init__(
        self,
        configuration: quic_configuration.QuicConfiguration,
        source: ConnectionIdSource,
        original_destination: bytes,
    ) -> None:
        """Prepares the server side of one connection.

        Args:
            configuration: TLS and transport parameters.
            source: Makes the connection IDs.
            original_destination: Destination ID of the first datagram.
        """
        self._source = source
        super().__init__(
            configuration=configuration,
            original_destination_connection_id=original_destination,
        )
        first = source.make()
        self._host_cids[0].cid = first
        self.host_cid = first
        self._local_initial_source_connection_id = first

    def _replenish_connection_ids(self) -> None:
        limit = min(
            _MAX_CONNECTION_IDS, self._remote_active_connection_id_limit
        )
        while len(self._host_cids) < limit:
            self._host_cids.append(
                quic_connection.QuicConnectionId(
                    cid=self._source.make(),
                    sequence_number=self._host_cid_seq,
                    stateless_reset_token=os.urandom(_RESET_TOKEN_BYTES),
                )
            )
            self._host_cid_seq += 1

    @property
    def awaits_ack(self) -> bool:
        """Whether the other end owes an acknowledgement."""
        return any(space.ack_eliciting_in_flight for space in self._loss.spaces)

    @property
    def round_trip_s(self) -> float:
        """Smoothed round trip, 0 before the first sample."""
        return float(self._loss._rtt_smoothed)

    def retransmit(self, now_s: float) -> None:
        """Sends the oldest unacknowledged data again, as a probe timeout does.

        The probe timeout itself grows to seconds when the round trips of a
        busy instance vary.
        """
        self._loss.reschedule_data(now=now_s)

    def unacknowledged_bytes(self, stream_id: int) -> int:
        """Returns the bytes of a stream that are buffered for sending."""
        stream = self._streams.get(stream_id)
        if stream is None or stream.sender.is_finished:
            return 0
        return len(stream.sender._buffer)
