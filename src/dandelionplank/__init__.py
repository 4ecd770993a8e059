"""A router fleet that shares model and application capacity fairly."""

import importlib
import types
from typing import TYPE_CHECKING, Any

from dandelionplank.errors import (
    DandelionplankError,
    RefusalError,
    SettingsError,
    StatementError,
    StoreError,
    TargetError,
)
from dandelionplank.settings import Settings, load_settings

if TYPE_CHECKING:
    from dandelionplank.configuration.model import Configuration
    from dandelionplank.operators.language import parse_statement

__all__ = (
    'Configuration',
    'DandelionplankError',
    'RefusalError',
    'Settings',
    'SettingsError',
    'StatementError',
    'StoreError',
    'TargetError',
    'load_settings',
    'parse_statement',
)

# Loaded at first use: the grammar and the configuration model would double
# the time that a gateway needs to start.
_LAZY_MODULES = types.MappingProxyType(
    {
        'Configuration': 'dandelionplank.configuration.model',
        'parse_statement': 'dandelionplank.operators.language',
    },
)


def __getattr__(name: str) -> Any:  # noqa: WPS413 (module-level laziness)
    """Import a public name whose module is loaded late."""
    module = _LAZY_MODULES.get(name)
    if module is None:
        raise AttributeError(name)
    return getattr(importlib.import_module(module), name)
