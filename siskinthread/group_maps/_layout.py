"""Which rank of a group holds which experts, and how even that makes their work."""

from siskinthread.errors import InvariantError


class ExpertLayout:
    """Shape of the expert maps of a model service.

    Parameters
    ----------
    set_count : int
        Sets of layers that have experts of their own.
    expert_count : int
        Experts of a set.
    place_count : int
        Most experts that a rank holds of a set.
    spare_count : int
        Most experts of a set that one change may bring to a rank.
    expert_share : float
        Part of the work for a token that its experts do.
    copy_s : float
        Time that a rank takes to copy one expert, seconds.
    report_lag_s : float
        Age of what a rank reports, seconds.
    """

    __slots__ = (
        "copy_s",
        "expert_count",
        "expert_share",
        "place_count",
        "report_lag_s",
        "set_count",
        "spare_count",
    )

    def __init__(
        self,
        set_count,
        expert_count,
        place_count,
        spare_count,
        expert_share,
        copy_s,
        report_lag_s,
    ):
        self.set_count = set_count
        self.expert_count = expert_count
        self.place_count = place_count
        self.spare_count = spare_count
        self.expert_share = expert_share
        self.copy_s = copy_s
        self.report_lag_s = report_lag_s


class GroupMap:
    """An expert map of one group.

    Parameters
    ----------
    version : int
        Rises with each change.
    holdings : list of list of tuple of int
        Experts by set and rank.

    Raises
    ------
    InvariantError
        If an expert is on no rank: tokens that choose it would have nowhere to go.
    """

    __slots__ = ("holdings", "version")

    def __init__(self, version, holdings, expert_count):
        self.version = version
        self.holdings = holdings
        for ranks in holdings:
            held = {expert for rank in ranks for expert in rank}
            if len(held) != expert_count or max(held) >= expert_count:
                raise InvariantError("an expert map must hold every expert, no other")

    def new_experts(self, other):
        """Return the most experts that a rank must copy to get to another map."""
        added = [0] * len(self.holdings[0])
        for own_ranks, other_ranks in zip(self.holdings, other.holdings, strict=True):
            for rank, experts in enumerate(other_ranks):
                added[rank] += len(set(experts) - set(own_ranks[rank]))
        return max(added)


def rank_loads(ranks, loads):
    """Return the load of each rank in one set.

    Parameters
    ----------
    ranks : list of collection of int
        Experts of each rank.
    loads : list of float
        Load of each expert; the ranks that hold it share it evenly.
    """
    replicas = replica_counts(ranks, len(loads))
    return [sum(loads[one] / replicas[one] for one in experts) for experts in ranks]


def replica_counts(ranks, expert_count):
    """Return how many ranks hold each expert of one set."""
    counts = [0] * expert_count
    for experts in ranks:
        for expert in experts:
            counts[expert] += 1
    return counts


def relative_pass_time(holdings, loads_by_set, expert_share):
    """Return the time of a pass relative to evenly loaded ranks.

    Set by set the group waits for its most loaded rank.
    """
    ratios = []
    for ranks, loads in zip(holdings, loads_by_set, strict=True):
        by_rank = rank_loads(ranks, loads)
        mean = sum(by_rank) / len(by_rank)
        ratios.append(max(by_rank) / mean if mean else 1.0)
    return 1 - expert_share + expert_share * sum(ratios) / len(ratios)
