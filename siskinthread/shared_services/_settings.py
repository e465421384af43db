"""Settings of the platform's services."""

from siskinthread.settings import Address, Item, Section


class PlatformSettings(Section):
    """Addresses, streams and timeouts of the platform's services."""

    log = Item(Address, description="Address of the log service.")
    host_list = Item(Address, description="Address of the host list.")
    configuration_stream = Item(
        str, default="configuration", description="Stream of the published records."
    )
    audit_stream = Item(str, default="audit", description="Stream of the audit trail.")
    ownership_stream = Item(
        str, default="ownership", description="Stream of claims on model groups."
    )
    answer_wait_s = Item(
        float, default=2.0, minimum=0.01, description="Longest wait for an answer."
    )
    host_list_interval_s = Item(
        float, default=1.0, minimum=0.05, description="Interval of host list reads."
    )
    log_poll_wait_s = Item(
        float, default=1.0, minimum=0.0, description="Long-poll wait of a log read."
    )
