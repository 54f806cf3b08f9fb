"""The daemon's entry point."""

import asyncio
import os
import signal
import sys

import cherrypy
from fire import Fire
from returns.result import Failure

from lagoonshelf_server.application import Application
from lagoonshelf_server.entry import Entry
from lagoonshelf_server.logs import set_up_logs
from lagoonshelf_server.request_body import MAX_BODY_BYTES
from lagoonshelf_server.settings import Settings, load_settings

EXIT_BAD_SETTING = 2
SOCKET_TIMEOUT_S = 10


def run(**flags: object) -> None:
    """Run a daemon process until it is drained.

    Each setting is a flag (--http-port=8080) or an environment variable
    (LAGOONSHELF_HTTP_PORT=8080). Send SIGTERM for a graceful shutdown.
    """
    result = load_settings(flags, os.environ)
    if isinstance(result, Failure):
        fault = result.failure()
        print(f"{fault.code.name} ({fault.code.number}): {fault.message}", file=sys.stderr)
        raise SystemExit(EXIT_BAD_SETTING)
    cfg = result.unwrap()
    set_up_logs(cfg.log_level, cfg.member)
    asyncio.run(_serve(cfg))
    # Threads in long polls would hold the end of the process for up to 12 s.
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)


async def _serve(cfg: Settings) -> None:
    loop = asyncio.get_running_loop()
    application = Application(cfg, loop)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, lambda: application.bridge.spawn(application.drain()))
    await application.start()
    entry = Entry(application.bridge, application.services(), cfg.operator_key_sha256)
    _start_http(cfg, entry)
    await application.stopped.wait()
    await loop.run_in_executor(None, cherrypy.engine.exit)
    await application.net.close()
    application.bridge.close()


def _start_http(cfg: Settings, entry: Entry) -> None:
    cherrypy.config.update(
        {
            "server.socket_host": cfg.host,
            "server.socket_port": cfg.http_port,
            "server.thread_pool": cfg.http_threads,
            "server.socket_timeout": SOCKET_TIMEOUT_S,
            "server.max_request_body_size": MAX_BODY_BYTES,
            "log.screen": False,
            "engine.autoreload.on": False,
            "checker.on": False,
        }
    )
    cherrypy.tree.graft(entry, "")
    cherrypy.engine.start()


def main() -> None:
    """Parse flags and run."""
    Fire(run)


if __name__ == "__main__":
    main()
