"""Authorization of callers by token, before any work is done."""

import hashlib
import hmac

from fireflyford import config
from fireflyford import core
from fireflyford.agent import _connection

TOKEN_HEADER = "authorization"
_AUTH_SCHEME = "Bearer "
_TAG_BYTES = 16


def make_token(key: bytes, caller: str) -> str:
    """Returns the token of a caller.

    Args:
        key: Caller key of the service, 16 to 32 bytes.
        caller: Name of the caller; must not contain a dot.

    >>> make_token(b"k" * 16, "buyer").startswith("buyer.")
    True
    """
    tag = hashlib.blake2s(
        caller.encode(), key=key, digest_size=_TAG_BYTES
    ).hexdigest()
    return f"{caller}.{tag}"


class AuthorizationHandler(_connection.RequestHandler):
    """Rejects unauthorized requests and passes on all others."""

    def __init__(
        self,
        key: bytes,
        service: config.Service,
        inner_handler: _connection.RequestHandler,
    ) -> None:
        """Initializes the handler.

        Args:
            key: Caller key; empty if the service is open to everyone.
            service: Service with the list of authorized callers.
            inner_handler: Handler of authorized requests.
        """
        self._key = key
        self.service = service
        self._inner_handler = inner_handler
        self.refused_count = 0

    async def handle(
        self,
        request: _connection.Request,
        response: _connection.ResponseStream,
    ) -> None:
        """Handles one request, or rejects it as forbidden."""
        if self._is_authorized(dict(request.headers).get(TOKEN_HEADER, "")):
            await self._inner_handler.handle(request, response)
            return
        self.refused_count += 1
        kind = core.ErrorKind.FORBIDDEN
        spec = core.ERROR_SPECS[kind]
        response.start(
            spec.status_code,
            (
                ("fireflyford-outcome", spec.execution.value),
                ("fireflyford-error", kind.value),
            ),
        )
        await response.write(b"present a valid caller token\n", end=True)

    def _is_authorized(self, header: str) -> bool:
        if not self._key:
            return True
        token = header.removeprefix(_AUTH_SCHEME)
        caller, _, _ = token.partition(".")
        expected = make_token(self._key, caller)
        if not hmac.compare_digest(token.encode(), expected.encode()):
            return False
        return not self.service.callers or caller in self.service.callers
