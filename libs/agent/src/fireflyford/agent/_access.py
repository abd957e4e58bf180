"""Callers' rights: a token is checked before any work is done."""

import hashlib
import hmac

from fireflyford import config
from fireflyford import core
from fireflyford.agent import _connection

TOKEN_HEADER = "authorization"
_SCHEME = "Bearer "
_TAG_BYTES = 16


def make_token(key: bytes, caller: str) -> str:
    """Returns the token of a caller.

    Args:
        key: Caller key of the service, 16 to 32 bytes.
        caller: Name of the caller, without a dot.

    >>> make_token(b"k" * 16, "buyer").startswith("buyer.")
    True
    """
    tag = hashlib.blake2s(
        caller.encode(), key=key, digest_size=_TAG_BYTES
    ).hexdigest()
    return f"{caller}.{tag}"


class AccessHandler(_connection.Handler):
    """Refuses callers without a right, and hands the others on."""

    def __init__(
        self, key: bytes, service: config.Service, inner: _connection.Handler
    ) -> None:
        """Prepares the check.

        Args:
            key: Caller key; empty when the service is open to everyone.
            service: Names the callers that may use it.
            inner: Answers the requests of callers with the right.
        """
        self._key = key
        self.service = service
        self._inner = inner
        self.refused_count = 0

    async def handle(
        self,
        request: _connection.Request,
        response: _connection.ResponseStream,
    ) -> None:
        """Answers one request, or refuses it."""
        if self._allows(dict(request.headers).get(TOKEN_HEADER, "")):
            await self._inner.handle(request, response)
            return
        self.refused_count += 1
        kind = core.ErrorKind.FORBIDDEN
        answer = core.ERROR_SPECS[kind]
        response.start(
            answer.status_code,
            (
                ("fireflyford-outcome", answer.execution.value),
                ("fireflyford-error", kind.value),
            ),
        )
        await response.write(b"present a valid caller token\n", end=True)

    def _allows(self, header: str) -> bool:
        if not self._key:
            return True
        token = header.removeprefix(_SCHEME)
        caller, _, _ = token.partition(".")
        expected = make_token(self._key, caller)
        if not hmac.compare_digest(token.encode(), expected.encode()):
            return False
        return not self.service.callers or caller in self.service.callers
