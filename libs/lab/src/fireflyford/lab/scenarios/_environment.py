"""Interface to the deployment that the steps of a scenario act on."""

import abc


class Environment(abc.ABC):
    """A deployment with load, faults and measured figures."""

    @abc.abstractmethod
    async def deploy(self, deployment: str, balancer_count: int) -> None:
        """Starts a deployment."""

    @abc.abstractmethod
    async def wait(self, duration_s: float) -> None:
        """Waits while the load runs."""

    @abc.abstractmethod
    async def add_feeds(self, service: str, count: int) -> None:
        """Opens feeds that stay open until the end, and waits for them."""

    @abc.abstractmethod
    def add_requests(
        self, service: str, kind: str, rate_per_s: float, nominal_ms: float
    ) -> None:
        """Starts sending orders or sheets at a constant rate until the end.

        Args:
            service: Service to call.
            kind: `orders` or `sheets`.
            rate_per_s: Requests started per second.
            nominal_ms: Nominal execution time of each request.
        """

    @abc.abstractmethod
    async def perform_action(
        self, action: str, service: str, values: list[float]
    ) -> None:
        """Performs a change or a fault.

        Args:
            action: Alias of the grammar rule, such as `kill_agent`.
            service: Service that the step names, or empty.
            values: Numbers of the step, in order.
        """

    @abc.abstractmethod
    def random_delay_s(self, limit_s: float) -> float:
        """Returns a random delay that follows from the seed."""

    @abc.abstractmethod
    def schedule_action(
        self, action: str, service: str, values: list[float]
    ) -> None:
        """Performs an action in the background after `values[0]` seconds."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """Waits for background actions, then stops the load."""

    @abc.abstractmethod
    async def measure(self, name: str) -> float:
        """Returns the value of a figure; times are in ms."""
