"""Settings of the configuration part."""

from siskinthread.settings import Address, Item, Section


class ConfigurationSettings(Section):
    """Settings for following the configuration stream and writing snapshots."""

    retention_s = Item(
        float,
        default=86_400.0,
        minimum=1.0,
        description="Minimum time for which the log keeps a record of the stream.",
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
        description="Share of the retention by which the oldest needed record is "
        "replaced by a snapshot; each node draws a random time between the two shares.",
    )
    snapshot_after_records = Item(
        int,
        default=500,
        minimum=1,
        description="Number of records since the last snapshot at which another "
        "snapshot is written, so that a starting node has few records to fold.",
    )
    snapshot_spread_s = Item(
        float,
        default=600.0,
        minimum=0.0,
        description="Time over which nodes spread the snapshots that "
        "snapshot_after_records triggers.",
    )
    record_limit_bytes = Item(
        int,
        default=256 * 1024,
        minimum=4096,
        description="Maximum length of a record; a longer snapshot is split into "
        "several records.",
    )
    readers_per_domain = Item(
        int,
        default=4,
        minimum=1,
        description="Number of processes of a failure domain that read the log for the "
        "others.",
    )
    peer_interval_s = Item(
        float,
        default=4.0,
        minimum=0.01,
        description="Time between requests to a reader by a process that isn't a "
        "reader.",
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
        description="Maximum wait before the first retry of a failed read.",
    )
    retry_wait_limit_s = Item(
        float,
        default=10.0,
        minimum=0.001,
        description="Maximum wait before any later retry; each wait is drawn at random "
        "between zero and a bound that doubles up to this value.",
    )


class OperatorSettings(Section):
    """Settings with which the operators' commands access the log."""

    log = Item(Address, description="Address of the log service.")
    configuration_stream = Item(
        str,
        default="configuration",
        description="Name of the stream of configuration records.",
    )
    answer_wait_s = Item(
        float,
        default=2.0,
        minimum=0.01,
        description="Maximum wait for an answer of the log service.",
    )
    deadline_s = Item(
        float,
        default=15.0,
        minimum=0.01,
        description="Time limit of a command.",
    )
    publishing = Item(
        ConfigurationSettings, description="Size limit and back-off for publishing."
    )
