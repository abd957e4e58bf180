"""The operators' configuration, from the store or from peers."""

import abc
from collections.abc import Callable
import random

from tornado import httpclient

from fireflyford import core
from fireflyford import flows
from fireflyford import store
from fireflyford import telemetry
from fireflyford.runtime import _follow
from fireflyford.runtime import _http
from fireflyford.runtime import _packets

CONFIG_PATH = "/config"
# Peers answer within milliseconds.
PEER_TIMEOUT_MS = 800
# Pause between attempts to get a version that a peer has announced.
PULL_RETRY_MS = 200


class ConfigSource(_follow.Listener):
    """Keeps the newest configuration that this instance has seen."""

    def __init__(
        self,
        client: store.Store,
        clock: core.Clock,
        rng: random.Random,
        key: str,
        config_format: _packets.ConfigFormat,
        apply: Callable[[flows.RouteTable], bool],
    ) -> None:
        """Prepares to follow the configuration.

        Args:
            client: The store.
            clock: Source of time.
            rng: Source of jitter.
            key: Key of the configuration.
            config_format: Format of the document.
            apply: Takes a configuration; returns whether it was newer.
        """
        self._format = config_format
        self._key = key
        self._apply = apply
        self.document = b""
        self.follower = _follow.PrefixFollower(client, clock, rng, key, self)

    def offer(self, document: bytes, source: str) -> bool:
        """Takes a document; returns whether it is in force now."""
        outcome = self._format.parse(document)
        if isinstance(outcome, core.Failure):
            telemetry.log(
                "config-held-back", source=source, reason=outcome.message
            )
            return False
        if not self._apply(outcome.value):
            return False
        telemetry.log(
            "config-taken", source=source, version=outcome.value.version
        )
        self.document = document
        return True

    def take_all(self, reading: store.ReadResult) -> None:
        """Takes the configuration of a reading."""
        self.take_changes(reading)

    def take_changes(self, reading: store.ReadResult) -> None:
        """Takes a changed configuration."""
        for entry in reading.entries:
            if entry.key == self._key:
                self.offer(entry.value, "store")


class PeerPages(abc.ABC):
    """Documents that running instances give to each other."""

    @abc.abstractmethod
    async def read(
        self, address: core.Address, path: str
    ) -> core.Outcome[bytes]:
        """Reads a document from the status address of a peer."""


class HttpPeerPages(PeerPages):
    """Documents of peers over HTTP."""

    def __init__(self) -> None:
        """Prepares without a connection."""
        self._client: httpclient.AsyncHTTPClient | None = None

    async def read(
        self, address: core.Address, path: str
    ) -> core.Outcome[bytes]:
        """Reads a document; fails with `INSTANCE_UNREACHABLE`."""
        url = f"http://{address}{path}"
        timeout_s = PEER_TIMEOUT_MS / 1000
        if self._client is None:
            self._client = _http.make_http_client()
        try:
            reply = await self._client.fetch(
                url, connect_timeout=timeout_s, request_timeout=timeout_s
            )
        except (OSError, httpclient.HTTPError) as error:
            return core.Failure(
                core.ErrorKind.INSTANCE_UNREACHABLE, f"{url}: {error}"
            )
        return core.Ok(reply.body)
