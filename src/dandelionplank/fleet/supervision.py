"""Supervision of the daemon's tasks: an unexpected error restarts one.

No error of a task ends the process. What causes one again and again is mostly
input that all instances share, so that all would end in the same way, and with
them the requests that the other tasks still serve.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

from dandelionplank.events import Event
from dandelionplank.logs import log_event
from dandelionplank.metrics import METRICS

# First and longest pause before a failed task is started again.
FIRST_RESTART_S = 0.01
LONGEST_RESTART_S = 1.0
# A task that ran this long without an error is sound again.
SOUND_AFTER_S = 5.0
# Errors in a row from which a task counts as failing.
FAILING_ERRORS = 12
# The errors of a failing task are logged once in so many.
LOGGED_ERROR_PERIOD = 60

TaskFactory = Callable[[], Coroutine[Any, Any, None]]


class Supervisor:
    """Runs tasks, and starts each again after an unexpected error."""

    def __init__(self) -> None:
        """Hold the tasks, and the errors in a row of each."""
        self.tasks: list[asyncio.Task[None]] = []
        self.errors: Counter[str] = Counter()

    @property
    def failing(self) -> frozenset[str]:
        """Return the names of the tasks that fail again and again."""
        return frozenset(
            name
            for name, errors in self.errors.items()
            if errors >= FAILING_ERRORS
        )

    def spawn(self, name: str, run: TaskFactory) -> None:
        """Start a task, which runs until it returns or is cancelled.

        :param name: name of the task in log lines
        :param run: starts the task; the object that it belongs to keeps its
            state
        """
        self.tasks.append(asyncio.ensure_future(self._run(name, run)))

    async def cancel(self) -> None:
        """Cancel all tasks and wait for their ends."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _run(self, name: str, run: TaskFactory) -> None:
        """Run a task until it returns or is cancelled."""
        while True:
            sound = asyncio.get_running_loop().call_later(
                SOUND_AFTER_S, self._record_sound, name
            )
            try:
                return await run()
            except Exception as error:
                self._record_error(name, error)
            finally:
                sound.cancel()
            pause_s = FIRST_RESTART_S * 2 ** min(
                self.errors[name] - 1, FAILING_ERRORS
            )
            await asyncio.sleep(min(LONGEST_RESTART_S, pause_s))

    def _record_error(self, name: str, error: Exception) -> None:
        """Count an error of a task and log it."""
        self.errors[name] += 1
        errors = self.errors[name]
        METRICS.add('task_errors_total', task=name)
        METRICS.set_gauge('failing_tasks', len(self.failing))
        if errors < FAILING_ERRORS:
            event = Event.TASK_FAILED
        elif errors % LOGGED_ERROR_PERIOD == FAILING_ERRORS:
            event = Event.TASK_FAILING
        else:
            return
        log_event(event, task=name, why=repr(error), errors=errors)

    def _record_sound(self, name: str) -> None:
        """Forget the errors of a task that has run without one for a while."""
        if self.errors.pop(name, 0) >= FAILING_ERRORS:
            log_event(Event.TASK_RECOVERED, task=name)
        METRICS.set_gauge('failing_tasks', len(self.failing))
