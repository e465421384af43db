"""Settings of the daemons and of the operators' command line."""

from scripts._cluster_configuration import ENGINE_SERVICE, PLAIN_SERVICE

SHARED_KEY = {"id": "shared-1", "secret": "a shared secret for loopback runs only"}


class Platform:
    """Addresses of the platform's stand-ins.

    Parameters
    ----------
    log, host_list : tuple
        IP number and TCP port of each service.
    """

    __slots__ = ("host_list", "log")

    def __init__(self, log, host_list):
        self.log = log
        self.host_list = host_list

    def settings(self):
        """Return the settings section ``platform``."""
        return {"log": text_of(self.log), "host_list": text_of(self.host_list)}


def daemon_settings(node, platform, options):
    """Return the settings of a host's daemon as a JSON value.

    Parameters
    ----------
    node : scripts._cluster_options.Node
        Host of the daemon.
    platform : Platform
        Addresses of the platform's services.
    options : scripts._cluster_options.ClusterOptions
        Options with the settings that override the generated settings.
    """
    settings = {
        "host": node.name,
        "failure_domain": node.failure_domain,
        "peers": {"keys": [SHARED_KEY]},
        "platform": platform.settings(),
    }
    clock = {"clock_error_limit_s": options.clock_error_limit_s}
    if node.role == "entry":
        settings["callers_listen"] = text_of(node.address)
        settings["callers"] = clock
        return merged(settings, options.entry_settings)
    settings["execution"] = clock
    return merged({**settings, **_agent_settings(node)}, options.agent_settings)


def operator_settings(platform):
    """Return the settings of the operators' command line as a JSON value."""
    return {"log": text_of(platform.log)}


def merged(settings, overrides):
    """Return settings with overrides, which are merged section by section."""
    result = dict(settings)
    for name, value in overrides.items():
        if isinstance(value, dict) and isinstance(result.get(name), dict):
            value = merged(result[name], value)
        result[name] = value
    return result


def text_of(address):
    """Return an address in the notation of settings."""
    return f"{address[0]}:{address[1]}"


def _agent_settings(node):
    is_engine = node.kind == "engine"
    return {
        "peer_listen": text_of(node.address),
        "metrics_listen": text_of(node.status_address),
        "services": [ENGINE_SERVICE if is_engine else PLAIN_SERVICE],
        "target": {"kind": node.kind, "address": text_of(node.target_address)},
    }
