"""Adapter to the users' platform, and the daemons that run there.

No other package knows the platform's names.  Its settings file, store, documents and
headers are decoded here into the objects of the product; `main` runs the gateway.
``read_host_settings(text, source_name)`` checks a settings file of the platform, and
`TuningSettings` are the project's own settings.
"""

from siskinthread.platform._daemon import main
from siskinthread.platform._host_settings import read_host_settings
from siskinthread.platform._tuning import TuningSettings

__all__ = ["TuningSettings", "main", "read_host_settings"]
