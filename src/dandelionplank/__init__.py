"""A router fleet that shares model and application capacity fairly."""

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
