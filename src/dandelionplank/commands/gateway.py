"""Command line of the gateway, the router for the users' platform."""

from dandelionplank.commands.hangup import HELD_SIGNALS

# isort: split
import gc
import sys
from pathlib import Path
from typing import Annotated

import cyclopts
import uvloop

from dandelionplank.commands.assembly import build_daemon
from dandelionplank.errors import SettingsError
from dandelionplank.fleet.settings import GatewaySettings
from dandelionplank.logs import NonBlockingStream, start_logging
from dandelionplank.settings import load_yaml

EXIT_INVALID_SETTINGS = 2
GC_THRESHOLD = 50_000

app = cyclopts.App(name='dandelionplank-gateway')


@app.default
def run_gateway(
    settings: Annotated[
        Path,
        cyclopts.Parameter(env_var='DANDELIONPLANK_SETTINGS'),
    ],
) -> None:
    """Serve callers through the platform until SIGTERM.

    :param settings: YAML settings file
    """
    try:
        loaded = load_yaml(settings, GatewaySettings)
    except SettingsError as error:
        sys.stderr.write(f'{error.code.label} {error.reason}\n')
        raise SystemExit(EXIT_INVALID_SETTINGS) from error
    start_logging(loaded.log_level, NonBlockingStream(sys.stdout.fileno()))
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    uvloop.run(_serve(loaded, settings))


async def _serve(settings: GatewaySettings, path: Path) -> None:
    """Build the daemon inside the event loop and run it."""
    await build_daemon(settings, path).run(HELD_SIGNALS)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == '__main__':
    main()
