"""Changes the expert map of a group so that no pass mixes two maps.

The order of events, for the change to a map with version V:

1. ``Prepare`` on every rank, until each reports V as prepared.  Nothing depends on it.
2. ``Hold`` of a pass P some way ahead on rank 0.  From its confirmation on, the group
   does not begin P without ``Release``.
3. ``Arm`` of V at P on every rank, until all have confirmed.
4. ``Release`` of P, normally before the group gets there, so that it never stands.

Two facts keep every pass unmixed, whatever is lost, late, or done by two controllers.
P begins only after a release, and a release is sent only once all ranks were armed
with one version for P, or once none was and none can be any more.  And ranks that are
all armed stay so until P begins: `finish_or_undo` disarms only if some rank is not
armed and can't be.  Orders that are carried out late change nothing: an arm or a hold
for a pass that has begun is refused, a prepare with a version that is not the highest
is too, and versions are not used twice.
"""

import enum
import math

import curio

from siskinthread.errors import TargetError
from siskinthread.group_maps._layout import GroupMap
from siskinthread.group_maps._orders import (
    Arm,
    Disarm,
    Hold,
    OrderResult,
    Prepare,
    Release,
)
from siskinthread.observability import part_logger
from siskinthread.timing import Deadline

_logger = part_logger("group_maps")

# A hold names a pass that may just have begun; a later one is tried then.
HOLD_TRIES = 4
HOLDING_RANK = 0


class ChangeResult(enum.Enum):
    """What became of a change."""

    IN_FORCE = "in force"
    # Some rank did not prepare; no pass was held.
    NOT_BEGUN = "not begun"
    # A pass may be held; `finish_or_undo` has to follow.
    LEFT_HELD = "left held"


