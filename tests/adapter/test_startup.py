"""Start of a process: sockets, first configuration, documents for peers."""

import asyncio
import json
import pathlib
import socket

import pytest
from tornado import testing
from tornado import web

from fireflyford import core
from fireflyford.platform import _early_sockets
from fireflyford.runtime import _config_source
from fireflyford.runtime import _documents
from fireflyford.runtime import _link

HOST = "127.1.0.77"
LINK_PORT = 17_790
OUTBOUND_PORT = 17_791


def write_boot(path: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> None:
    boot = {
        "ip": HOST,
        "internal_ports": [LINK_PORT, LINK_PORT + 10],
        "service": "board",
        "listen": {"outbound": f"{HOST}:{OUTBOUND_PORT}"},
    }
    path.write_text(json.dumps(boot))
    monkeypatch.setenv("FIREFLYFORD_BOOT", str(path))


def test_datagrams_that_arrive_while_a_program_loads_are_received(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against opening packets that are lost during a restart."""
    write_boot(tmp_path / "boot.json", monkeypatch)
    sockets = _early_sockets.bind_sockets()
    assert set(sockets) == {(HOST, LINK_PORT), (HOST, OUTBOUND_PORT)}
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as client:
        client.sendto(b"early", (HOST, OUTBOUND_PORT))
    received: list[bytes] = []

    async def read() -> None:
        opened = _link.DatagramSocket(lambda data, _: received.append(data))
        await opened.open(bound=sockets[HOST, OUTBOUND_PORT])
        while not received:
            await asyncio.sleep(0.01)
        opened.close()

    asyncio.run(asyncio.wait_for(read(), 5))
    sockets[HOST, LINK_PORT].close()
    assert received == [b"early"]


@pytest.mark.parametrize("text", ["", "[]", '{"ip": 1}', "nothing"])
def test_unreadable_settings_do_not_prevent_the_start(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, text: str
) -> None:
    """Guards against a program that ends without its own error message."""
    path = tmp_path / "boot.json"
    path.write_text(text)
    monkeypatch.setenv("FIREFLYFORD_BOOT", str(path))
    assert _early_sockets.bind_sockets() == {}


DOCUMENT = json.dumps(
    [{"name": f"route-{number}", "priority": 2} for number in range(2_000)]
).encode()


class DocumentTest(testing.AsyncHTTPTestCase):
    """Documents for peers, over a loopback connection."""

    def get_app(self) -> web.Application:
        """Serves one large document."""
        handler = _documents.DocumentHandler
        return web.Application(
            [("/config", handler, {"read": lambda: DOCUMENT})]
        )

    def test_large_document_is_compressed_for_peers(self) -> None:
        """Guards against a start that waits a second for a slow link."""
        headers = {"Accept-Encoding": "gzip"}
        raw = self.fetch("/config", headers=headers, decompress_response=False)
        assert len(raw.body) < len(DOCUMENT) / 5
        assert self.fetch("/config").body == DOCUMENT

    def test_peer_of_an_earlier_release_gets_the_plain_document(self) -> None:
        """Guards against documents that an earlier release cannot read."""
        plain = self.fetch("/config", decompress_response=False)
        assert plain.body == DOCUMENT

    @testing.gen_test
    async def test_peer_client_decodes_compressed_documents(self) -> None:
        """Guards against a pulled configuration that cannot be parsed."""
        client = _config_source.HttpPeerClient()
        address = core.Address("127.0.0.1", self.get_http_port())
        outcome = await client.read(address, "/config")
        assert outcome == core.Ok(DOCUMENT)
