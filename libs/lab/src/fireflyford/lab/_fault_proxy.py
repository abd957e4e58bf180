"""Proxy process that injects network faults between two parties.

Usage: `fireflyford-lab fault-proxy --control IP:PORT --seed N`. Links and
faults are controlled over HTTP while it runs:

    POST /links           {"name", "kind", "listen", "target"}
    PUT /faults/NAME      fields of `Faults`; `?source=IP:PORT` for one source
    DELETE /faults/NAME   clears all faults
    GET /status           counts of datagrams and streams by link
"""

import asyncio
import dataclasses
import json
import signal
import sys
from typing import Any
import urllib.request

import msgspec
from tornado import web

from fireflyford import core
from fireflyford.lab import _fault_links
from fireflyford.lab import _faults

_CONTROL_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True)
class LinkRequest:
    """Request to add a link.

    Attributes:
        name: Name of the link, as in `PUT /faults/NAME`.
        kind: Traffic that the link carries.
        listen: `ip:port` to listen on.
        target: `ip:port` to forward to.
    """

    name: str
    kind: _fault_links.LinkKind
    listen: str
    target: str


class _LinksHandler(web.RequestHandler):
    """Adds links."""

    def initialize(
        self,
        links: dict[str, _fault_links.Link],
        factory: _fault_links.LinkFactory,
    ) -> None:
        self._links = links
        self._factory = factory

    async def post(self) -> None:
        link_request = msgspec.json.decode(self.request.body, type=LinkRequest)
        target = core.Address.parse(link_request.target)
        link = self._factory.make(link_request.kind, target)
        await link.listen(core.Address.parse(link_request.listen))
        self._links[link_request.name] = link
        self.finish()


class _FaultsHandler(web.RequestHandler):
    """Sets and clears the faults of a link."""

    def initialize(self, links: dict[str, _fault_links.Link]) -> None:
        self._links = links

    def put(self, name: str) -> None:
        self._set(
            name, msgspec.json.decode(self.request.body, type=_faults.Faults)
        )

    def delete(self, name: str) -> None:
        self._set(name, _faults.Faults())

    def _set(self, name: str, faults: _faults.Faults) -> None:
        link = self._links.get(name)
        if link is None:
            raise web.HTTPError(404)
        link.set_faults(faults, self.get_query_argument("source", ""))
        self.finish()


class _StatusHandler(web.RequestHandler):
    """Reports the traffic counts of all links."""

    def initialize(self, links: dict[str, _fault_links.Link]) -> None:
        self._links = links

    def get(self) -> None:
        self.finish({name: link.counts for name, link in self._links.items()})


def run_fault_proxy(control: str, seed: int = 1) -> None:
    """Runs the proxy until SIGTERM or SIGINT.

    Args:
        control: `ip:port` of the control interface.
        seed: Seed of all random choices.
    """
    asyncio.run(_run(core.Address.parse(control), seed))


async def _run(control: core.Address, seed: int) -> None:
    links: dict[str, _fault_links.Link] = {}
    factory = _fault_links.LinkFactory(seed)
    application = web.Application(
        [
            ("/links", _LinksHandler, {"links": links, "factory": factory}),
            ("/faults/(.+)", _FaultsHandler, {"links": links}),
            ("/status", _StatusHandler, {"links": links}),
        ],
        log_function=lambda handler: None,
    )
    application.listen(control.port, control.host)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    print("ready", file=sys.stderr, flush=True)
    await stopping.wait()


class FaultProxyClient:
    """Client of the fault proxy's control interface.

    Calls block for the few milliseconds that a loopback request takes.
    """

    def __init__(self, address: core.Address) -> None:
        """Takes the address of the control interface."""
        self._base = f"http://{address}"

    def add_link(self, link_request: LinkRequest) -> None:
        """Adds a link.

        Raises:
            OSError: The proxy does not respond or rejects the link.
        """
        self._call("POST", "/links", link_request)

    def set_faults(
        self, name: str, faults: _faults.Faults, source: str = ""
    ) -> None:
        """Sets the faults of a link, or of a single source on it."""
        query = f"?source={source}" if source else ""
        self._call("PUT", f"/faults/{name}{query}", faults)

    def status(self) -> dict[str, dict[str, int]]:
        """Returns the traffic counts by link."""
        status: dict[str, dict[str, int]] = json.loads(
            self._call("GET", "/status", None)
        )
        return status

    def _call(self, method: str, path: str, body: Any) -> bytes:
        request = urllib.request.Request(
            self._base + path,
            method=method,
            data=None if body is None else msgspec.json.encode(body),
        )
        with urllib.request.urlopen(
            request, timeout=_CONTROL_TIMEOUT_S
        ) as reply:
            content: bytes = reply.read()
            return content
