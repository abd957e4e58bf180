"""Example configuration: deployment of Hanul Jute Trading.

Usage: python examples/hanul.py > examples/hanul.json
"""

from fireflyford import config

ZONES = ("busan-port", "daegu-yard", "ulsan-depot")
REGION = config.Region(
    name="yeongnam",
    availability_zones=tuple(config.AvailabilityZone(zone) for zone in ZONES),
    zone_delay_ms=1.0,
    caller_delay_ms=3.0,
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


AUCTION_DESK = service(
    "auction-desk", 4433, 7, "reservation", "lot-sheet", "price-board"
)
CATALOGUE = service(
    "catalogue", 4434, 3, "sheet-order", "photo-sheet", "news-feed"
)
DEPLOYMENT = config.Deployment("hanul", (REGION,), (AUCTION_DESK, CATALOGUE))

if __name__ == "__main__":
    print(config.render(DEPLOYMENT), end="")
