"""Worker process with several nodes of one role, controlled over standard input.

The first line is a JSON object with ``role``, ``hosts`` (pairs of host and failure
domain), ``log_port``, ``host_list_port`` and ``intervals_s`` (of heartbeats and of the
host list, null for the default); the answer is the list of ports.  The command
``start`` starts the nodes; ``report`` and ``advances`` query them.  Each answer is one
line of JSON.
"""

import json
import logging
import sys

import curio
from curio.io import FileStream

from siskinthread.measurement._control_counting import ByteCounts
from siskinthread.measurement._control_node import NODE_CLASSES, NodeSettings


class Worker:
    """Nodes of the process.

    Parameters
    ----------
    order : dict
        Decoded first line of the standard input.
    """

    def __init__(self, order):
        settings = NodeSettings(
            order["log_port"], order["host_list_port"], *order["intervals_s"]
        )
        node_class = NODE_CLASSES[order["role"]]
        services = {order["log_port"]: "log", order["host_list_port"]: "host_list"}
        self._counts = ByteCounts(services)
        self._counts.install()
        self._nodes = [
            node_class(host, domain, settings) for host, domain in order["hosts"]
        ]
        self._answers = {
            "start": self._start,
            "report": self._report,
            "advances": self._advances,
        }

    def ports(self):
        """Return the port of each node."""
        return [node.port for node in self._nodes]

    async def answer(self, command):
        """Return the answer to a command."""
        return await self._answers[command]()

    async def _start(self):
        for node in self._nodes:
            await node.start()
        return {}

    async def _report(self):
        versions = [node.advances[-1][0] for node in self._nodes if node.advances]
        return {
            "bytes": self._counts.total(),
            "links": sum(node.link_count() for node in self._nodes),
            "versions": versions,
        }

    async def _advances(self):
        return [node.advances for node in self._nodes]


async def run():
    """Answer commands until the standard input ends."""
    commands = FileStream(sys.stdin.buffer)
    worker = Worker(json.loads(await commands.readline()))
    _print(worker.ports())
    async for line in commands:
        _print(await worker.answer(line.decode().strip()))


def _print(value):
    print(json.dumps(value), flush=True)


if __name__ == "__main__":
    logging.disable(logging.CRITICAL)
    curio.run(run)
