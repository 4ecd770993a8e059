"""Command line of the router daemon."""

import gc
import sys
from pathlib import Path

import cyclopts
import uvloop

from dandelionplank.errors import SettingsError
from dandelionplank.logs import start_logging
from dandelionplank.router.daemon import RouterDaemon
from dandelionplank.settings import Settings, load_settings

EXIT_INVALID_SETTINGS = 2
GC_THRESHOLD = 50_000

app = cyclopts.App(name='dandelionplank-router')


@app.default
def run_router(settings: Path) -> None:
    """Route the calls of client accounts to shared targets.

    The router accepts callers' requests over HTTP, queues them by client
    account at the dispatcher of the service's pool, and sends them to
    targets. It discovers other routers through the platform's instance list.
    On SIGTERM it leaves the fleet, finishes every open call, stores the
    usage it has counted, and exits with status 0.

    Example: ``dandelionplank-router examples/ro-centru/brasov-a-1.yaml``

    :param settings: YAML settings file; check it with dandelionplank-check
    """
    try:
        loaded = load_settings(settings)
    except SettingsError as error:
        sys.stderr.write(f'{error.code.label} {error.reason}\n')
        raise SystemExit(EXIT_INVALID_SETTINGS) from error
    start_logging(loaded.log_level)
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    uvloop.run(_serve(loaded))


async def _serve(settings: Settings) -> None:
    """Build the daemon inside the event loop and run it."""
    await RouterDaemon.from_settings(settings).run()


def main() -> None:
    """Run the command line."""
    app()
