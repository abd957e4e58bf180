"""Deployments of the two user organisations, as test configurations."""

from fireflyford import config


def _treatments(
    order: str, sheet: str, feed: str
) -> tuple[config.Treatment, config.Treatment, config.Treatment]:
    return (
        config.Treatment(
            name=order,
            method="POST",
            path_prefix="/orders",
            idempotent=False,
            priority=8,
        ),
        config.Treatment(
            name=sheet,
            method="GET",
            path_prefix="/sheets",
            size=config.SizeClass.LONG,
            deadline_ms=20_000,
            priority=3,
        ),
        config.Treatment(
            name=feed,
            method="GET",
            path_prefix="/feed",
            kind=config.Kind.FEED,
        ),
    )


BANTAY = config.Deployment(
    name="bantay",
    regions=(
        config.Region(
            name="visayas",
            availability_zones=(
                config.AvailabilityZone("cebu"),
                config.AvailabilityZone("iloilo"),
                config.AvailabilityZone("tacloban"),
            ),
            zone_delay_ms=0.5,
            caller_delay_ms=1.0,
        ),
    ),
    services=(
        config.Service(
            name="tahian",
            address="127.0.0.1:4433",
            target_count=7,
            treatments=_treatments("patch-order", "work-sheet", "queue-feed"),
        ),
        config.Service(
            name="padron",
            address="127.0.0.1:4434",
            target_count=3,
            treatments=_treatments("sheet-order", "pattern-sheet", "news-feed"),
        ),
    ),
)

HANUL = config.Deployment(
    name="hanul",
    regions=(
        config.Region(
            name="yeongnam",
            availability_zones=(
                config.AvailabilityZone("busan-port"),
                config.AvailabilityZone("daegu-yard"),
                config.AvailabilityZone("ulsan-depot"),
            ),
            zone_delay_ms=1.0,
            caller_delay_ms=3.0,
        ),
    ),
    services=(
        config.Service(
            name="auction-desk",
            address="127.0.0.1:4433",
            target_count=7,
            treatments=_treatments("reservation", "lot-sheet", "price-board"),
        ),
        config.Service(
            name="catalogue",
            address="127.0.0.1:4434",
            target_count=3,
            treatments=_treatments("sheet-order", "photo-sheet", "news-feed"),
        ),
    ),
)

DEPLOYMENTS = {"bantay": BANTAY, "hanul": HANUL}
