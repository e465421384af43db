"""Status pages of the process over HTTP, such as readiness and metrics."""

from siskinthread.http_server import bad_request, Session

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
TEXT_TYPE = "text/plain; charset=utf-8"


class StatusLimits:
    """Settings of the servers of status pages.

    Parameters
    ----------
    settings : GatewaySettings
        All settings; of them, the number of connections differs.
    """

    __slots__ = ("_settings",)

    def __init__(self, settings):
        self._settings = settings

    @property
    def connections_limit(self):
        """Maximum number of concurrent connections."""
        return self._settings.status_connections_limit

    def __getattr__(self, name):
        return getattr(self._settings, name)


class StatusPage:
    """A status page.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        Text of the page.
    """

    __slots__ = ("body", "status")

    def __init__(self, status, body):
        self.status = status
        self.body = body


class StatusSession(Session):
    """Serves status pages on one connection.

    Parameters
    ----------
    connection : siskinthread.http_server.CallerConnection
        The connection.
    context : GatewayContext
        State that all connections share.
    pages : dict of str to callable
        Functions that build the `StatusPage` of each path.
    """

    __slots__ = ("_pages",)

    def __init__(self, connection, context, pages):
        super().__init__(connection, context)
        self._pages = pages

    async def answer(self, head):
        """Answer one request; return whether the connection may be reused."""
        if head.has_body():
            return await self.refuse(bad_request("A status page takes no body."))
        body = await self.connection.read_body(self.context.bodies.body())
        if not isinstance(body, bytes):
            return await self.refuse(body)
        build = self._pages.get(head.target.partition("?")[0])
        if build is None:
            return await self._write(StatusPage(STATUS_NOT_FOUND, b"no such page\n"))
        return await self._write(build())

    async def refuse(self, refusal, in_transfer=False):
        """Write a refusal; the connection may not be reused after it."""
        await self._write(StatusPage(refusal.status, refusal.end.message.encode()))
        return False

    async def _write(self, page):
        headers = [
            ("content-type", TEXT_TYPE),
            ("content-length", str(len(page.body))),
        ]
        await self.connection.write_whole(page.status, headers, page.body)
        return True
