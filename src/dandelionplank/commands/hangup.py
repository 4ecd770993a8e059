"""Holds SIGHUP back while a daemon starts.

Imported by the program alone, before all modules that take time to load: until
the daemon has a handler, the signal would end the process.
"""

import signal

HELD_SIGNALS = frozenset((signal.SIGHUP,))
signal.pthread_sigmask(signal.SIG_BLOCK, HELD_SIGNALS)
