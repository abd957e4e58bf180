"""How many slots of a service long work may hold."""

from collections.abc import Mapping
import math

from fireflyford.requests import _targets

# Short work keeps two thirds more slots than it uses: with fewer its waits grow
# to many service times whenever long work fills the rest.
_SHORT_HEADROOM_RATIO = 0.6
# At least this part of all slots stays open to long work.
_LONG_MIN_RATIO = 0.5
_MIN_LONG_LOAD = 0.01


def long_slot_limit(
    own_id: str, reports: Mapping[str, _targets.TargetReport]
) -> int:
    """Returns the slots of one target that long work may hold.

    All targets compute the same division from each other's measurements:
    short work keeps slots in proportion to its need, long work may hold the
    others, and one slot of each target at least, so it never starves.

    Args:
        own_id: Name of the target.
        reports: Reports of all targets of the service, its own included.
    """
    slots = sum(report.slot_count for report in reports.values())
    short_load = sum(report.short_load for report in reports.values())
    short_need = short_load / _SHORT_HEADROOM_RATIO
    long_load = sum(report.long_load for report in reports.values())
    own_slots = reports[own_id].slot_count
    if long_load < _MIN_LONG_LOAD:
        return max(1, own_slots - 1)
    limit = math.floor(slots * (1 - _LONG_MIN_RATIO))
    reserved = min(limit, math.ceil(short_need))
    return _own_share(own_id, reports, slots - reserved)


def _own_share(
    own_id: str, reports: Mapping[str, _targets.TargetReport], long_slots: int
) -> int:
    order = sorted(reports)
    base, extra = divmod(long_slots, len(order))
    share = base + (order.index(own_id) < extra)
    return max(1, min(reports[own_id].slot_count, share))
