"""A fleet of routers that share model and application capacity fairly.

The public names are loaded on first use: a program of this package holds
signals back before it loads anything that takes time.
"""

import importlib
import types
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from dandelionplank.configuration.model import Configuration
    from dandelionplank.errors import (
        DandelionplankError,
        RefusalError,
        SettingsError,
        StatementError,
        StoreError,
        TargetError,
    )
    from dandelionplank.operators.language import parse_statement
    from dandelionplank.settings import Settings, load_settings

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

_MODULES = types.MappingProxyType(
    {
        'Configuration': 'configuration.model',
        'Settings': 'settings',
        'load_settings': 'settings',
        'parse_statement': 'operators.language',
    },
)


def __getattr__(name: str) -> Any:  # noqa: WPS413 (lazy imports)
    """Load a public name; most are errors."""
    if name not in __all__:
        raise AttributeError(name)
    module = _MODULES.get(name, 'errors')
    return getattr(importlib.import_module(f'{__name__}.{module}'), name)
