"""Key-value store client and the configuration stored in it."""

import typing

from fireflyford import core

if typing.TYPE_CHECKING:
    from fireflyford.store._config_store import MAX_VALUE_BYTES
    from fireflyford.store._config_store import AcceptedPush
    from fireflyford.store._config_store import ConfigState
    from fireflyford.store._config_store import ConfigStore
    from fireflyford.store._config_store import Push
    from fireflyford.store._etcd import EtcdStore
    from fireflyford.store._follower import CONFIG_TOPIC
    from fireflyford.store._follower import READER_COUNT
    from fireflyford.store._follower import READER_KEY
    from fireflyford.store._follower import ConfigFollower
    from fireflyford.store._follower import ConfigPeers
    from fireflyford.store._follower import PullSource
    from fireflyford.store._join import LEASE_DURATION_S
    from fireflyford.store._join import JoinEntry
    from fireflyford.store._join import find_seeds
    from fireflyford.store._record import AuditEntry
    from fireflyford.store._record import ConfigRecord
    from fireflyford.store._store import CommitResult
    from fireflyford.store._store import DeleteRange
    from fireflyford.store._store import Entry
    from fireflyford.store._store import Position
    from fireflyford.store._store import Precondition
    from fireflyford.store._store import ReadResult
    from fireflyford.store._store import Store
    from fireflyford.store._store import Write

__all__ = [
    "CONFIG_TOPIC",
    "LEASE_DURATION_S",
    "MAX_VALUE_BYTES",
    "READER_COUNT",
    "READER_KEY",
    "AcceptedPush",
    "AuditEntry",
    "CommitResult",
    "ConfigFollower",
    "ConfigPeers",
    "ConfigRecord",
    "ConfigState",
    "ConfigStore",
    "DeleteRange",
    "Entry",
    "EtcdStore",
    "JoinEntry",
    "Position",
    "Precondition",
    "PullSource",
    "Push",
    "ReadResult",
    "Store",
    "Write",
    "find_seeds",
]

__getattr__ = core.lazy_exports(
    __name__,
    {
        "_config_store": (
            "MAX_VALUE_BYTES",
            "AcceptedPush",
            "ConfigState",
            "ConfigStore",
            "Push",
        ),
        "_etcd": ("EtcdStore",),
        "_follower": (
            "READER_COUNT",
            "READER_KEY",
            "CONFIG_TOPIC",
            "ConfigFollower",
            "ConfigPeers",
            "PullSource",
        ),
        "_join": (
            "LEASE_DURATION_S",
            "JoinEntry",
            "find_seeds",
        ),
        "_record": (
            "AuditEntry",
            "ConfigRecord",
        ),
        "_store": (
            "CommitResult",
            "DeleteRange",
            "Entry",
            "Position",
            "Precondition",
            "ReadResult",
            "Store",
            "Write",
        ),
    },
)
