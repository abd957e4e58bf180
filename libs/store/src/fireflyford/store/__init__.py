"""Client of the platform's key-value service, and configuration kept there."""

import typing

from fireflyford import core

if typing.TYPE_CHECKING:
    from fireflyford.store._config_store import MAX_VALUE_BYTES
    from fireflyford.store._config_store import Accepted
    from fireflyford.store._config_store import ConfigState
    from fireflyford.store._config_store import ConfigStore
    from fireflyford.store._config_store import Push
    from fireflyford.store._etcd import EtcdStore
    from fireflyford.store._follower import READER_COUNT
    from fireflyford.store._follower import READER_KEY
    from fireflyford.store._follower import TOPIC
    from fireflyford.store._follower import Follower
    from fireflyford.store._follower import Peers
    from fireflyford.store._follower import Source
    from fireflyford.store._join import LEASE_DURATION_S
    from fireflyford.store._join import JoinEntry
    from fireflyford.store._join import find_seeds
    from fireflyford.store._record import AuditEntry
    from fireflyford.store._record import Record
    from fireflyford.store._store import Commit
    from fireflyford.store._store import DeleteRange
    from fireflyford.store._store import Entry
    from fireflyford.store._store import Expectation
    from fireflyford.store._store import Reading
    from fireflyford.store._store import Store
    from fireflyford.store._store import Write

__all__ = [
    "LEASE_DURATION_S",
    "MAX_VALUE_BYTES",
    "READER_COUNT",
    "READER_KEY",
    "TOPIC",
    "Accepted",
    "AuditEntry",
    "Commit",
    "ConfigState",
    "ConfigStore",
    "DeleteRange",
    "Entry",
    "EtcdStore",
    "Expectation",
    "Follower",
    "JoinEntry",
    "Peers",
    "Push",
    "Reading",
    "Record",
    "Source",
    "Store",
    "Write",
    "find_seeds",
]

__getattr__ = core.lazy_exports(
    __name__,
    {
        "_config_store": (
            "MAX_VALUE_BYTES",
            "Accepted",
            "ConfigState",
            "ConfigStore",
            "Push",
        ),
        "_etcd": ("EtcdStore",),
        "_follower": (
            "READER_COUNT",
            "READER_KEY",
            "TOPIC",
            "Follower",
            "Peers",
            "Source",
        ),
        "_join": (
            "LEASE_DURATION_S",
            "JoinEntry",
            "find_seeds",
        ),
        "_record": (
            "AuditEntry",
            "Record",
        ),
        "_store": (
            "Commit",
            "DeleteRange",
            "Entry",
            "Expectation",
            "Reading",
            "Store",
            "Write",
        ),
    },
)
