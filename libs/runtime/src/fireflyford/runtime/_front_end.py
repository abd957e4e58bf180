"""Interfaces that a front end implements."""

import abc
from collections.abc import Callable
from typing import Any

from fireflyford import core
from fireflyford import flows
from fireflyford import store

# Handlers in the form that tornado's application takes.
Handlers = list[Any]


class PacketCodec(abc.ABC):
    """Encodes and decodes packets of clients and backend servers."""

    @abc.abstractmethod
    def decode_client_packet(self, data: bytes) -> core.Outcome[flows.Packet]:
        """Decodes a packet from a client."""

    @abc.abstractmethod
    def decode_target_packet(self, data: bytes) -> core.Outcome[flows.Packet]:
        """Decodes a packet that a backend server sent or returned."""

    @abc.abstractmethod
    def encode_delivery(self, packet: flows.Packet, delivery_tag: int) -> bytes:
        """Encodes a packet for delivery to the backend server."""

    @abc.abstractmethod
    def encode_reset(self, flow: bytes, seq: int) -> bytes:
        """Encodes a reset to the client of a flow."""


class ConfigFormat(abc.ABC):
    """Parses the configuration that operators write."""

    @abc.abstractmethod
    def parse(self, document: bytes) -> core.Outcome[flows.RouteTable]:
        """Parses a configuration.

        Returns:
            The routes, or a failure `BAD_CONFIG`.
        """


class FrontEnd(abc.ABC):
    """Adapter between a process and the platform on which it runs."""

    @property
    @abc.abstractmethod
    def packet_codec(self) -> PacketCodec:
        """The packet codec."""

    @property
    @abc.abstractmethod
    def config_format(self) -> ConfigFormat:
        """The format of the operators' configuration."""

    @abc.abstractmethod
    def open_store(self) -> store.Store:
        """Returns a client of the store."""

    @abc.abstractmethod
    def readiness_handlers(self, is_ready: Callable[[], bool]) -> Handlers:
        """Returns the HTTP handlers for readiness checks of the fabric."""

    @abc.abstractmethod
    def report_handlers(self, monitor: flows.TargetMonitor) -> Handlers:
        """Returns the HTTP handlers for reports of the backend server."""
