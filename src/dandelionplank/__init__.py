"""A fleet of routers that share model and application capacity fairly."""

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

# Imported on first use: the grammar and the configuration model would double
# the start-up time of a gateway.
_LAZY_MODULES = types.MappingProxyType(
    {
        'Configuration': 'dandelionplank.configuration.model',
        'parse_statement': 'dandelionplank.operators.language',
    },
)


def __getattr__(name: str) -> Any:  # noqa: WPS413 (lazy imports)
    """Import a public name that is loaded lazily."""
    module = _LAZY_MODULES.get(name)
    if module is None:
        raise AttributeError(name)
    return getattr(importlib.import_module(module), name)
