"""Operators' configuration, read from the store or from peers."""

import abc
from collections.abc import Callable
import random

from tornado import httpclient

from fireflyford import core
from fireflyford import flows
from fireflyford import store
from fireflyford import telemetry
from fireflyford.runtime import _evacuation_source
from fireflyford.runtime import _front_end
from fireflyford.runtime import _http
from fireflyford.runtime import _prefix_follower

CONFIG_PATH = "/config"
# Peers answer within milliseconds.
PEER_TIMEOUT_MS = 800
# Delay before another attempt to fetch a version that a peer has announced.
PULL_RETRY_MS = 200


class ConfigSource(_prefix_follower.PrefixListener):
    """Applies newer configurations and keeps the document in force."""

    def __init__(
        self,
        client: store.Store,
        clock: core.Clock,
        rng: random.Random,
        key: str,
        config_format: _front_end.ConfigFormat,
        apply: Callable[[flows.RouteTable], bool],
        evacuation_prefix: str,
        evacuations: flows.Evacuations,
    ) -> None:
        """Prepares to follow the configuration.

        Args:
            client: The store.
            clock: Source of time.
            rng: Source of jitter.
            key: Key of the configuration.
            config_format: Format of the document.
            apply: Applies a configuration if it is newer; returns whether it
                was.
            evacuation_prefix: Prefix of the keys that evacuate a zone, empty
                if zones cannot be evacuated.
            evacuations: Learns the evacuated zones.
        """
        self._evacuation_keys = _evacuation_source.EvacuationKeys(
            evacuation_prefix, evacuations
        )
        self._format = config_format
        self._key = key
        self._apply = apply
        self.document = b""
        self._version = 0
        self.follower = _prefix_follower.PrefixFollower(
            client,
            clock,
            rng,
            _evacuation_source.common_prefix(key, evacuation_prefix),
            self,
        )

    def apply_document(self, document: bytes, source: str) -> bool:
        """Applies a document if it is newer; returns whether it was applied."""
        outcome = self._format.parse(document)
        if isinstance(outcome, core.Failure):
            telemetry.log(
                "config-held-back", source=source, reason=outcome.message
            )
            return False
        version = outcome.value.version
        if version < self._version and source == "store":
            # The store was restored from a copy; the operator writes the
            # version in force again.
            telemetry.log(
                "config-behind", version=version, kept_version=self._version
            )
        if not self._apply(outcome.value):
            return False
        self._version = version
        telemetry.log("config-taken", source=source, version=version)
        self.document = document
        return True

    def handle_full_read(self, result: store.ReadResult) -> None:
        """Applies the configuration and evacuations of a full read."""
        self._evacuation_keys.replace(result)
        self._apply_config(result)

    def handle_changes(self, result: store.ReadResult) -> None:
        """Applies a changed configuration and changed evacuations."""
        self._evacuation_keys.change(result)
        self._apply_config(result)

    def _apply_config(self, result: store.ReadResult) -> None:
        for entry in result.entries:
            if entry.key == self._key:
                self.apply_document(entry.value, "store")


class PeerClient(abc.ABC):
    """Client for documents that peers serve at their status addresses."""

    @abc.abstractmethod
    async def read(
        self, address: core.Address, path: str
    ) -> core.Outcome[bytes]:
        """Reads a document from the status address of a peer."""


class HttpPeerClient(PeerClient):
    """Reads documents of peers over HTTP."""

    def __init__(self) -> None:
        """Prepares the client; the first read creates its HTTP client."""
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
