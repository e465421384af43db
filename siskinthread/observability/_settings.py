"""Settings of logging."""

from siskinthread.settings import Choice, Item, Section


class LoggingSettings(Section):
    """Settings of the log that a process writes to standard error."""

    level = Item(
        Choice("debug", "info", "warning", "error"),
        default="info",
        description="Lowest level of messages that are logged.",
    )
    lines_limit_per_s = Item(
        int,
        default=1000,
        minimum=1,
        description="Most lines that are logged per second; further lines are dropped "
        "and their number is logged.",
    )
