"""Settings of the entry daemon."""

from siskinthread.admission import AdmissionSettings
from siskinthread.callers import CallerSettings
from siskinthread.configuration import ConfigurationSettings
from siskinthread.dispatch import DispatchSettings
from siskinthread.membership import MembershipSettings
from siskinthread.observability import LoggingSettings
from siskinthread.routing import RoutingSettings
from siskinthread.settings import Address, Item, Section
from siskinthread.shared_services import PlatformSettings
from siskinthread.wire import PeerSettings


class EntrySettings(Section):
    """Settings of an entry process."""

    host = Item(str, description="Name of this host in the host list.")
    failure_domain = Item(str, description="Failure domain of this host.")
    callers_listen = Item(Address, description="Where callers connect.")
    peer_listen = Item(
        Address,
        default=None,
        description="Where `siskinthread status` connects; the host list shows it as "
        "this host's address. Without it, that command gets no answer from this host.",
    )
    drain_limit_s = Item(
        float,
        default=60.0,
        minimum=0.0,
        description="Longest time from a stop signal to the end of the process; "
        "requests still in flight then are cut off.",
    )
    home_links_limit = Item(
        int,
        default=64,
        minimum=1,
        description="Most links, beside those of `routing.subset_size`, to homes of "
        "idempotency keys that this entry has received.",
    )
    callers = Item(CallerSettings, description="HTTP towards callers.")
    admission = Item(AdmissionSettings, description="Limits, shedding, retry budget.")
    dispatch = Item(DispatchSettings, description="Attempts and retries.")
    routing = Item(RoutingSettings, description="Choice of a target.")
    peers = Item(PeerSettings, description="Links to agents.")
    platform = Item(PlatformSettings, description="The platform's services.")
    configuration = Item(
        ConfigurationSettings, description="Following the configuration stream."
    )
    membership = Item(MembershipSettings, description="Following the host list.")
    logging = Item(LoggingSettings, description="Logging.")