class MapChange:
    """Changes the map of one group.

    Parameters
    ----------
    ranks : GroupRanks
        The ranks.
    layout : ExpertLayout
        Shape of the maps.
    settings : GroupMapSettings
        Waits.
    clock : siskinthread.timing.Clock
        Clock of the waits.
    """

    __slots__ = ("_clock", "_layout", "_ranks", "_settings")

    def __init__(self, ranks, layout, settings, clock):
        self._ranks = ranks
        self._layout = layout
        self._settings = settings
        self._clock = clock

    async def run(self, epoch, old_map, new_map, pass_s):
        """Put a new map in force.

        Parameters
        ----------
        epoch : int
            Epoch in which the change was planned.
        old_map, new_map : GroupMap
            The maps.
        pass_s : float
            Time of a pass, seconds, to choose a pass that is not begun too soon.

        Returns
        -------
        ChangeResult
        """
        if not await self._prepare(epoch, new_map):
            return ChangeResult.NOT_BEGUN
        copying_s = old_map.new_experts(new_map) * self._layout.copy_s
        report = await self._wait_until_prepared(epoch, new_map.version, copying_s)
        if report is None:
            return ChangeResult.NOT_BEGUN
        pass_number = await self._hold(epoch, report, pass_s)
        if pass_number is None:
            return ChangeResult.LEFT_HELD
        arm = Arm(epoch, new_map.version, pass_number)
        results = await self._ranks.tell_all(
            dict.fromkeys(range(len(self._ranks.clients)), arm)
        )
        if not _all_taken(results):
            return ChangeResult.LEFT_HELD
        released = await self._ranks.tell(HOLDING_RANK, Release(epoch, pass_number))
        if released is not OrderResult.TAKEN:
            return ChangeResult.LEFT_HELD
        return ChangeResult.IN_FORCE

    async def _prepare(self, epoch, new_map):
        prepare = Prepare(epoch, new_map)
        results = await self._ranks.tell_all(
            dict.fromkeys(range(len(self._ranks.clients)), prepare)
        )
        return _all_taken(results)

    async def _wait_until_prepared(self, epoch, version, copying_s):
        """Return the report of the holding rank once all ranks are prepared."""
        lag_s = self._layout.report_lag_s
        await curio.sleep(copying_s + lag_s)
        limit = Deadline.after(self._clock, self._settings.prepare_margin_s)
        while not limit.passed():
            try:
                reports = await self._ranks.reports()
            except TargetError as error:
                _logger.event("no report while preparing", reason=str(error))
                await curio.sleep(lag_s)
                continue
            if any(one.epoch != epoch or not one.is_open for one in reports):
                return None
            if all(one.prepared_version == version for one in reports):
                return reports[HOLDING_RANK]
            await curio.sleep(lag_s)
        return None

    async def _hold(self, epoch, report, pass_s):
        """Return the pass that is held, None if no hold was confirmed."""
        behind = math.ceil(self._layout.report_lag_s / pass_s)
        pass_number = report.pass_number + behind + self._settings.passes_ahead
        for _ in range(HOLD_TRIES):
            result = await self._ranks.tell(HOLDING_RANK, Hold(epoch, pass_number))
            if result is OrderResult.TAKEN:
                return pass_number
            if result is OrderResult.UNKNOWN:
                return None
            pass_number += self._settings.passes_ahead
        return None

    async def finish_or_undo(self, current_map):
        """Bring a group on that some change has left held or armed.

        Parameters
        ----------
        current_map : GroupMap
            The map in force; prepared anew to rule out late orders of a change that
            is undone.

        Returns
        -------
        bool
            Whether nothing is held or armed any more, as of the reports.

        Raises
        ------
        TargetError
            If a rank does not report; nothing is known then.
        """
        reports = await self._ranks.reports()
        epoch = reports[HOLDING_RANK].epoch
        if any(one.epoch != epoch or not one.is_open for one in reports):
            # It forms anew, and forgets everything with that.
            return True
        held_pass = reports[HOLDING_RANK].held_pass
        armed = {one.rank: one.armed for one in reports if one.armed is not None}
        if held_pass is None and not armed:
            return True
        versions = {one.version for one in armed.values()}
        _logger.event(
            "a change was left",
            group=reports[0].group_name,
            epoch=epoch,
            held_pass=held_pass,
            armed_ranks=sorted(armed),
            versions=sorted(versions),
        )
        if held_pass is None:
            # Released already; the ranks switch as that pass begins.
            return True
        if len(armed) == len(reports) and len(versions) == 1:
            await self._ranks.tell(HOLDING_RANK, Release(epoch, held_pass))
        elif len(versions) == 1 and self._can_finish(reports, *versions):
            arm = Arm(epoch, *versions, held_pass)
            await self._ranks.tell_all(
                {one.rank: arm for one in reports if one.armed is None}
            )
        elif armed:
            await self._ranks.tell_all(
                {rank: Disarm(epoch, one.version) for rank, one in armed.items()}
            )
        else:
            await self._rule_out_and_release(epoch, reports, current_map, held_pass)
        # What was done shows in the reports only after their lag.
        await curio.sleep(self._layout.report_lag_s)
        return False

    def _can_finish(self, reports, version):
        return all(
            one.prepared_version == version for one in reports if one.armed is None
        )

    async def _rule_out_and_release(self, epoch, reports, current_map, held_pass):
        """Release a pass that no rank is armed for, once none can be any more.

        A controller that was paused may still send an arm.  It names a version that is
        no longer prepared once a higher one is, so it is refused.
        """
        version = 1 + highest_version(reports)
        blank = GroupMap(version, current_map.holdings, self._layout.expert_count)
        if not await self._prepare(epoch, blank):
            return
        await curio.sleep(self._layout.report_lag_s)
        after = await self._ranks.reports()
        is_ruled_out = all(
            one.epoch == epoch and one.armed is None and one.prepared_version == version
            for one in after
        )
        if is_ruled_out:
            await self._ranks.tell(HOLDING_RANK, Release(epoch, held_pass))


def highest_version(reports):
    """Return the highest map version that any rank has heard of."""
    versions = [0]
    for one in reports:
        versions.append(one.map_version)
        versions.append(one.prepared_version or 0)
        versions.append(0 if one.armed is None else one.armed.version)
    return max(versions)


def _all_taken(results):
    return all(result is OrderResult.TAKEN for result in results.values())
