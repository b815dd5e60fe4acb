"""The settings of one process, read from a TOML file and validated as a whole."""

from cassiaford.settings._load import SettingsError, load_settings, parse_settings
from cassiaford.settings._model import (
    ControlSettings,
    HttpSettings,
    KeyValueSettings,
    LimitSettings,
    LogSettings,
    OrderSettings,
    PeerSettings,
    Settings,
)

__all__ = [
    "ControlSettings",
    "HttpSettings",
    "KeyValueSettings",
    "LimitSettings",
    "LogSettings",
    "OrderSettings",
    "PeerSettings",
    "Settings",
    "SettingsError",
    "load_settings",
    "parse_settings",
]
