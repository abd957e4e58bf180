"""Division of the slots of a service between long and short requests."""

from collections.abc import Mapping
import math

from fireflyford.requests import _targets

# Reserves two thirds more slots for short requests than they use. With fewer,
# their waits grow to many service times whenever long requests fill the rest.
_RESERVED_SLOT_UTILIZATION = 0.6
# At least this fraction of all slots stays available to long requests.
_MIN_LONG_SLOT_RATIO = 0.5
_MIN_LONG_LOAD = 0.01


def long_slot_limit(
    target_id: str, reports: Mapping[str, _targets.TargetReport]
) -> int:
    """Returns the number of slots of a target that long requests may use.

    All targets compute the same division from each other's reports. Slots are
    reserved for short requests in proportion to their load; long requests may
    use the others, and at least one slot of each target, so they never starve.

    Args:
        target_id: Name of the target.
        reports: Reports of all targets of the service, including this one.
    """
    slots = sum(report.slot_count for report in reports.values())
    short_load = sum(report.short_load for report in reports.values())
    short_demand = short_load / _RESERVED_SLOT_UTILIZATION
    long_load = sum(report.long_load for report in reports.values())
    target_slots = reports[target_id].slot_count
    if long_load < _MIN_LONG_LOAD:
        return max(1, target_slots - 1)
    max_reserved = math.floor(slots * (1 - _MIN_LONG_SLOT_RATIO))
    reserved = min(max_reserved, math.ceil(short_demand))
    return _target_share(target_id, reports, slots - reserved)


def _target_share(
    target_id: str,
    reports: Mapping[str, _targets.TargetReport],
    long_slots: int,
) -> int:
    target_ids = sorted(reports)
    base, extra = divmod(long_slots, len(target_ids))
    share = base + (target_ids.index(target_id) < extra)
    return max(1, min(reports[target_id].slot_count, share))
