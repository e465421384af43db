"""The project's own settings of the gateway, beside those that the platform writes."""

from siskinthread.gateway import GatewaySettings
from siskinthread.group_maps import GroupMapSettings
from siskinthread.observability import LoggingSettings
from siskinthread.peer_news import PeerGossipSettings
from siskinthread.settings import Item, Section


class TuningSettings(Section):
    """All settings of a gateway that do not depend on its host."""

    gateway = Item(GatewaySettings, description="Requests, targets and connections.")
    group_maps = Item(GroupMapSettings, description="Expert maps of model groups.")
    peer_news = Item(PeerGossipSettings, description="Gossip between entry hosts.")
    logging = Item(LoggingSettings, description="Logs.")
