"""Documents that a process serves at its status address."""

from collections.abc import Callable
import functools
import gzip
from typing import Any

from tornado import web

# Smaller documents fit a few packets as they are.
MIN_COMPRESSED_BYTES = 4_096
# Repetitive JSON shrinks to a tenth at the fastest level too.
_COMPRESSION_LEVEL = 1


@functools.lru_cache(maxsize=2)
def _compress(document: bytes) -> bytes:
    """Compresses a document, once for all who ask for the same version."""
    return gzip.compress(document, _COMPRESSION_LEVEL, mtime=0)


class DocumentHandler(web.RequestHandler):
    """Serves one document of the process."""

    def initialize(self, read: Callable[[], bytes]) -> None:
        """Sets the function that returns the document."""
        self._read = read

    def get(self) -> None:
        """Responds with the document, compressed if the client decodes that."""
        document = self._read()
        accepted = self.request.headers.get("Accept-Encoding", "")
        if "gzip" in accepted and len(document) >= MIN_COMPRESSED_BYTES:
            self.set_header("Content-Encoding", "gzip")
            document = _compress(document)
        self.finish(document)


def serve(
    path: str, read: Callable[[], bytes]
) -> tuple[str, Any, dict[str, Any]]:
    """Returns the handler of a document.

    Args:
        path: Path at the status address.
        read: Returns the document.
    """
    return (path, DocumentHandler, {"read": read})
