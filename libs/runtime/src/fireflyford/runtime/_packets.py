"""What a front end provides: the encoding of packets and of documents."""

import abc
from collections.abc import Callable
from typing import Any

from fireflyford import core
from fireflyford import flows
from fireflyford import store

# Handlers as tornado's application takes them.
Rules = list[Any]


class PacketCodec(abc.ABC):
    """Encoding of the packets that clients and backend servers exchange."""

    @abc.abstractmethod
    def from_client(self, data: bytes) -> core.Outcome[flows.Packet]:
        """Decodes a packet that a client sent."""

    @abc.abstractmethod
    def from_target(self, data: bytes) -> core.Outcome[flows.Packet]:
        """Decodes a packet that a backend server sent or returned."""

    @abc.abstractmethod
    def deliverable(self, packet: flows.Packet, note: int) -> bytes:
        """Returns the packet for a backend server, with a note."""

    @abc.abstractmethod
    def reset(self, flow: bytes, seq: int) -> bytes:
        """Encodes a reset of the system's own, for the client of a flow."""


class ConfigFormat(abc.ABC):
    """Format of the configuration that operators write."""

    @abc.abstractmethod
    def parse(self, document: bytes) -> core.Outcome[flows.RouteTable]:
        """Reads a configuration.

        Returns:
            The routes, or a failure `BAD_CONFIG`.
        """


class FrontEnd(abc.ABC):
    """Everything through which a process meets its surroundings."""

    @property
    @abc.abstractmethod
    def packets(self) -> PacketCodec:
        """Encoding of packets."""

    @property
    @abc.abstractmethod
    def config_format(self) -> ConfigFormat:
        """Format of the operators' configuration."""

    @abc.abstractmethod
    def open_store(self) -> store.Store:
        """Returns a client of the store."""

    @abc.abstractmethod
    def readiness_handlers(self, is_ready: Callable[[], bool]) -> Rules:
        """Returns the HTTP handlers that tell the fabric of readiness."""

    @abc.abstractmethod
    def report_handlers(self, listener: flows.TargetMonitor) -> Rules:
        """Returns the HTTP handlers through which a backend server reports."""
