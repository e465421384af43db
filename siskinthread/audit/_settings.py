"""Settings of the audit trail."""

from siskinthread.settings import Item, Section


class AuditSettings(Section):
    """Retention of the audit trail, and limits on its writes."""

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
        description="Number of newest entries that are kept at any age, so that a "
        "forward jump of the log's clock does not drop all entries.",
    )
    keep_limit_bytes = Item(
        int,
        default=12 * 1024 * 1024,
        minimum=4096,
        description="Largest total size of the kept entries; beyond it the oldest are "
        "dropped, counted and logged.",
    )
    record_limit_bytes = Item(
        int, default=256 * 1024, minimum=4096, description="Largest record of a page."
    )
    append_interval_s = Item(
        float,
        default=20.0,
        minimum=0.001,
        description="Minimum time between two appends of one process.",
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
        description="Largest number of events that a process buffers while the log is "
        "down; further events are dropped and counted in the trail.",
    )
