"""The groups that this process controls."""

import functools
import zlib

import curio

from siskinthread.errors import PlatformUnavailableError
from siskinthread.group_maps._controller import GroupController
from siskinthread.group_maps._memory import GroupMemory
from siskinthread.group_maps._ranks import GroupRanks
from siskinthread.group_maps._slow_ranks import SlowRanks
from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

_logger = part_logger("group_maps")


class GroupDuty:
    """Controls the groups whose share of the work falls to this process.

    Parameters
    ----------
    directory : GroupDirectory
        Which groups there are.
    shares : object
        ``async renew()`` returns the `Shares` that this process holds, ``async
        leave()`` gives them up; both raise `PlatformUnavailableError`.
    find_layout : callable
        Returns the `ExpertLayout` of a group by an instance id of it, or None.
    home : object
        What is known of this entry and of streams: ``is_control_candidate()``, whether
        it should control groups; ``is_draining()``, whether it should hand its shares
        over; ``is_heir_of(name)``, whether it should control a group whose controller
        has fallen silent; ``note_controlled(names)`` is told the groups that it
        controls; ``is_home(name, domains)``, whether a group whose
        ranks are in some failure domains is controlled from the own one;
        ``is_store_unreachable()``, whether nobody can get shares at present;
        ``should_release(name)``, whether a group stands still and this process should
        see to it; ``is_broken(name)``, whether a group is known to be broken;
        ``pass_view(name)``, the times of its passes; ``note_slow(name,
        ids)`` is told its targets that should get no requests.
    settings : GroupMapSettings
        Times.
    clock : siskinthread.timing.Clock
        Clocks.
    measures : MapMeasures
        Metrics.
    random : random.Random
        For versions of maps.

    Notes
    -----
    Two processes may control one group for a while; a change is safe then too, see
    `MapChange`, but they hinder one another.

    A controller that is stopped in the middle of a change leaves its group held, and
    its share passes on only when it lapses.  So groups that stand still are relieved
    before that: groups were held for 4 s otherwise.  For the same reason the controller
    of a group that has fallen silent is replaced by an heir until its share passes on.
    """

    __slots__ = (
        "_clock",
        "_controllers",
        "_directory",
        "_expiry",
        "_find_layout",
        "_held",
        "_measures",
        "_memories",
        "_home",
        "_is_leaving",
        "_knows_groups",
        "_random",
        "_reliefs",
        "_settings",
        "_shares",
    )

    def __init__(
        self,
        directory,
        shares,
        find_layout,
        home,
        settings,
        clock,
        measures,
        random,
    ):
        self._home = home
        self._random = random
        self._directory = directory
        self._shares = shares
        self._find_layout = find_layout
        self._settings = settings
        self._clock = clock
        self._measures = measures
        self._controllers = {}
        # By group; they outlive the controllers.
        self._memories = {}
        # Tasks that relieve groups which others control, and until when no other one
        # is begun, by group.
        self._reliefs = {}
        self._held = None
        self._is_leaving = False
        # Whether a group was ever complete.
        self._knows_groups = False
        self._expiry = Deadline.after(clock, 0.0)

    def controlled_groups(self):
        """Return the names of the groups that this process controls."""
        return list(self._controllers)

    async def run(self):
        """Hold the shares and control their groups until cancelled."""
        try:
            next_renewal = Deadline.after(self._clock, 0.0)
            while True:
                if self._home.is_draining():
                    await self._leave()
                elif next_renewal.passed() and self._has_known_groups():
                    wait_s = self._settings.renew_interval_s
                    next_renewal = Deadline.after(self._clock, wait_s)
                    await self._renew()
                await self._reconcile()
                await curio.sleep(self._settings.reconcile_interval_s)
        finally:
            await self._stop_all()

    def _has_known_groups(self):
        """Return whether any group was ever complete; shares are of no use before.

        Each renewal is a call that is paid for.
        """
        self._knows_groups |= bool(self._directory.complete_groups())
        return self._knows_groups

    async def hand_over(self, limit_s):
        """Wait until the shares of a draining entry are handed over.

        Parameters
        ----------
        limit_s : float
            Longest wait, seconds.

        Returns
        -------
        bool
            Whether they are.
        """
        limit = Deadline.after(self._clock, limit_s)
        while self._held is not None or self._is_leaving:
            if limit.passed():
                return False
            await curio.sleep(self._settings.watch_interval_s)
        return True

    async def _renew(self):
        if not self._home.is_control_candidate():
            await self._leave()
            return
        expiry = Deadline.after(self._clock, self._settings.share_lapse_s)
        try:
            self._held = await self._shares.renew()
        except PlatformUnavailableError as error:
            # While nobody reaches the store, nobody else gets the shares either, and
            # the demand goes on shifting: maps stood still for the rest of an outage.
            is_taken_over = (
                self._expiry.passed() and not self._home.is_store_unreachable()
            )
            if self._held is not None and is_taken_over:
                _logger.event("shares have lapsed", reason=str(error))
                self._held = None
            return
        self._expiry = expiry

    async def _leave(self):
        """Hand the shares over, after the changes that are under way."""
        if self._held is None:
            return
        self._held = None
        self._is_leaving = True
        _logger.event("shares are left to others")
        try:
            await self._reconcile()
            await self._shares.leave()
        except PlatformUnavailableError as error:
            _logger.event("shares can't be left and will lapse", reason=str(error))
        finally:
            self._is_leaving = False

    async def _reconcile(self):
        complete = self._directory.complete_groups()
        await self._relieve_stalled(complete)
        groups = {
            name: clients
            for name, clients in complete.items()
            if self._is_to_control(name, clients)
        }
        for name in list(self._controllers):
            ids, task = self._controllers[name]
            if task.terminated:
                # By an error of its own, which its task has logged.
                del self._controllers[name]
                _logger.event("control of a group broke off", group=name)
            elif name not in groups or list(groups[name]) != ids:
                del self._controllers[name]
                await task.cancel()
                _logger.event("group is not controlled here any more", group=name)
        for name, clients in groups.items():
            if name not in self._controllers:
                await self._start(name, clients)
        self._home.note_controlled(self._controllers)

    def _is_to_control(self, name, clients):
        if not self._home.is_home(name, self._directory.domains_of(clients)):
            return False
        is_held = self._held is not None and self._held.contains(name)
        return is_held or self._home.is_heir_of(name)

    async def _relieve_stalled(self, groups):
        for name, (task, pause) in list(self._reliefs.items()):
            if task.terminated and pause.passed():
                del self._reliefs[name]
        for name, clients in groups.items():
            if name in self._controllers or name in self._reliefs:
                continue
            if self._home.should_release(name):
                controller = self._build_controller(name, clients)
                if controller is not None:
                    task = await curio.spawn(controller.relieve, daemon=True)
                    _logger.event("group that stands still is looked at", group=name)
                    wait_s = self._settings.relief_interval_s
                    self._reliefs[name] = task, Deadline.after(self._clock, wait_s)

    def _build_controller(self, name, clients):
        layout = self._find_layout(next(iter(clients)))
        if layout is None:
            return None
        ranks = GroupRanks(
            list(clients.values()), self._settings, self._clock, self._measures
        )
        return GroupController(
            name,
            ranks,
            layout,
            self._home.pass_view(name),
            self._memories.setdefault(name, GroupMemory(self._settings)),
            self._settings,
            self._clock,
            self._measures,
            SlowRanks(
                list(clients),
                functools.partial(self._home.note_slow, name),
                self._settings,
            ),
            self._random,
            functools.partial(self._home.is_broken, name),
        )

    async def _start(self, name, clients):
        controller = self._build_controller(name, clients)
        if controller is None:
            return
        layout = self._find_layout(next(iter(clients)))
        task = await curio.spawn(controller.run, daemon=True)
        self._controllers[name] = (list(clients), task)
        _logger.event(
            "group is controlled here",
            group=name,
            by_share=self._held is not None and self._held.contains(name),
            ranks=len(clients),
            pass_fixed_s=layout.model.fixed_s,
            pass_request_s=layout.model.request_s,
        )

    async def _stop_all(self):
        async with curio.disable_cancellation():
            for _, task in self._controllers.values():
                await task.cancel()
            for task, _ in self._reliefs.values():
                await task.cancel()
        self._controllers.clear()
        self._reliefs.clear()


class Shares:
    """The part of all groups that a process holds.

    Parameters
    ----------
    numbers : set of int
        Numbers of its shares.
    count : int
        Number of all shares.
    """

    __slots__ = ("_count", "_numbers")

    def __init__(self, numbers, count):
        self._numbers = numbers
        self._count = count

    def contains(self, name):
        """Return whether a group falls to this process."""
        return zlib.crc32(name.encode()) % self._count in self._numbers
