"""Addresses and identifiers shared by all libraries."""

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
        """Rejects host names and ports outside 0 to 65535."""
        ipaddress.ip_address(self.host)
        if not 0 <= self.port <= 65535:
            raise ValueError(f"port {self.port} is not in the range 0 to 65535")

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parses `host:port`.

        Raises:
            ValueError: `text` is not an IP address with a port.
        """
        host, _, port = text.rpartition(":")
        return cls(host.strip("[]"), int(port))

    @property
    def pair(self) -> tuple[str, int]:
        """Address tuple for the socket module."""
        return (self.host, self.port)

    def __str__(self) -> str:
        """Formats the address as `host:port`."""
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, order=True)
class Holder:
    """Agent process whose backend server holds a flow.

    Attributes:
        address: Link address of the agent.
        incarnation: Lower 32 bits of the agent's incarnation.
    """

    address: Address
    incarnation: int


class Role(enum.Enum):
    """Role of an instance."""

    BALANCER = "balancer"
    AGENT = "agent"


def service_tag(name: str) -> int:
    """Returns the 64-bit hash of a service name.

    >>> service_tag("tahian") != service_tag("padron")
    True
    """
    return xxhash.xxh64_intdigest(name.encode())
