"""A small JSON-over-HTTP server on CherryPy's WSGI server."""

from collections.abc import Callable

import orjson
from cheroot.wsgi import Server

Handler = Callable[[str, dict], tuple[int, object]]
MAX_BODY_BYTES = 16 * 1024 * 1024


def json_app(handle: Handler) -> Callable:
    """Return a WSGI application that passes decoded bodies to a handler.

    :param handle: takes the path and the decoded body, returns the status and the answer
    """

    def app(environ: dict, start_response: Callable) -> list[bytes]:
        length = min(int(environ.get("CONTENT_LENGTH") or 0), MAX_BODY_BYTES)
        raw = environ["wsgi.input"].read(length) if length else b"{}"
        status, answer = handle(environ["PATH_INFO"], orjson.loads(raw))
        data = orjson.dumps(answer)
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(data)))]
        start_response(f"{status} {'OK' if status < 400 else 'Error'}", headers)
        return [data]

    return app


def make_server(host: str, port: int, handle: Handler, threads: int) -> Server:
    """Return a server without starting it.

    :param port: 0 for any free port
    :param threads: maximum number of concurrent calls, including long polls
    """
    server = Server((host, port), json_app(handle), numthreads=threads, request_queue_size=256)
    server.error_log = lambda *args, **kwargs: None
    return server
