"""Ports that a run reserves against other runs."""

from scripts._processes import free_ports
from scripts.soak._records import Records
from scripts.soak._system import SoakSystem


def test_runs_beside_one_another_get_no_port_twice(tmp_path):
    """Guards against concurrent runs whose gateways share an address.

    All requests then got 404, or a start failed with "already in use".
    """
    system = SoakSystem(None, tmp_path, Records(), 3, 4)
    gateways, servers = system.gateways, system.servers
    taken = {system.peer_port, *(server.port for server in servers)}
    taken |= {port for one in gateways for port in (one.front, one.ready)}
    taken |= {one.control[1] for one in [*gateways, *servers]}
    assert len(taken) == 18
    # A second search in the same process starts at the same port as the first.
    assert taken.isdisjoint(free_ports(18))
    system.release_ports()
    assert not taken.isdisjoint(free_ports(18))
