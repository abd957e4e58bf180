"""What the steps of a scenario act on."""

import abc


class Environment(abc.ABC):
    """A running deployment with load, faults and measured figures."""

    @abc.abstractmethod
    async def deploy(self, deployment: str, balancer_count: int) -> None:
        """Starts a deployment."""

    @abc.abstractmethod
    async def wait(self, duration_s: float) -> None:
        """Lets the load run."""

    @abc.abstractmethod
    async def add_feeds(self, service: str, count: int) -> None:
        """Opens feeds that stay open until the end, and waits for them."""

    @abc.abstractmethod
    def add_requests(
        self, service: str, kind: str, rate_per_s: float, duration_ms: float
    ) -> None:
        """Sends orders or sheets at a rate until the end."""

    @abc.abstractmethod
    async def act(self, action: str, service: str, values: list[float]) -> None:
        """Performs one change or fault.

        Args:
            action: Name of the grammar's alternative, such as `kill_agent`.
            service: Service named in the step, else empty.
            values: Numbers of the step, in order.
        """

    @abc.abstractmethod
    def random_delay_s(self, limit_s: float) -> float:
        """Draws a moment from the seed."""

    @abc.abstractmethod
    def spawn(self, action: str, service: str, values: list[float]) -> None:
        """Performs an action in the background, after `values[0]` seconds."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """Waits for background actions, then ends the load."""

    @abc.abstractmethod
    async def measure(self, name: str) -> float:
        """Returns a figure; times are in ms."""
