"""Injection of the faults of a plan."""

import random
import signal
import time
from functools import partial

import curio

from scripts._processes import StartError
from scripts.soak._plan import DOMAINS, FAULT_KINDS, GATEWAY, LIMITED, SERVER, STORE
from scripts.soak._records import NamedLimit
from scripts.soak._system import DRAIN_S, EXPIRY_S, GRACE_S, link, TARGETS_TOPIC

# Sent to a gateway that drains, in this share of the polls.
SIGNALS_IN_A_DRAIN = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
SIGNAL_AGAIN_SHARE = 0.1
POLL_S = 0.02
MANY = 1000
STOP_WAIT_S = GRACE_S + 0.2
CALLERS_RELAY, STORE_RELAY = 0, 1
DIRECTIONS = (["to"], ["from"], ["to", "from"])
STORM_COUNT = 5
STORM_GAP_S = 0.15
# Share of the fault's duration in which the store still runs after the copy.
COPY_AGE_SHARE = 0.8
ANSWER_FAULT_SHARE = 0.08
# Shares of requests that a server declines, and back-offs that it requests, seconds.
BACKOFF_SHARES = (0.2, 0.6, 1.0)
BACKOFFS_S = (0.7, 1.5, 3.0)
LIMITS_PER_S = ("0", "1", "3", "6.5")
# Faults of a process itself, as opposed to its links.
PROCESS_KINDS = (
    "freeze server",
    "kill server",
    "freeze gateway",
    "kill gateway",
    "stop gateway",
)
ANSWER_FAULTS = ("lose", "cut", "twice", "another", "nonsense", "hang", "fail")


