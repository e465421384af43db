"""Files and records that the platform passes to a gateway."""

import json

LENGTH_BYTES = 4
CALLER_HOST = "drafts.example"
SERVICE = "drafts"
SETTINGS = """
node = "{name}"
zone = "{domain}"
ip = "{ip}"
internal_ports = [{peer}, {peer}]
seeds = [{seeds}]
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[bounds]
grace_s = {grace_s}
[platform]
address = "{store}"
parts = 8
"""


def settings_text(name, ports, store, domain="a", ip="127.0.0.1", seeds=(), grace_s=3):
    """Return the settings file of a gateway.

    Parameters
    ----------
    name : str
        Name of the host.
    ports : tuple of int
        TCP ports for callers, readiness and peers.
    store : tuple
        IP number and port of the store.
    domain, ip : str
        Failure domain and IP number of the host.
    seeds : sequence of str
        IP numbers of some other hosts.
    grace_s : int
        Time from SIGTERM until the gateway is killed, seconds.
    """
    front, ready, peer = ports
    return SETTINGS.format(
        name=name,
        domain=domain,
        ip=ip,
        front=front,
        ready=ready,
        peer=peer,
        seeds=", ".join(f'"{seed}:{peer}"' for seed in seeds),
        grace_s=grace_s,
        store=f"{store[0]}:{store[1]}",
    )


def route(prefix, kind, **fields):
    """Return a route in the form that operators publish."""
    values = {
        "name": prefix.strip("/"),
        "host": CALLER_HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 5000,
        "target_latency_ms": 400,
        "target_gap_ms": 120,
        "priority": 1,
        "service": SERVICE,
        "attempts": 2,
        "public": False,
    }
    return values | fields


def configuration(version, routes, keys_by_account):
    """Return a configuration in the form that operators publish."""
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 100}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 65536,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": name, "api_keys": keys} for name, keys in keys_by_account.items()
        ],
    }


def listed(address, domain="a", state="ready", sequence=1):
    """Return the store entry of a server."""
    return {
        "service": SERVICE,
        "address": f"{address[0]}:{address[1]}",
        "zone": domain,
        "version": "v1",
        "slots": 6,
        "state": state,
        "cold_remaining_ms": 0,
        "sequence": sequence,
    }


def record_bytes(key, value):
    """Return the record that sets the value of a key; None drops the key."""
    body = b"" if value is None else json.dumps(value).encode()
    content = bytes([len(key)]) + key.encode() + body
    return len(content).to_bytes(LENGTH_BYTES, "big") + content


def append_path(topic):
    """Return the path of the store call that appends records to a topic."""
    return f"/siskinthread/log-append?topic={topic}&part=0"
