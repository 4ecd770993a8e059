"""Supervision of the daemon's tasks: an unexpected error restarts one."""

import asyncio
import time
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
# Errors in a row after which the daemon gives up and is replaced.
MAX_ERRORS = 12

TaskFactory = Callable[[], Coroutine[Any, Any, None]]


async def supervise(name: str, run: TaskFactory) -> None:
    """Run a task, and start it again after an unexpected error.

    :param name: name of the task in log lines
    :param run: starts the task; its state is kept by the object it belongs to
    :raises Exception: the error of a task that fails again and again
    """
    errors = 0
    while True:
        started_s = time.monotonic()
        try:
            return await run()
        except Exception as error:
            if time.monotonic() - started_s > SOUND_AFTER_S:
                errors = 0
            errors += 1
            METRICS.add('task_errors_total', task=name)
            log_event(
                Event.TASK_FAILED, task=name, why=repr(error), errors=errors
            )
            if errors >= MAX_ERRORS:
                raise
        pause_s = FIRST_RESTART_S * 2 ** (errors - 1)
        await asyncio.sleep(min(LONGEST_RESTART_S, pause_s))
