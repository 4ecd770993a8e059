"""Task that reloads the settings file and applies the live sections."""

import asyncio
import contextlib
from collections.abc import Callable
from pathlib import Path

import msgspec

from dandelionplank.errors import SettingsError
from dandelionplank.events import Event
from dandelionplank.fleet.settings import GatewaySettings
from dandelionplank.logs import log_event
from dandelionplank.settings import load_yaml

# The file may change without a signal; checking its metadata is cheap.
POLL_PERIOD_S = 1.0
# Sections that apply without a restart.
LIVE_SECTIONS = frozenset(('bounds',))


class SettingsFollower:
    """Reloads the settings after a signal or a change of the file."""

    def __init__(
        self,
        path: Path,
        settings: GatewaySettings,
        apply: Callable[[GatewaySettings], None],
    ) -> None:
        """Hold the settings in force and the file that is followed.

        :param settings: settings in force
        :param apply: called with settings of which only live sections differ
        """
        self.path = path
        self.settings = settings
        self.apply = apply
        self.file_version = _file_version(path)
        self.signalled = asyncio.Event()

    async def run(self) -> None:
        """Follow the file until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(POLL_PERIOD_S):
                    await self.signalled.wait()
            current = _file_version(self.path)
            if self.signalled.is_set() or current not in {
                None,
                self.file_version,
            }:
                self.signalled.clear()
                self.file_version = current
                self.read()

    def read(self) -> None:
        """Reload the file; invalid settings are logged and not applied."""
        try:
            wanted = load_yaml(self.path, GatewaySettings)
        except SettingsError as error:
            log_event(
                Event.SETTINGS_REJECTED,
                instance=self.settings.instance.id,
                why=error.reason,
            )
            return
        changed = _changed_sections(self.settings, wanted)
        live = {name: getattr(wanted, name) for name in changed & LIVE_SECTIONS}
        if live:
            self.settings = msgspec.structs.replace(self.settings, **live)
            self.apply(self.settings)
        log_event(
            Event.RELOADED,
            instance=self.settings.instance.id,
            applied=sorted(live),
            need_restart=sorted(changed - LIVE_SECTIONS),
        )


def _file_version(path: Path) -> tuple[int, int, int] | None:
    """Return modification time, size and inode, none without a file."""
    try:
        file_stat = path.stat()
    except OSError:
        return None
    return file_stat.st_mtime_ns, file_stat.st_size, file_stat.st_ino


def _changed_sections(
    known: GatewaySettings,
    wanted: GatewaySettings,
) -> set[str]:
    """Return the names of the sections that differ."""
    return {
        name
        for name in known.__struct_fields__
        if getattr(known, name) != getattr(wanted, name)
    }
