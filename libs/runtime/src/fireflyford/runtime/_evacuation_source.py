"""Evacuated zones, read from the store or from peers.

Balancers read the keys of evacuated zones together with the configuration, in
one watch of the prefix that both have in common. A balancer without the store
reads the newest view of its peers.
"""

import msgspec

from fireflyford import core
from fireflyford import flows
from fireflyford import store
from fireflyford import telemetry
from fireflyford.runtime import _link_codec

EVACUATION_PATH = "/evacuation"
# Interval at which a balancer without the store reads the view of a peer. Two
# reads, of which one may fail, fit into the 5 s in which an evacuation takes
# effect.
PEER_POLL_MS = 2_000
# A balancer that the store has not answered for this time reads the views of
# peers. Watches end after 10 s; a store that answers late takes 1.5 s more.
STORE_SILENCE_MS = 12_000
# Longer names than those of any deployment would not fit into the datagrams of
# opening packets.
MAX_ZONE_NAME_BYTES = 64
# The body that operators write.
_EMPTY_BODY: dict[str, object] = {}

_View = tuple[int, int, tuple[str, ...]]


def common_prefix(config_key: str, evacuation_prefix: str) -> str:
    """Returns the prefix to watch for the configuration and evacuations.

    >>> common_prefix("op/config", "op/evacuate/")
    'op/'
    >>> common_prefix("op/config", "")
    'op/config'
    """
    if not evacuation_prefix:
        return config_key
    length = 0
    for first, second in zip(config_key, evacuation_prefix, strict=False):
        if first != second:
            break
        length += 1
    return config_key[:length]


class EvacuationKeys:
    """Keeps the evacuated zones of the store and their view."""

    def __init__(self, prefix: str, evacuations: flows.Evacuations) -> None:
        """Initializes without a read.

        Args:
            prefix: Prefix of the keys, empty if zones cannot be evacuated.
            evacuations: Learns each view.
        """
        self._prefix = prefix
        self._evacuations = evacuations
        self._zones: set[str] = set()

    def replace(self, result: store.ReadResult) -> None:
        """Applies a read of all keys."""
        self._zones.clear()
        self._apply(result)

    def change(self, result: store.ReadResult) -> None:
        """Applies written and deleted keys."""
        keys = (*(item.key for item in result.entries), *result.deleted)
        if any(key.startswith(self._prefix) for key in keys):
            self._apply(result)

    def _apply(self, result: store.ReadResult) -> None:
        if not self._prefix:
            return
        for entry in result.entries:
            zone = self._zone(entry.key)
            if zone is not None:
                _check_body(entry)
                self._zones.add(zone)
        for key in result.deleted:
            if key.startswith(self._prefix):
                self._zones.discard(key.removeprefix(self._prefix))
        zones = sorted(self._zones)
        if len(zones) > _link_codec.MAX_ZONE_COUNT:
            telemetry.log("evacuation-keys-left-out", zones=len(zones))
            zones = zones[: _link_codec.MAX_ZONE_COUNT]
        self._evacuations.learn(
            flows.EvacuationView(result.era, result.revision, tuple(zones)),
            "store",
        )

    def _zone(self, key: str) -> str | None:
        """Returns the zone that a key evacuates, None for other keys."""
        if not key.startswith(self._prefix):
            return None
        zone = key.removeprefix(self._prefix)
        size_bytes = len(zone.encode(errors="replace"))
        if (
            not zone
            or "/" in zone
            or not zone.isprintable()
            or size_bytes > MAX_ZONE_NAME_BYTES
        ):
            telemetry.log("evacuation-key-ignored", key=key[:128])
            return None
        return zone


def _check_body(entry: store.Entry) -> None:
    """Logs a body other than the expected one; the key alone counts."""
    try:
        is_expected = msgspec.json.decode(entry.value) == _EMPTY_BODY
    except (ValueError, RecursionError):
        is_expected = False
    if not is_expected:
        telemetry.log("odd-evacuation-body", key=entry.key)


def pack_view(view: flows.EvacuationView | None) -> bytes:
    """Encodes a view for peers; empty if there is none.

    >>> pack_view(flows.EvacuationView(0, 7, ("a",)))
    b'[0,7,["a"]]'
    """
    if view is None:
        return b""
    return msgspec.json.encode((view.era, view.revision, view.zones))


def unpack_view(
    document: bytes,
) -> core.Outcome[flows.EvacuationView | None]:
    """Decodes the view of a peer; fails with `BAD_MESSAGE`."""
    if not document:
        return core.Ok(None)
    try:
        era, revision, zones = msgspec.json.decode(document, type=_View)
        return core.Ok(_link_codec.check_view(era, revision, zones))
    except (ValueError, RecursionError) as error:
        return core.Failure(core.ErrorKind.BAD_MESSAGE, str(error))
