"""Example configuration: deployment of the Bantay Balat Tubig Foundation.

Usage: python examples/bantay.py > examples/bantay.json
"""

from fireflyford import config

REGION = config.Region(
    name="visayas",
    availability_zones=tuple(
        config.AvailabilityZone(name) for name in ("cebu", "iloilo", "tacloban")
    ),
    zone_delay_ms=0.5,
    caller_delay_ms=1.0,
)


def service(
    name: str, port: int, target_count: int, order: str, sheet: str, feed: str
) -> config.Service:
    """Returns a service with treatments for orders, sheets and a feed."""
    long, feed_kind = config.SizeClass.LONG, config.Kind.FEED
    treatments = (
        config.Treatment(
            order, "POST", "/orders", idempotent=False, priority=8
        ),
        config.Treatment(
            sheet, "GET", "/sheets", size=long, deadline_ms=20_000, priority=3
        ),
        config.Treatment(feed, "GET", "/feed", kind=feed_kind),
    )
    address = f"127.0.0.1:{port}"
    return config.Service(name, address, target_count, treatments=treatments)


TAHIAN = service("tahian", 4433, 7, "patch-order", "work-sheet", "queue-feed")
PADRON = service("padron", 4434, 3, "sheet-order", "pattern-sheet", "news-feed")
DEPLOYMENT = config.Deployment("bantay", (REGION,), (TAHIAN, PADRON))

if __name__ == "__main__":
    print(config.render(DEPLOYMENT), end="")
