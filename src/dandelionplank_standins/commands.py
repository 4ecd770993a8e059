"""Command line of the stand-ins."""

import asyncio
import signal

import cyclopts
import uvloop
from aiohttp import web

from dandelionplank.settings import Address
from dandelionplank_standins.engine import EngineSpeed, EngineStandin
from dandelionplank_standins.instancelist import InstanceListStandin
from dandelionplank_standins.keyvalue import KeyValueStandin
from dandelionplank_standins.plain import PlainStandin

MS_PER_SECOND = 1000.0
LISTEN_BACKLOG = 4096

app = cyclopts.App(
    name='dandelionplank-standin',
    help='Run a small stand-in of the platform or of a served system.',
)


@app.command(name='key-value')
def run_key_value(listen: str) -> None:
    """Run the key-value service.

    :param listen: address, as ip:port
    """
    serve({listen: KeyValueStandin().application})


@app.command(name='instance-list')
def run_instance_list(listen: str, lag_ms: float = 500) -> None:
    """Run the instance list.

    :param listen: address, as ip:port
    :param lag_ms: time until a change can be seen
    """
    serve({listen: InstanceListStandin(lag_ms / MS_PER_SECOND).application})


@app.command(name='engine')
def run_engines(
    *listen: str,
    token_ms: float = 10,
    batch: int = 8,
    prefill_us: float = 20,
) -> None:
    """Run model engines, one for each address.

    :param listen: addresses, as ip:port
    :param token_ms: time between tokens
    :param batch: streams that run at full speed together
    :param prefill_us: time per prompt token
    """
    speed = EngineSpeed(
        token_ms / MS_PER_SECOND,
        prefill_us / MS_PER_SECOND / MS_PER_SECOND,
        batch,
    )
    serve(
        {
            address: EngineStandin(address, speed).application
            for address in listen
        },
    )


@app.command(name='plain')
def run_plain_services(*listen: str, call_ms: float = 10) -> None:
    """Run plain services, one for each address.

    :param listen: addresses, as ip:port
    :param call_ms: time that a call takes
    """
    serve(
        {
            address: PlainStandin(address, call_ms / MS_PER_SECOND).application
            for address in listen
        },
    )


def serve(applications: dict[str, web.Application]) -> None:
    """Run an event loop and serve applications until a signal arrives."""
    uvloop.run(serve_until_signal(applications))


async def serve_until_signal(applications: dict[str, web.Application]) -> None:
    """Serve applications until the process receives SIGTERM or SIGINT.

    :param applications: applications by address, as ip:port
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    runners = []
    for listen, application in applications.items():
        runners.append(await start_serving(listen, application))
    await stop_requested.wait()
    for runner in runners:
        await runner.cleanup()


async def start_serving(
    listen: str,
    application: web.Application,
) -> web.AppRunner:
    """Start to serve an application and return its runner."""
    address = Address.from_text(listen)
    runner = web.AppRunner(
        application,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=0.2,
    )
    await runner.setup()
    site = web.TCPSite(runner, address.ip, address.port, backlog=LISTEN_BACKLOG)
    await site.start()
    return runner


def main() -> None:
    """Run the command line."""
    app()