class Faults:
    """Injects faults, each in a task of its own.

    Parameters
    ----------
    system : SoakSystem
        System that the faults are injected into.
    """

    __slots__ = (
        "_records",
        "_settings_number",
        "_store_lock",
        "_store_modes",
        "_system",
    )

    def __init__(self, system):
        self._system = system
        self._records = system.records
        self._settings_number = 0
        # Modes of the store's active faults, the newest last.
        self._store_modes = []
        # Mode changes must reach the store in the order of `_store_modes`; when faults
        # end together, an overtaken change would otherwise leave a stale mode for good.
        self._store_lock = curio.Lock()

    async def run(self, plan, started_s):
        """Inject the faults of a plan; return when every fault has ended."""
        async with curio.TaskGroup(wait=all) as group:
            for fault in plan:
                await curio.sleep(max(0.0, started_s + fault.at_s - time.monotonic()))
                await group.spawn(self._inject, fault)

    async def _inject(self, fault):
        part, _ = FAULT_KINDS[fault.kind]
        subject = self._subject(part, fault.subject)
        self._records.faults.append(str(fault))
        inject = _INJECTIONS[fault.kind]
        if part not in (GATEWAY, SERVER, STORE):
            await inject(self, subject, fault)
            return
        name = (part, subject.name if subject is not None else part)
        # A planned stop must not abort any request, so it is a kind of its own.
        kind = "stop" if fault.kind == "stop gateway" else name[0]
        disturbed = [(kind, name[1])]
        if fault.kind in PROCESS_KINDS:
            disturbed.append(("process", name[1]))
        begin = self._records.disruptions.begin
        spans = [begin(one, time.monotonic()) for one in disturbed]
        try:
            await inject(self, subject, fault)
        except StartError as error:
            self._records.troubles.append(f"{fault}: {error}")
        finally:
            for span in spans:
                self._records.disruptions.end(span, time.monotonic())

    def _subject(self, part, number):
        if part == GATEWAY:
            return self._system.gateways[number]
        if part in (SERVER, LIMITED):
            return self._system.servers[number]
        return None

    async def freeze(self, node, fault):
        """Freeze a process and thaw it later."""
        if not node.process.running():
            return
        node.process.freeze()
        await curio.sleep(fault.for_s)
        node.process.thaw()

    async def kill_gateway(self, gateway, fault):
        """Kill a gateway, and start it again later."""
        await self._restart_gateway(gateway, signal.SIGKILL, fault)

    async def stop_gateway(self, gateway, fault):
        """Stop a gateway, kill it after its grace period, and start it again.

        While it drains, it gets signals again and again.
        """
        await self._restart_gateway(gateway, signal.SIGTERM, fault)

    async def _restart_gateway(self, gateway, number, fault):
        process = gateway.process
        if not process.running():
            return
        process.send_signal(number)
        began_s = time.monotonic()
        chooser = random.Random(fault.seed)
        while process.running():
            if chooser.random() < SIGNAL_AGAIN_SHARE:
                process.send_signal(chooser.choice(SIGNALS_IN_A_DRAIN))
            now_s = time.monotonic()
            if now_s > began_s + STOP_WAIT_S:
                subject = (GATEWAY, gateway.name)
                if self._records.disruptions.is_undisturbed(subject, began_s, now_s):
                    self._records.troubles.append(f"{gateway.name} had to be killed")
                process.kill()
            await curio.sleep(POLL_S)
        await curio.sleep(fault.for_s)
        if gateway.process is process:
            self._system.start_gateway(gateway)
            await self._system.until_ready(gateway)

    async def reload_gateway(self, gateway, fault):
        """Change a gateway's settings file, with or without a SIGHUP."""
        text = gateway.settings_path.read_text()
        self._settings_number += 1
        text += f"\n# change {self._settings_number}\n"
        gateway.settings_path.write_text(text)
        if fault.seed % 2 and gateway.process.running():
            gateway.process.send_signal(signal.SIGHUP)

    async def delay(self, node, fault, relay=0):
        """Delay the data on a link."""
        delay_ms = random.Random(fault.seed).randint(20, 300)
        await self._disturb_link(node, relay, fault.for_s, delay_ms=delay_ms)

    async def cut(self, node, fault, relay=0):
        """Cut a link in one or both directions."""
        ways = random.Random(fault.seed).choice(DIRECTIONS)
        await self._disturb_link(node, relay, fault.for_s, cut=ways)

    async def reset(self, node, fault, relay=0):
        """Reset all connections of a link."""
        await link(node, "/reset", relay)

    async def silence(self, node, fault, relay=0):
        """Silence all present connections of a link for good."""
        await link(node, "/silence", relay, connections=MANY)

    async def kill_server(self, server, fault):
        """Kill a server and start a new instance at its address."""
        old_id = server.instance_id
        if await self._replace(server, old_id, fault.for_s):
            await curio.sleep(EXPIRY_S)
            await self._system.drop(old_id)

    async def retire_server(self, server, fault):
        """Drain a server and start a new instance at its address."""
        old_id = server.instance_id
        if server.is_down or server.state != "ready":
            return
        await self._system.announce_leaving(server)
        await curio.sleep(DRAIN_S)
        if await self._replace(server, old_id, 0.0):
            await self._system.drop(old_id)

    async def _replace(self, server, old_id, pause_s):
        """Replace an instance of a server; return False if it was gone already."""
        async with server.lock:
            if server.instance_id != old_id or server.is_down:
                return False
            await self._system.record_runs(server)
            server.is_down = True
            server.process.kill()
            server.process.wait()
            await curio.sleep(pause_s)
            self._system.start_server(server)
            return True

    async def corrupt_answers(self, server, fault):
        """Make a server lose, truncate or corrupt some answers."""
        ways = random.Random(fault.seed).sample(ANSWER_FAULTS, 3)
        await self._set_answer_faults(
            server, dict.fromkeys(ways, ANSWER_FAULT_SHARE), fault.seed
        )
        await curio.sleep(fault.for_s)
        await self._set_answer_faults(server, {}, fault.seed)

    async def name_limit(self, server, fault):
        """Make the answers of a server state a limit for a while."""
        limit = random.Random(fault.seed).choice(LIMITS_PER_S)
        instance_id = server.instance_id
        await self._set_stated(server, limit=limit)
        named_s = time.monotonic()
        await curio.sleep(fault.for_s)
        ended_s = time.monotonic()
        if server.instance_id == instance_id:
            await self._set_stated(server, limit=None)
            self._records.limits.append(
                NamedLimit(instance_id, float(limit), named_s, ended_s)
            )

    async def request_backoff(self, server, fault):
        """Make a server decline requests and request back-off for a while."""
        drawn = random.Random(fault.seed)
        instance_id = server.instance_id
        backoff = [drawn.choice(BACKOFF_SHARES), drawn.choice(BACKOFFS_S)]
        await self._set_stated(server, backoff=backoff)
        await curio.sleep(fault.for_s)
        if server.instance_id == instance_id:
            await self._set_stated(server, backoff=None)

    async def announce_leaving_in_answers(self, server, fault):
        """Replace a server that announces only in its answers that it leaves."""
        old_id = server.instance_id
        if server.is_down or server.state != "ready":
            return
        await self._set_stated(server, leaving=True)
        await curio.sleep(DRAIN_S)
        if await self._replace(server, old_id, 0.0):
            await self._system.drop(old_id)

    async def _set_stated(self, server, **stated):
        if not server.is_down and server.process.running():
            await self._system.set_server(server, **stated)

    async def store_mode(self, subject, fault, mode, lapse=False):
        """Set a failure mode of the store for a while; `lapse` drops all targets."""
        token = (mode, fault.seed)
        async with self._store_lock:
            self._store_modes.append(token)
            await self._system.set_store(mode=mode)
        await curio.sleep(fault.for_s / 2)
        if lapse:
            await self._system.set_store(lapse=TARGETS_TOPIC)
        await curio.sleep(fault.for_s / 2)
        async with self._store_lock:
            self._store_modes.remove(token)
            left = self._store_modes[-1][0] if self._store_modes else "up"
            await self._system.set_store(mode=left)

    async def compact_store(self, subject, fault):
        """Make the store drop the old records of both topics."""
        for topic in (TARGETS_TOPIC, "keyed.op"):
            await self._system.set_store(forget=topic)

    async def restore_older_store(self, subject, fault):
        """Make the store unavailable and restore an older copy."""
        await self._system.set_store(copy=True)
        await curio.sleep(fault.for_s * COPY_AGE_SHARE)
        token = ("busy", fault.seed)
        async with self._store_lock:
            self._store_modes.append(token)
            await self._system.set_store(mode="busy")
        await curio.sleep(fault.for_s * (1 - COPY_AGE_SHARE))
        async with self._store_lock:
            self._store_modes.remove(token)
            left = self._store_modes[-1][0] if self._store_modes else "up"
            await self._system.set_store(restore=True, mode=left)
        await self._system.rewrite_entries()

    async def publish(self, subject, fault, count=1):
        """Publish a configuration version, or several in quick succession."""
        for _ in range(count):
            await self._system.publish()
            await curio.sleep(STORM_GAP_S)

    async def evacuate(self, subject, fault):
        """Evacuate a failure domain, and withdraw the evacuation later."""
        evacuation = await self._system.evacuate(DOMAINS[fault.subject])
        await curio.sleep(fault.for_s)
        await self._system.withdraw_evacuation(evacuation)

    async def turn_cold(self, server, fault):
        """Make a server cold, as its entry in the store then states."""
        if server.is_down or server.state != "ready":
            return
        await self._system.turn_cold(server, fault.for_s)

    async def _disturb_link(self, node, relay, for_s, **values):
        await link(node, "/link", relay, **values)
        await curio.sleep(for_s)
        await link(node, "/link", relay)

    async def _set_answer_faults(self, server, shares, seed):
        if not server.is_down and server.process.running():
            await self._system.set_server(server, shares=shares, seed=seed)


