"""The task that follows the settings file and applies what it can."""

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

# The file may change without a signal; a look at its time costs little.
LOOK_PERIOD_S = 1.0
# Sections that a running process applies; the others need a restart.
LIVE_SECTIONS = frozenset(('bounds',))


class SettingsFollower:
    """Reads the settings again after a signal or a change of the file."""

    def __init__(
        self,
        path: Path,
        settings: GatewaySettings,
        apply: Callable[[GatewaySettings], None],
    ) -> None:
        """Start with the settings in force.

        :param apply: takes in settings of which only live sections differ
        """
        self.path = path
        self.settings = settings
        self.apply = apply
        self.mark = _mark_of(path)
        self.signalled = asyncio.Event()

    async def run(self) -> None:
        """Follow the file until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LOOK_PERIOD_S):
                    await self.signalled.wait()
            mark = _mark_of(self.path)
            if self.signalled.is_set() or mark not in {None, self.mark}:
                self.signalled.clear()
                self.mark = mark
                self.read()

    def read(self) -> None:
        """Read the file; settings that are not valid change nothing."""
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


def _mark_of(path: Path) -> tuple[int, int, int] | None:
    """Return what tells a file's content from another, none without a file."""
    try:
        stated = path.stat()
    except OSError:
        return None
    return stated.st_mtime_ns, stated.st_size, stated.st_ino


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
