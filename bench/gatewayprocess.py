"""Runs a gateway as a separate process."""

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

import msgspec
import yaml

from bench.fleet import reserve_ports
from bench.links import LinkRelay
from bench.platform import gateway_settings
from dandelionplank.settings import Address

# Limits of the gateways as the platform specifies them.
REVOKED_AFTER_S = 5.0
GRACE_S = 8.0


class GatewayProcess:
    """A gateway process with its own relay to the store."""

    def __init__(self, number: int, directory: Path, store: Address) -> None:
        """Write the settings file; no process runs yet."""
        ports = reserve_ports(2)
        self.relay = LinkRelay(ports[0], store.port, 0)
        self.address = f'127.0.0.1:{ports[1]}'
        self.settings = gateway_settings(
            number,
            self.address,
            f'127.0.0.1:{ports[0]}',
            revoked_after_s=REVOKED_AFTER_S,
            grace_s=GRACE_S,
        )
        self.settings_path = directory / f'gateway-{number}.yaml'
        self.log_path = directory / f'gateway-{number}.log'
        self.process: subprocess.Popen[bytes] | None = None
        self.write_settings()

    def write_settings(self, **bounds: float) -> None:
        """Write the settings file, with the given limits changed."""
        document = msgspec.to_builtins(self.settings)
        document['bounds'].update(bounds)
        self.settings_path.write_text(
            yaml.safe_dump(document), encoding='utf-8'
        )

    def start(self) -> None:
        """Start the process."""
        with self.log_path.open('ab') as output:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'dandelionplank.commands.gateway'],
                env={
                    **os.environ,
                    'DANDELIONPLANK_SETTINGS': str(self.settings_path),
                },
                stdout=output,
                stderr=output,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.poll() is None

    async def wait(self) -> int:
        """Wait for the process to end and return its exit status."""
        assert self.process is not None
        return await asyncio.to_thread(self.process.wait)

    def kill(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.is_running:
            self.process.kill()
            self.process.wait()
