"""Defines the failure detector's intervals, multipliers and table bounds."""

from __future__ import annotations

PROBE_INTERVAL_MS = 200.0  # the protocol period, between two probes
PROBE_TIMEOUT_MS = 65.0  # for a direct answer; indirect probes have the rest of the period
INDIRECT_PROBE_COUNT = 3  # peers asked to probe a target that does not answer
# The shortest suspicion lasts SUSPICION_MULTIPLIER * log10(n) periods, and the longest lasts
# MAX_SUSPICION_MULTIPLIER times as long.
SUSPICION_MULTIPLIER = 3.0
MAX_SUSPICION_MULTIPLIER = 3.0
MAX_SUSPICION_CONFIRMATIONS = 3  # other accusers that reduce a suspicion to its shortest duration
MAX_LOCAL_HEALTH = 2  # periods and timeouts are multiplied by at most 1 + this
IMMEDIATE_GOSSIP_FANOUT = 3  # peers notified immediately of a suspicion or failure
MAX_IMMEDIATE_GOSSIP_PER_INTERVAL = 9  # immediate gossip datagrams per period
RETRANSMIT_MULTIPLIER = 4.0  # each node sends a change this many times log10(n + 1) times
MAX_BROADCASTS_PER_DATAGRAM = 32  # far more than fit into a datagram
MAX_FILL_RECORDS = 16  # members tried for the remaining space of a datagram
RECENT_CONTACT_MS = 3 * PROBE_INTERVAL_MS  # a gossiped failure of a peer heard this recently: suspicion only
INCARNATION_ANSWERS_WAIT_MS = 600.0  # after the first answer about the own incarnation, for further ones
NO_ANSWER_WAIT_MS = 3_000.0  # after which a node without any answer starts alone
NAME_CONFLICT_WINDOW_MS = 30_000.0  # claims to the own name that are further apart are counted separately
NAME_CONFLICTS_TO_YIELD = 3  # claims of another address to the own name before one of the two nodes yields
MAX_PAGE_ATTEMPTS = 4  # requests for a page of members that does not arrive
WALK_INTERVAL_MS = 10_000.0  # from the last page of one walk through a peer's members to the next walk
TOMBSTONE_RETENTION_MS = 600_000.0  # for failed and left nodes; far above the lifetime of any datagram
STALL_SETTLE_MS = 100.0  # datagrams read within this time after a stall may have waited in the socket
PEERS_HEARD_AFTER_STALL = 3  # required before a peer is declared failed, or all peers if there are fewer
# Bounds of the tables.
MAX_PEERS = 8_192
MAX_TOMBSTONES = 1_024
MAX_RELAYED_PROBES = 256
MAX_SEEDS = 16
MAX_INCARNATION = 2**32 - 2**16  # records at or above this are rejected, since no node could refute them
SEQUENCE_NUMBERS = 2**32  # sequence numbers wrap around at the width of the datagram field
