"""Settings of logging."""

from siskinthread.settings import Choice, Item, Section


class LoggingSettings(Section):
    """What a process logs to its standard error output."""

    level = Item(
        Choice("debug", "info", "warning", "error"),
        default="info",
        description="Least level of the messages that are logged.",
    )
