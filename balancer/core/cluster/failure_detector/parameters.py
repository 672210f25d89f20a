"""Parameters of the failure detector: intervals, multipliers and bounds of its tables."""

from __future__ import annotations

PROBE_INTERVAL_MS = 200.0  # protocol period: between two probes
PROBE_TIMEOUT_MS = 65.0  # for a direct answer; indirect probes have the rest of the period
INDIRECT_PROBE_COUNT = 3  # peers asked to probe a target that does not answer
# The shortest suspicion lasts SUSPICION_MULTIPLIER * log10(n) periods, the longest
# MAX_SUSPICION_MULTIPLIER times that.
SUSPICION_MULTIPLIER = 3.0
MAX_SUSPICION_MULTIPLIER = 3.0
MAX_SUSPICION_CONFIRMATIONS = 3  # other accusers with which a suspicion is at its shortest
MAX_LOCAL_HEALTH = 2  # periods and timeouts are at most 1 + this many times longer
IMMEDIATE_GOSSIP_FANOUT = 3  # peers told at once of a suspicion or failure
MAX_IMMEDIATE_GOSSIP_PER_INTERVAL = 9  # such datagrams in a period
RETRANSMIT_MULTIPLIER = 4.0  # each node sends a change this times log10(n + 1) times
MAX_BROADCASTS_PER_DATAGRAM = 32  # far more than fit into one
MAX_FILL_RECORDS = 16  # members tried in turn for the space that is left in a datagram
RECENT_CONTACT_MS = 3 * PROBE_INTERVAL_MS  # a failure gossiped of a peer heard so lately is only a suspicion
INCARNATION_ANSWERS_WAIT_MS = 600.0  # for further answers about the own incarnation, after the first
NO_ANSWER_WAIT_MS = 3_000.0  # until a node that nobody answers begins alone
NAME_CONFLICT_WINDOW_MS = 30_000.0  # claims to the own name further apart than this are not counted together
NAME_CONFLICTS_TO_YIELD = 3  # claims of another address to the own name before one of both yields
MAX_PAGE_ATTEMPTS = 4  # requests for a page of members that does not come
WALK_INTERVAL_MS = 10_000.0  # from the last page of one walk through a peer's members to the next walk
TOMBSTONE_RETENTION_MS = 600_000.0  # for failed and left nodes, far above the lifetime of any datagram
STALL_SETTLE_MS = 100.0  # after a stall: a datagram read so soon may have lain in the socket for as long
PEERS_HEARD_AFTER_STALL = 3  # or all of fewer, before any peer is called failed
# Bounds of the tables.
MAX_PEERS = 8_192
MAX_TOMBSTONES = 1_024
MAX_RELAYED_PROBES = 256
MAX_SEEDS = 16
MAX_INCARNATION = 2**32 - 2**16  # a record at or above it is rejected: nobody could refute it
SEQUENCE_NUMBERS = 2**32  # they wrap around at the width of the field in a datagram
