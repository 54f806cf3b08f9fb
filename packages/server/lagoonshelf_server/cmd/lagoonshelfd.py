"""Entry point of the daemon."""

import asyncio
import logging
import os
import signal
import sys

import cherrypy
from fire import Fire
from returns.result import Failure

from lagoonshelf_core.errors import EXIT_CODES, Fault, LagoonshelfError
from lagoonshelf_server.application import Application
from lagoonshelf_server.console import Console, mount_console
from lagoonshelf_server.http_api import HttpApi
from lagoonshelf_server.listeners import check_port
from lagoonshelf_server.logs import configure_logging, logger
from lagoonshelf_server.read_deadlines import DeadlineServer, enforce_read_deadlines
from lagoonshelf_server.settings import Settings, load_settings

SOCKET_TIMEOUT_S = 10
# Sized for a burst of connections; the default is 5.
SOCKET_QUEUE_SIZE = 512
MAX_HEADER_BYTES = 16_384
# Connections that wait for a thread; further ones get 503 at once.
ACCEPTED_QUEUE_SIZE = 512

_log = logger("lagoonshelfd")


def run(**flags: object) -> None:
    """Run a daemon process until it is drained.

    Each setting is a flag (--http-port=8080) or an environment variable
    (LAGOONSHELF_HTTP_PORT=8080). Send SIGTERM for a graceful shutdown.
    """
    result = load_settings(flags, os.environ)
    if isinstance(result, Failure):
        print(result.failure(), file=sys.stderr)
        raise SystemExit(EXIT_CODES[result.failure().code])
    cfg = result.unwrap()
    configure_logging(cfg.log_level, cfg.member)
    fault = asyncio.run(_serve(cfg))
    if fault is not None:
        print(fault, file=sys.stderr)
    # Threads in long polls would otherwise delay the exit of the process by up to 12 s.
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(EXIT_CODES[fault.code] if fault else 0)


async def _serve(cfg: Settings) -> Fault | None:
    """Serve until drained; return a fault if the process cannot open a port or join the cell."""
    loop = asyncio.get_running_loop()
    application = Application(cfg, loop)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lambda: application.bridge.spawn(application.drain()))
    try:
        # CherryPy would end the process after this one has joined the cell.
        check_port(cfg.host, cfg.http_port)
        await application.start()
    except LagoonshelfError as exc:
        return exc.fault
    backend = application.backend()
    http_api = HttpApi(application.bridge, backend, cfg.operator_key_sha256)
    console = Console(application.bridge, backend, cfg.cluster_secret)
    _start_http(cfg, http_api, console)
    application.bridge.spawn(enforce_read_deadlines())
    await application.stopped.wait()
    await loop.run_in_executor(None, cherrypy.engine.exit)
    await application.net.close()
    application.bridge.close()
    return application.fault


def _start_http(cfg: Settings, http_api: HttpApi, console: Console) -> None:
    cherrypy.config.update(
        {
            "server.socket_host": cfg.host,
            "server.socket_port": cfg.http_port,
            "server.thread_pool": cfg.http_threads,
            "server.thread_pool_max": cfg.http_threads,
            "server.accepted_queue_size": ACCEPTED_QUEUE_SIZE,
            "server.accepted_queue_timeout": 0,
            "server.max_request_header_size": MAX_HEADER_BYTES,
            "server.socket_timeout": SOCKET_TIMEOUT_S,
            "server.socket_queue_size": SOCKET_QUEUE_SIZE,
            # The HTTP API refuses large bodies itself, with a result code.
            "server.max_request_body_size": 0,
            "log.screen": False,
            "engine.autoreload.on": False,
            "checker.on": False,
        }
    )
    cherrypy.tree.graft(http_api, "")
    mount_console(console, http_api.check_operator)
    cherrypy.server.instance = DeadlineServer(cherrypy.server)
    cherrypy.engine.subscribe("log", _log_engine_error)
    cherrypy.engine.start()


def _log_engine_error(message: str, level: int) -> None:
    """Log what stops CherryPy's engine, whose own log is off."""
    if level >= logging.ERROR:
        # Of a traceback, the last line has the error; the log would cut it off.
        _log.error("HTTP engine failed", reason=message.rstrip().rpartition("\n")[2])


def main() -> None:
    """Parse flags and run."""
    Fire(run)


if __name__ == "__main__":
    main()
