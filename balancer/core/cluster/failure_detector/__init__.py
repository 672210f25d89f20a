"""SWIM failure detector, which determines whether peers are alive, suspect, failed or left.

It has no clock, sockets or source of randomness of its own.

`detector.FailureDetector` takes events and returns actions (`events`). In each protocol period it probes one
peer of a shuffled ring, indirectly through other peers if that peer does not answer (`probing`), and
piggybacks membership changes on the datagrams that it sends anyway (`dissemination`; Das, Gupta, Motivala:
"SWIM", 2002).

These extensions come from "Lifeguard" (Dadgar, Phillips, Currey, 2018): a node that is slow itself uses
longer timeouts (`local_health`); the more peers confirm a suspicion, the sooner it ends (`suspicion`,
"dogpile"); a datagram to a suspect peer starts with the claim against it ("buddy system").
`benchmarks/failure_detection.py` measures each of them.

These extensions go beyond the papers:

- Unused space in each datagram is filled with other members, so that an update that was lost everywhere is
  sent again.
- In each period one failed peer, or one seed outside of the ring, is contacted, so that partitions heal
  (`member_walk`).
- A gossiped failure of a peer that this node heard a moment ago only starts a suspicion.
- A node that stalled declares no peer failed before it has heard from other nodes again.
- Two nodes with the same name are detected, and one of them yields it (`own_node`).

For each name the detector keeps the greatest record by (incarnation, state, address), see `member_records`.
Merging takes a maximum, so reordered, duplicated and delayed datagrams do no harm, and a failed incarnation
stays failed until a greater one is seen. A period costs a constant number of datagrams, records and heap
operations, regardless of the number of peers.
"""
