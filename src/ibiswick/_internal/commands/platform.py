"""Run the stand-in for the platform."""

from __future__ import annotations

import socket

import cyclopts
import uvicorn

from ..shared.logs import EventLog, install_handler
from ..standins.platform import PlatformApplication

app = cyclopts.App(name="ibiswick-platform", help=__doc__)

# Pending watches would otherwise delay the shutdown until their timeout.
SHUTDOWN_TIMEOUT_S = 1


class _Server(uvicorn.Server):
    """Log the port once the server accepts connections."""

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        await super().startup(sockets=sockets)
        if sockets:
            EventLog(component="platform").info("listening", port=sockets[0].getsockname()[1])


@app.default
def run(
    *,
    host: str = "127.0.0.1",
    port: int = 0,
    writes_per_s: float = 500.0,
    reads_per_s: float = 2000.0,
    seed: int = 1,
    log_level: str = "INFO",
) -> None:
    """Serve the object API from memory until the process receives a stop signal.

    Parameters
    ----------
    host
        IP address to listen on.
    port
        Port to listen on; 0 lets the system choose one, which is logged.
    writes_per_s
        Writes that the platform accepts per second; others get 429.
    reads_per_s
        Reads, listings and watches that the platform accepts per second; others get 429.
    seed
        Seed of the random faults.
    log_level
        Lowest level that is logged.
    """
    install_handler(level=log_level, program="ibiswick-platform")
    application = PlatformApplication(writes_per_s=writes_per_s, reads_per_s=reads_per_s, seed=seed)
    config = uvicorn.Config(
        application,
        host=host,
        port=port,
        loop="uvloop",
        http="httptools",
        lifespan="off",
        access_log=False,
        # uvicorn would log the responses that are dropped on purpose as errors.
        log_level="critical",
        timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
    )
    _Server(config).run(sockets=[config.bind_socket()])


def main() -> None:
    """Run the command line."""
    app()
