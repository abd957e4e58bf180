"""QUIC connections whose connection IDs identify this agent."""

import os

from aioquic.quic import configuration as quic_configuration
from aioquic.quic import connection as quic_connection

from fireflyford import core
from fireflyford import wire

# aioquic issues up to 8 connection IDs for each connection. The path of a flow
# does not change behind the fabric, so 2 suffice and take less memory.
_MAX_CONNECTION_IDS = 2
_RESET_TOKEN_BYTES = 16


class ConnectionIdSource:
    """Generator of connection IDs that identify this agent."""

    def __init__(
        self,
        codec: wire.ConnectionIdCodec,
        address: core.Address,
        incarnation: int,
    ) -> None:
        """Initializes the source.

        Args:
            codec: Encoding of connection IDs.
            address: Link address of this agent.
            incarnation: Link incarnation of this agent.
        """
        self._codec = codec
        self._address = address
        self._incarnation = incarnation

    def make(self) -> bytes:
        """Returns a new connection ID of 20 bytes."""
        return self._codec.encode(
            wire.ConnectionId(self._address, self._incarnation, os.urandom(4))
        )


class ServerConnection(quic_connection.QuicConnection):
    """Server side of a QUIC connection with custom connection IDs.

    aioquic has no public API for choosing connection IDs, so this class
    overrides the two places that generate them; its version is pinned.
    """

    def __init__(
        self,
        configuration: quic_configuration.QuicConfiguration,
        connection_id_source: ConnectionIdSource,
        original_destination: bytes,
    ) -> None:
        """Initializes the server side of a connection.

        Args:
            configuration: TLS and transport parameters.
            connection_id_source: Generator of connection IDs.
            original_destination: Destination connection ID of the first
                datagram.
        """
        self._connection_id_source = connection_id_source
        super().__init__(
            configuration=configuration,
            original_destination_connection_id=original_destination,
        )
        first_id = connection_id_source.make()
        self._host_cids[0].cid = first_id
        self.host_cid = first_id
        self._local_initial_source_connection_id = first_id

    def _replenish_connection_ids(self) -> None:
        limit = min(
            _MAX_CONNECTION_IDS, self._remote_active_connection_id_limit
        )
        while len(self._host_cids) < limit:
            self._host_cids.append(
                quic_connection.QuicConnectionId(
                    cid=self._connection_id_source.make(),
                    sequence_number=self._host_cid_seq,
                    stateless_reset_token=os.urandom(_RESET_TOKEN_BYTES),
                )
            )
            self._host_cid_seq += 1

    @property
    def awaits_ack(self) -> bool:
        """Whether the peer has to acknowledge data in flight."""
        return any(space.ack_eliciting_in_flight for space in self._loss.spaces)

    @property
    def round_trip_s(self) -> float:
        """Smoothed round-trip time, 0 before the first sample."""
        return float(self._loss._rtt_smoothed)

    def retransmit(self, now_s: float) -> None:
        """Retransmits the oldest unacknowledged data.

        This is what a probe timeout does, but the probe timeout grows to
        seconds when the round-trip times of a busy instance vary.
        """
        self._loss.reschedule_data(now=now_s)

    def unacknowledged_bytes(self, stream_id: int) -> int:
        """Returns the number of buffered bytes of a stream."""
        stream = self._streams.get(stream_id)
        if stream is None or stream.sender.is_finished:
            return 0
        return len(stream.sender._buffer)
