"""How many slots of a service long work may hold."""

from collections.abc import Mapping
import math

from fireflyford.requests import _targets

# Long work needs some free slots, or it queues behind itself. Short work also
# runs on slots that long work leaves free, so its own load is reserve enough.
_LONG_HEADROOM_RATIO = 0.85
_SHORT_HEADROOM_RATIO = 0.75
_MIN_LONG_LOAD = 0.01


def long_allowance(
    own_id: str, reports: Mapping[str, _targets.TargetReport]
) -> int:
    """Returns the slots of one target that long work may hold.

    All targets compute the same division from each other's measurements:
    long and short work get slots in proportion to their needs, and at least
    one slot of each target stays open to long work, so it never starves.

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
    long_need = long_load / _LONG_HEADROOM_RATIO
    if long_need + short_need > slots:
        long_need *= slots / (long_need + short_need)
    reserved = min(slots - math.ceil(long_need), math.ceil(short_need))
    return _own_share(own_id, reports, slots - reserved)


def _own_share(
    own_id: str, reports: Mapping[str, _targets.TargetReport], long_slots: int
) -> int:
    order = sorted(reports)
    base, extra = divmod(long_slots, len(order))
    share = base + (order.index(own_id) < extra)
    return max(1, min(reports[own_id].slot_count, share))
