"""Settings of the agent daemon."""

from siskinthread.audit import AuditSettings
from siskinthread.configuration import ConfigurationSettings
from siskinthread.execution import ExecutionSettings
from siskinthread.experts import PlannerSettings, RankSettings
from siskinthread.membership import MembershipSettings
from siskinthread.observability import LoggingSettings
from siskinthread.ownership import OwnershipSettings
from siskinthread.settings import Address, Item, Section, StringList
from siskinthread.shared_services import PlatformSettings
from siskinthread.targets import TargetSettings
from siskinthread.wire import PeerSettings


class AgentSettings(Section):
    """Settings of an agent process."""

    host = Item(str, description="Name of this host in the host list.")
    failure_domain = Item(str, description="Failure domain of this host.")
    services = Item(
        StringList, description="Services that the target on this host answers for."
    )
    peer_listen = Item(Address, description="Where entries connect.")
    metrics_listen = Item(
        Address, description="Where `/metrics`, `/healthz` and `/readyz` are served."
    )
    drain_limit_s = Item(
        float,
        default=60.0,
        minimum=0.0,
        description="Longest wait for running requests after a stop signal.",
    )
    target = Item(TargetSettings, description="The target on this host.")
    peers = Item(PeerSettings, description="Links of entries.")
    platform = Item(PlatformSettings, description="The platform's services.")
    configuration = Item(
        ConfigurationSettings, description="Following the configuration stream."
    )
    membership = Item(MembershipSettings, description="Following the host list.")
    execution = Item(ExecutionSettings, description="Execution of requests.")
    rank = Item(RankSettings, description="The rank of a model group on this host.")
    planner = Item(
        PlannerSettings, description="Planning of the group's expert maps, if owned."
    )
    ownership = Item(OwnershipSettings, description="Claims of the group.")
    audit = Item(AuditSettings, description="Writing of the audit trail.")
    logging = Item(LoggingSettings, description="Logging.")
