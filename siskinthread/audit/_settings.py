"""Settings of the audit trail."""

from siskinthread.settings import Item, Section


class AuditSettings(Section):
    """How long the trail is kept, and how often it may be written."""

    keep_days = Item(
        float,
        default=30.0,
        minimum=0.0,
        description="Age up to which an entry is kept, by the log's clock.",
    )
    keep_entries = Item(
        int,
        default=2000,
        minimum=0,
        description="Newest entries that are kept whatever their age, so that a "
        "forward jump of the log's clock does not drop all.",
    )
    keep_limit_bytes = Item(
        int,
        default=12 * 1024 * 1024,
        minimum=4096,
        description="Size of the kept entries; beyond it the oldest are dropped, "
        "counted and logged.",
    )
    record_limit_bytes = Item(
        int, default=256 * 1024, minimum=4096, description="Longest record of a page."
    )
    append_interval_s = Item(
        float,
        default=20.0,
        minimum=0.001,
        description="Least time between two appends of one process.",
    )
    poll_interval_s = Item(
        float,
        default=30.0,
        minimum=0.001,
        description="Time between reads by a process that archives.",
    )
    buffer_limit = Item(
        int,
        default=1000,
        minimum=1,
        description="Events that a process holds while the log is down; further ones "
        "are dropped and counted in the trail.",
    )
