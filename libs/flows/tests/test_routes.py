"""Which routes are placed by their terms."""

import pytest

from fireflyford import core
from fireflyford import flows


def route(number: int, terms: flows.RouteTerms) -> flows.Route:
    address = core.Address("198.18.0.1", number)
    shares = (flows.Share("board", 1),)
    return flows.Route(f"r{number}", address, shares, True, terms)


@pytest.mark.parametrize(
    ("objective_ms", "limit_ms", "warmup_per_s", "expected"),
    [
        (370, 1_617, 0.0, True),
        (383, 2_157, 0.0, True),
        (302, 1_810, 0.0, True),
        (150, 2_500, 0.0, False),
        (144, 2_000, 0.0, False),
        (878, 4_363, 0.0, False),
        (0, 0, 0.0, False),
        (150, 2_500, 3.0, True),
    ],
)
def test_terms_are_kept_where_a_route_calls_for_them(
    objective_ms: int, limit_ms: int, warmup_per_s: float, expected: bool
) -> None:
    """Guards against routes with much time that are admitted by their limit."""
    terms = flows.RouteTerms(2, objective_ms, limit_ms, True, warmup_per_s)
    table = flows.make_route_table(1, [route(443, terms)])
    (kept,) = table.routes.values()
    assert (kept.terms is not None) is expected


def test_route_without_traffic_does_not_change_how_others_are_placed() -> None:
    """Guards against one short time limit that applies to a whole service."""
    short = flows.RouteTerms(2, 100, 500, True)
    long = flows.RouteTerms(2, 150, 2_500, True)
    table = flows.make_route_table(1, [route(1, short), route(2, long)])
    assert [item.terms for item in table.routes.values()] == [short, None]
