"""Settings of the configuration part."""

from siskinthread.settings import Address, Item, Section


class ConfigurationSettings(Section):
    """Following the configuration stream and keeping it readable."""

    retention_s = Item(
        float,
        default=86_400.0,
        minimum=1.0,
        description="Time for which the log keeps a record of the stream, at least.",
    )
    snapshot_earliest_share = Item(
        float,
        default=0.25,
        minimum=0.0,
        description="Share of the retention after which the oldest needed record may "
        "be replaced by a snapshot.",
    )
    snapshot_latest_share = Item(
        float,
        default=0.5,
        minimum=0.0,
        description="Share of the retention by which it is replaced; each node draws "
        "its own time between the two.",
    )
    snapshot_after_records = Item(
        int,
        default=500,
        minimum=1,
        description="Records after a snapshot at which another one is written, so "
        "that a starting node has few to fold.",
    )
    snapshot_spread_s = Item(
        float,
        default=600.0,
        minimum=0.0,
        description="Time over which nodes spread that.",
    )
    record_limit_bytes = Item(
        int,
        default=256 * 1024,
        minimum=4096,
        description="Longest record; a longer snapshot is split over several.",
    )
    readers_per_domain = Item(
        int,
        default=4,
        minimum=1,
        description="Processes of a failure domain that read the log for the others.",
    )
    peer_interval_s = Item(
        float,
        default=4.0,
        minimum=0.01,
        description="Time between questions to a reader by a process that isn't one.",
    )
    peer_confirm_limit_s = Item(
        float,
        default=8.0,
        minimum=0.01,
        description="Time without a confirmation by a peer after which a process reads "
        "the log itself.",
    )
    retry_wait_first_s = Item(
        float,
        default=0.2,
        minimum=0.001,
        description="Longest wait before the first retry of a failed read.",
    )
    retry_wait_limit_s = Item(
        float,
        default=10.0,
        minimum=0.001,
        description="Longest wait before a later one; each wait is drawn between zero "
        "and a bound that doubles up to this.",
    )


class OperatorSettings(Section):
    """What the operators' commands need to reach the log."""

    log = Item(Address, description="The log service.")
    configuration_stream = Item(
        str, default="configuration", description="Stream of the published records."
    )
    answer_wait_s = Item(
        float, default=2.0, minimum=0.01, description="Longest wait for an answer."
    )
    deadline_s = Item(
        float,
        default=15.0,
        minimum=0.01,
        description="Time after which a command gives up.",
    )
    publishing = Item(
        ConfigurationSettings, description="Size limit and back-off of a publisher."
    )
