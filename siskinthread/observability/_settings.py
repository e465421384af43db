"""Settings of logging."""

from siskinthread.settings import Choice, Item, Section


class LoggingSettings(Section):
    """What a process logs to its standard error output."""

    level = Item(
        Choice("debug", "info", "warning", "error"),
        default="info",
        description="Least level of the messages that are logged.",
    )
    lines_limit_per_s = Item(
        int,
        default=1000,
        minimum=1,
        description="Most lines that are logged in a second; the number of those left "
        "out is logged in their place.",
    )
