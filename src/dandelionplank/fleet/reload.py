"""The task that follows the settings file and applies what it can."""

import asyncio
import dataclasses
import os
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


@dataclasses.dataclass(frozen=True, slots=True)
class FileMark:
    """What tells one content of a file from another."""

    modified_ns: int
    size: int
    inode: int

    @classmethod
    def of_path(cls, path: Path) -> 'FileMark | None':
        """Return the mark of a file, nothing if it is not there."""
        try:
            stated = os.stat(path)
        except OSError:
            return None
        return cls(stated.st_mtime_ns, stated.st_size, stated.st_ino)


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
        self.mark = FileMark.of_path(path)
        self.signalled = asyncio.Event()

    async def run(self) -> None:
        """Follow the file until cancelled."""
        while True:
            try:
                async with asyncio.timeout(LOOK_PERIOD_S):
                    await self.signalled.wait()
            except TimeoutError:
                mark = FileMark.of_path(self.path)
                if mark is None or mark == self.mark:
                    continue
            self.signalled.clear()
            self.mark = FileMark.of_path(self.path)
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
