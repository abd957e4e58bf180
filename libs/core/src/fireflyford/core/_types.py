"""Identifiers and addresses used across the libraries."""

import dataclasses
import enum
import ipaddress

import xxhash


@dataclasses.dataclass(frozen=True, order=True)
class Address:
    """An IP address and a port.

    >>> str(Address.parse("127.0.0.1:9000"))
    '127.0.0.1:9000'
    """

    host: str
    port: int

    def __post_init__(self) -> None:
        """Rejects host names and ports out of range."""
        ipaddress.ip_address(self.host)
        if not 0 <= self.port <= 65535:
            raise ValueError(f"port {self.port} is not between 0 and 65535")

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parses `host:port`.

        Raises:
            ValueError: The text is not an IP address and a port.
        """
        host, _, port = text.rpartition(":")
        return cls(host.strip("[]"), int(port))

    @property
    def pair(self) -> tuple[str, int]:
        """The address as the socket library takes it."""
        return (self.host, self.port)

    def __str__(self) -> str:
        """Formats the address as `host:port`."""
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, order=True)
class Holder:
    """The agent process that holds a flow.

    Attributes:
        address: Link address of the agent.
        incarnation: Incarnation of the agent, low 32 bits.
    """

    address: Address
    incarnation: int


class Role(enum.Enum):
    """What an instance does."""

    BALANCER = "balancer"
    AGENT = "agent"


def service_tag(name: str) -> int:
    """Returns the 64-bit tag of a service name.

    >>> service_tag("tahian") != service_tag("padron")
    True
    """
    return xxhash.xxh64_intdigest(name.encode())