_INJECTIONS = {
    "freeze gateway": Faults.freeze,
    "kill gateway": Faults.kill_gateway,
    "stop gateway": Faults.stop_gateway,
    "reload gateway": Faults.reload_gateway,
    "delay callers": partial(Faults.delay, relay=CALLERS_RELAY),
    "reset callers": partial(Faults.reset, relay=CALLERS_RELAY),
    "silence callers": partial(Faults.silence, relay=CALLERS_RELAY),
    "cut callers": partial(Faults.cut, relay=CALLERS_RELAY),
    "delay store link": partial(Faults.delay, relay=STORE_RELAY),
    "reset store link": partial(Faults.reset, relay=STORE_RELAY),
    "silence store link": partial(Faults.silence, relay=STORE_RELAY),
    "cut store link": partial(Faults.cut, relay=STORE_RELAY),
    "freeze server": Faults.freeze,
    "kill server": Faults.kill_server,
    "retire server": Faults.retire_server,
    "spoil answers": Faults.corrupt_answers,
    "name a limit": Faults.name_limit,
    "request back-off": Faults.request_backoff,
    "say leaving": Faults.announce_leaving_in_answers,
    "delay server link": Faults.delay,
    "reset server link": Faults.reset,
    "silence server link": Faults.silence,
    "cut server link": Faults.cut,
    "cut server link for long": Faults.cut,
    "store busy": partial(Faults.store_mode, mode="busy"),
    "store silent": partial(Faults.store_mode, mode="silent"),
    "store resets": partial(Faults.store_mode, mode="reset"),
    "store deaf": partial(Faults.store_mode, mode="deaf"),
    "store forgets": Faults.compact_store,
    "store comes back older": Faults.restore_older_store,
    "entries lapse": partial(Faults.store_mode, mode="busy", lapse=True),
    "evacuate domain": Faults.evacuate,
    "turn cold": Faults.turn_cold,
    "publish": Faults.publish,
    "publish storm": partial(Faults.publish, count=STORM_COUNT),
}
