"""Settings of the gateway."""

from siskinthread.gateway._connection_settings import ConnectionSettings
from siskinthread.load_control import (
    LoadControlSettings,
    ReturnSettings,
    SpeedSettings,
    WaitingSettings,
)
from siskinthread.poison_requests import PoisonSettings
from siskinthread.settings import Item, Section
from siskinthread.target_limits import (
    ColdTargetSettings,
    TargetBackoffSettings,
    TargetLimitSettings,
)


class GatewaySettings(Section):
    """Limits and waits of an entry that calls targets directly."""

    connections_limit = Item(
        int,
        default=3000,
        minimum=1,
        description="Connections of callers served at once. Three quarters of the "
        "4,100 descriptors that the smallest entry hosts have; targets take the rest.",
    )
    head_size_limit_bytes = Item(
        int,
        default=16_384,
        minimum=256,
        description="Largest head of a request until operators publish a limit.",
    )
    body_size_limit_bytes = Item(
        int,
        default=4_194_304,
        minimum=1,
        description="Largest body of a request until operators publish a limit.",
    )
    bodies_limit_bytes = Item(
        int,
        default=67_108_864,
        minimum=1,
        description="Memory for the bodies of all requests together. A quarter of the "
        "300 MB that the smallest entry hosts have.",
    )
    answers_limit_bytes = Item(
        int,
        default=0,
        minimum=0,
        description="Memory for answers that are held until they are whole, all "
        "together; 0 for any. Beyond it, answers are passed on as they come.",
    )
    slow_readers_limit_bytes = Item(
        int,
        default=0,
        minimum=0,
        description="Memory, the kernel's buffers among it, for answers that callers "
        "take slowly, all together; 0 for any. Beyond it, the slowest callers' "
        "connections are ended.",
    )
    pipelined_limit_bytes = Item(
        int,
        default=65_536,
        minimum=1,
        description="Bytes taken from a caller ahead of the request that is served.",
    )
    send_buffer_bytes = Item(
        int,
        default=131_072,
        minimum=1,
        description="Kernel's send buffer of a caller's connection.",
    )
    idle_limit_s = Item(
        float,
        default=15.0,
        minimum=0.0,
        description="Longest wait for the next request until operators publish one.",
    )
    head_limit_s = Item(
        float,
        default=3.0,
        minimum=0.0,
        description="Longest time for the head of a request until operators publish "
        "one.",
    )
    body_limit_s = Item(
        float,
        default=10.0,
        minimum=0.0,
        description="Longest time from the end of a head to the end of the body. Above "
        "the longest deadline of callers, 8 s.",
    )
    write_progress_limit_s = Item(
        float,
        default=5.0,
        minimum=0.0,
        description="Longest time without the caller taking a byte of its answer. "
        "Callers give a stream up after 2 s without an event.",
    )
    linger_limit_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="Longest wait, after the last answer of a connection, for the "
        "caller to close its side. Callers are less than 50 ms away.",
    )
    watch_interval_s = Item(
        float,
        default=0.1,
        minimum=0.001,
        description="Time between two checks of the limits of callers' connections.",
    )
    balancer_notice_s = Item(
        float,
        default=2.3,
        minimum=0.0,
        description="Time from failing readiness until connections are refused. The "
        "balancer asks once a second and acts on the second miss, after 2 s at most. "
        "With idle_grace_s below 2.9 s: requests that come later are not sure to end "
        "before the process is killed.",
    )
    idle_grace_s = Item(
        float,
        default=0.3,
        minimum=0.0,
        description="Time that an idle connection is kept during a drain, so that a "
        "request just under way is still answered. Callers are less than 50 ms away.",
    )
    stop_margin_s = Item(
        float,
        default=0.4,
        minimum=0.0,
        description="Part of the time to stop that is left unused, so that the last "
        "answers are out before the process is killed.",
    )
    connect_limit_s = Item(
        float,
        default=0.1,
        minimum=0.0,
        description="Longest wait for a connection to a target. Hosts are less than "
        "15 ms apart; a lost opening packet is sent again only after 1 s. Small, so "
        "that a stream whose first target can't be reached has its first event within "
        "0.4 s from another one.",
    )
    silence_limit_s = Item(
        float,
        default=1.2,
        minimum=0.0,
        description="Longest time without an acknowledgement of sent bytes, or of a "
        "probe, on a connection to a target. More than one retransmission at 200 ms "
        "to 400 ms, less than the 2 s after which callers leave a silent stream.",
    )
    whole_answer_limit_bytes = Item(
        int,
        default=262_144,
        minimum=0,
        description="Largest answer that is held until it is whole, so that another "
        "target can be asked if it breaks off; a larger one is passed on as it comes.",
    )
    answer_head_limit_bytes = Item(
        int, default=65_536, minimum=256, description="Largest head of an answer."
    )
    idle_connections_limit = Item(
        int,
        default=16,
        minimum=0,
        description="Idle connections kept to one target. Twice its slots.",
    )
    reuse_limit_s = Item(
        float,
        default=4.0,
        minimum=0.0,
        description="Longest rest of a connection to a target that is used again, if "
        "the target states no shorter one.",
    )
    connections = Item(
        ConnectionSettings,
        description="Preference of kept connections to targets.",
    )
    lapse_grace_s = Item(
        float,
        default=2.2,
        minimum=0.0,
        description="How long entries that lapse around an outage of the target list "
        "are kept after it. Living targets are listed again within about 2 s.",
    )
    lapse_limit_s = Item(
        float,
        default=2.8,
        minimum=0.0,
        description="How long such entries are kept at most since the last call that "
        "the source did not answer began. A host that was cut off must not use a "
        "target that has left from 3 s after the cut on.",
    )
    lapse_least_s = Item(
        float,
        default=1.6,
        minimum=0.0,
        description="How long they are kept at least, though that call was long ago.",
    )
    evacuation_kept_s = Item(
        float,
        default=30.0,
        minimum=0.0,
        description="How long a failure domain stays evacuated that the source does "
        "not list any more since it came back older than it was. Operators write their "
        "records again within some seconds.",
    )
    leaving_told_s = Item(
        float,
        default=10.0,
        minimum=0.0,
        description="How long entries tell one another of a target that has said that "
        "it leaves; longer than hosts that are cut off miss their news.",
    )
    leaving_told_limit = Item(
        int,
        default=32,
        minimum=1,
        description="Such targets that a datagram names, the newest first; some 1 KB "
        "of its 8 KB.",
    )
    reread_spread_s = Item(
        float,
        default=0.5,
        minimum=0.0,
        description="Time over which the hosts of a failure domain read anew from a "
        "source that has come back older, after the first of them. Half of the time "
        "in which 99 hosts read 4 MB each at 800 MB a second, and a quarter of the 2 s "
        "in which a change must be in force.",
    )
    load_report_limit_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="How long the load that a target stated counts. Half of the time "
        "that a stream takes.",
    )
    slow_memory_s = Item(
        float,
        default=2.0,
        minimum=0.0,
        description="How long the word of a group's controller that targets are slow "
        "counts. It asks those twice a second.",
    )
    full_load = Item(
        float,
        default=0.93,
        minimum=0.1,
        description="Requests for each slot of the targets that could take a request, "
        "from which on it is refused. Nearer to 1 each freed slot is seen by all "
        "entries at once: with 39 of them, ten sent to it within 0.2 s, and 428 "
        "requests were at targets with 320 slots.",
    )
    fair_load = Item(
        float,
        default=0.75,
        minimum=0.0,
        description="Requests for each slot from which on accounts that surge are "
        "refused. What is left to full_load takes the others' requests for as long as "
        "a stream takes, until slots of the surge come free.",
    )
    surge_ratio = Item(
        float,
        default=2.0,
        minimum=1.0,
        description="How many times its usual an account may use while targets are "
        "nearly full, relative to what most accounts use of theirs.",
    )
    surge_margin_count = Item(
        int,
        default=3,
        minimum=0,
        description="Requests that an account may have beside that; less is chance.",
    )
    account_sample_interval_s = Item(
        float,
        default=1.0,
        minimum=0.01,
        description="Time between two samples of what accounts use.",
    )
    account_sample_weight = Item(
        float,
        default=0.03,
        minimum=0.0,
        description="Least weight of a sample in what an account uses usually: half of "
        "it is of the last 23 s, so that a surge of seconds does not become the usual.",
    )
    account_least_samples = Item(
        int,
        default=4,
        minimum=1,
        description="Samples until what an account uses usually is known.",
    )
    forgotten_account_mean = Item(
        float,
        default=0.01,
        minimum=0.0,
        description="Usual requests below which an account is forgotten.",
    )
    away_load = Item(
        float,
        default=0.2,
        minimum=0.0,
        description="By how much the own failure domain must be more loaded than the "
        "others for a request to be sent there, in parts of the slots, where only the "
        "entries of the own one tell of their requests soon. One slot of five.",
    )
    retry_after_s = Item(
        float,
        default=1.8,
        minimum=0.0,
        description="Mean time after which a caller that was refused should come back; "
        "near the time that a stream takes.",
    )
    retry_window_s = Item(
        float,
        default=10.0,
        minimum=0.1,
        description="Window of the budget of repeats, unless the host's settings state "
        "another one.",
    )
    retry_share = Item(
        float,
        default=0.2,
        minimum=0.0,
        description="Repeats for each request in the window that all entries together "
        "may make, unless the host's settings state another one.",
    )
    retry_floor_count = Item(
        int,
        default=88,
        minimum=0,
        description="Repeats in the window beside the share, of all entries together, "
        "unless the host's settings state another number. That of the smallest fleet.",
    )
    retry_margin = Item(
        float,
        default=0.75,
        minimum=0.0,
        description="Part of the budget of repeats that is used. The rest is for "
        "entries that were not known to others when they divided it.",
    )
    end_check_limit_s = Item(
        float,
        default=0.1,
        minimum=0.0,
        description="Longest wait for whether a target that broke an exchange off "
        "still listens. Hosts are less than 15 ms apart, and one whose process has "
        "ended refuses at once.",
    )
    end_settle_s = Item(
        float,
        default=0.02,
        minimum=0.0,
        description="How long a connection to such a target must stay open for the "
        "target to count as one that goes on. A process that exits resets it as soon "
        "as its listener is closed, which may come after the end of its connections.",
    )
    ejection_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="How long a target is passed over after its first failure in a "
        "row; doubled by each further one.",
    )
    ejection_limit_s = Item(
        float,
        default=4.0,
        minimum=0.0,
        description="Longest time that a failing target is passed over; the length of "
        "the common short outages.",
    )
    avoided_s = Item(
        float,
        default=0.2,
        minimum=0.0,
        description="Time for which a target that has declined a request gets one only "
        "if no other target can take it; it doubles with each further decline.",
    )
    avoided_limit_s = Item(
        float,
        default=1.6,
        minimum=0.0,
        description="Longest such time.",
    )
    avoided_memory_s = Item(
        float,
        default=5.0,
        minimum=0.0,
        description="Time after which a decline counts no more for the next one.",
    )
    reachability_count = Item(
        int,
        default=3,
        minimum=2,
        description="Targets of a failure domain that can't be connected to one after "
        "the other, without an answer of any target there, from which on no request "
        "is sent there. Single targets that are gone are passed over one by one.",
    )
    reachability_window_s = Item(
        float,
        default=2.0,
        minimum=0.1,
        description="Time within which these failures must come.",
    )
    reachability_check_s = Item(
        float,
        default=0.5,
        minimum=0.05,
        description="Time between two checks of a failure domain that can't be "
        "reached. Callers that come back after a refusal wait for longer.",
    )
    stall_limit_s = Item(
        float,
        default=0.5,
        minimum=0.05,
        description="Time without an event for any stream of a group after which the "
        "group is taken to stand still. Passes take 0.05 s to 0.13 s, and 0.27 s with "
        "a rank that is half as fast.",
    )
    stall_memory_s = Item(
        float,
        default=1.0,
        minimum=0.0,
        description="How long a group counts as standing still after its last silent "
        "stream has ended. Then a request tries it, which its caller leaves after 2 s.",
    )
    group_ejection_s = Item(
        float,
        default=0.8,
        minimum=0.0,
        description="How long a group is passed over after the last sign that it is "
        "broken, if reports don't tell; then one request tests it. Groups form anew "
        "within 0.6 s.",
    )
    outage_reported_s = Item(
        float,
        default=0.8,
        minimum=0.05,
        description="How long a rank's report that its group is broken counts; no "
        "request tests the group meanwhile. Four intervals between two reports.",
    )
    outage_test_limit_s = Item(
        float,
        default=2.0,
        minimum=0.05,
        description="How long a request that tests a broken group bars another one. "
        "Callers leave a stream that is silent for 2 s.",
    )
    outage_lead_s = Item(
        float,
        default=2.0,
        minimum=0.0,
        description="How long before a group is known to be broken its ranks may have "
        "failed from the same cause. They stall for 1.5 s before they decline.",
    )
    outage_told_s = Item(
        float,
        default=3.0,
        minimum=0.0,
        description="How long peers are told of the state of a group after it was "
        "seen; three regular datagrams to other failure domains.",
    )
    outage_forgotten_s = Item(
        float,
        default=60.0,
        minimum=1.0,
        description="Time without any sign of a broken group after which it is "
        "forgotten; its ranks have been replaced by another group's.",
    )
    controllers_per_domain = Item(
        int,
        default=3,
        minimum=1,
        description="Entries of each failure domain among which the control of groups "
        "is shared out. With three, two may fail before others join.",
    )
    return_limit_share = Item(
        float,
        default=0.31,
        minimum=0.0,
        description="Part of the time left within which a refused caller is asked to "
        "come back, and after which if every target of the service fails. Callers "
        "wait for a third at most; the answer takes some milliseconds to them.",
    )
    source_retry_s = Item(
        float,
        default=0.5,
        minimum=0.01,
        description="Wait after a failed read of the configuration or of the target "
        "list. Twelve entries then make 48 calls a second in an outage, an eighth of "
        "the 400 that are allowed.",
    )
    source_retry_limit_s = Item(
        float,
        default=2.0,
        minimum=0.01,
        description="Longest wait after failed reads in a row, for hosts that are not "
        "the first of their failure domain. Entries that lapse in an outage are back "
        "within 2 s of its end.",
    )
    table_pause_s = Item(
        float,
        default=0.5,
        minimum=0.0,
        description="Time between two reads of the configuration while it changes. A "
        "series of 25 changes in 2 s then takes 5 reads instead of 25, and each is in "
        "force within 0.6 s; 2 s are allowed.",
    )
    snapshot_interval_s = Item(
        float,
        default=0.4,
        minimum=0.01,
        description="Time between two looks at whether peers know more than this "
        "entry. Changes must be in force within 2 s.",
    )
    table_wait_s = Item(
        float,
        default=8.0,
        minimum=0.0,
        description="How long a read of the configuration may wait for a change. "
        "Each read costs a call; probes notice a silent connection within 3 s.",
    )
    table_fresh_s = Item(
        float,
        default=1.5,
        minimum=0.0,
        description="How much longer than that a read may take before this entry takes "
        "its configuration for out of date.",
    )
    table_readers_per_domain = Item(
        int,
        default=2,
        minimum=0,
        description="Hosts of each failure domain that read the configuration for the "
        "others; 0 has each host read for itself. With two, a reader that is stopped, "
        "killed or cut off delays nothing.",
    )
    table_word_s = Item(
        float,
        default=0.7,
        minimum=0.01,
        description="How long the word of a reader of the configuration counts. A host "
        "that hears nothing for longer reads for itself; evacuations must be in force "
        "within 1 s, and a read takes less than 0.1 s.",
    )
    table_take_spread_s = Item(
        float,
        default=0.03,
        minimum=0.0,
        description="Time over which the hosts of a failure domain ask readers for a "
        "new configuration; by then more than one reader has told of it.",
    )
    table_take_pause_s = Item(
        float,
        default=0.3,
        minimum=0.0,
        description="Time between two takings of the configuration from a reader. With "
        "`table_pause_s` of the reader before, a change is in force within 0.9 s.",
    )
    told_targets_limit = Item(
        int,
        default=500,
        minimum=0,
        description="Most targets with which a changed list is taken whole from a "
        "reader. With more, each host reads the changes from the source: packing 3,000 "
        "entries takes a reader 8 ms and 85 kB for each host that asks.",
    )
    hand_out_bytes_s = Item(
        int,
        default=400_000,
        minimum=0,
        description="Bytes of the configuration that a reader hands out in a second, "
        "and of the target list; hosts that get none read for themselves. A quarter "
        "of the slowest link of entry hosts, 14 Mbit/s; a configuration of 840 routes "
        "takes 32 KB.",
    )
    target_interval_s = Item(
        float,
        default=1.0,
        minimum=0.01,
        description="Time between two reads of the target list by the host that reads "
        "for its failure domain. A target that leaves may get requests for 2 s more; "
        "one read can be lost, or be slow for 1 s.",
    )
    shares_target_reads = Item(
        bool,
        default=True,
        description="Whether the readers of all failure domains share one read of the "
        "target list, and hand it out; else each reads at `target_interval_s`, and "
        "each host reads what has changed.",
    )
    target_age_limit_s = Item(
        float,
        default=1.2,
        minimum=0.01,
        description="Age of what a host knows of the target list, by itself or from a "
        "peer, at which it reads the list. A read that takes 0.8 s still ends within "
        "the 2 s for which a leaving target may get requests.",
    )
    upkeep_interval_s = Item(
        float,
        default=1.0,
        minimum=0.01,
        description="Time between two looks at connections that rest.",
    )
    load_control = Item(
        LoadControlSettings,
        description="Which requests are refused as targets fill up.",
    )
    speeds = Item(
        SpeedSettings,
        description="Placement of requests by the measured speed of targets.",
    )
    limits = Item(
        TargetLimitSettings,
        description="Rates that targets in need name, and how they are shared.",
    )
    backoff = Item(
        TargetBackoffSettings,
        description="Return to targets that have requested back-off of this entry.",
    )
    cold = Item(
        ColdTargetSettings,
        description="Requests that targets may get which are cold after a start.",
    )
    poison = Item(
        PoisonSettings,
        description="Requests under which targets end, and their limits.",
    )
    waiting = Item(
        WaitingSettings,
        description="Requests that wait at this host while no target is usable.",
    )
    returns = Item(
        ReturnSettings,
        description="When refused callers come back, and their places then.",
    )
