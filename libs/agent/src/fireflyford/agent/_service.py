"""Request handler of one target: requests use the engine, feeds do not."""

import secrets

from fireflyford import config
from fireflyford import core
from fireflyford import requests
from fireflyford.agent import _connection
from fireflyford.agent import _feeds
from fireflyford.agent import _ticket_codec

DEADLINE_HEADER = "fireflyford-deadline-ms"
TICKET_HEADER = "fireflyford-ticket"
OUTCOME_HEADER = "fireflyford-outcome"
RETRY_AFTER_HEADER = "retry-after-ms"
_WRITE_CHUNK_BYTES = 64 << 10


class ServiceHandler(_connection.RequestHandler):
    """Handler for the requests of one service."""

    def __init__(
        self,
        clock: core.Clock,
        service: config.Service,
        engine: requests.RequestEngine,
        feeds: _feeds.FeedServer,
        ticket_codec: _ticket_codec.TicketCodec,
    ) -> None:
        """Initializes the handler.

        Args:
            clock: Source of time.
            service: Service with its treatments.
            engine: Engine that runs requests.
            feeds: Server for feeds.
            ticket_codec: Text encoding of tickets.
        """
        self._clock = clock
        self.service = service
        self._engine = engine
        self._feeds = feeds
        self._ticket_codec = ticket_codec

    async def handle(
        self,
        request: _connection.Request,
        response: _connection.ResponseStream,
    ) -> None:
        """Handles one request."""
        treatment = self.service.treatment(request.method, request.path)
        if treatment is None:
            failure = core.Failure(
                core.ErrorKind.BAD_REQUEST,
                f"no treatment for {request.method} {request.path}",
            )
            await self._write_failure(response, failure)
        elif treatment.kind is config.Kind.FEED:
            refusal = await self._feeds.serve(request, treatment, response)
            if refusal is not None:
                await self._write_failure(response, refusal)
        else:
            await self._run_request(request, treatment, response)

    async def _run_request(
        self,
        request: _connection.Request,
        treatment: config.Treatment,
        response: _connection.ResponseStream,
    ) -> None:
        outcome = await self._submit(request, treatment)
        if isinstance(outcome, core.Failure):
            await self._write_failure(response, outcome)
            return
        result = outcome.value
        headers = (
            *result.headers,
            ("content-length", str(len(result.body))),
            (OUTCOME_HEADER, "complete"),
            self._issue_ticket_header(),
        )
        response.start(result.status_code, headers)
        for start in range(0, len(result.body), _WRITE_CHUNK_BYTES):
            chunk = result.body[start : start + _WRITE_CHUNK_BYTES]
            await response.write(chunk, end=False)
        await response.write(b"", end=True)

    async def _submit(
        self, request: _connection.Request, treatment: config.Treatment
    ) -> core.Outcome[requests.Response]:
        ticket_text = dict(request.headers).get(TICKET_HEADER, "")
        ticket: requests.Ticket | None = None
        if ticket_text and not treatment.idempotent:
            decoded = self._ticket_codec.decode(ticket_text)
            if isinstance(decoded, core.Failure):
                return decoded
            ticket = decoded.value
        return await self._engine.submit(
            self._make_work_item(request, treatment), ticket
        )

    def _issue_ticket_header(self) -> tuple[str, str]:
        ticket = self._engine.issuer.issue()
        return (TICKET_HEADER, self._ticket_codec.encode(ticket))

    def _make_work_item(
        self, request: _connection.Request, treatment: config.Treatment
    ) -> requests.WorkItem:
        now_ms = self._clock.now_ms()
        headers_by_name = dict(request.headers)
        limit_ms = treatment.deadline_ms
        requested_ms = headers_by_name.get(DEADLINE_HEADER, "")
        if requested_ms.isdecimal():
            limit_ms = min(limit_ms, int(requested_ms))
        return requests.WorkItem(
            request_id=secrets.token_hex(16),
            treatment=treatment,
            method=request.method,
            path=request.path,
            body=request.body,
            caller=str(request.caller),
            arrived_ms=now_ms,
            deadline_ms=now_ms + limit_ms,
        )

    async def _write_failure(
        self, response: _connection.ResponseStream, failure: core.Failure
    ) -> None:
        body = (failure.message + "\n").encode()
        spec = failure.spec
        response.start(
            spec.status_code,
            (
                ("content-type", "text/plain"),
                ("content-length", str(len(body))),
                (OUTCOME_HEADER, spec.execution.value),
                ("fireflyford-error", failure.kind.value),
                (RETRY_AFTER_HEADER, str(failure.retry_after_ms)),
                self._issue_ticket_header(),
            ),
        )
        await response.write(body, end=True)
