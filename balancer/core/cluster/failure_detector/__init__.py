"""SWIM failure detector: which nodes are alive, suspect, failed or left.

It has no clock, no sockets and no randomness of its own.

`detector.FailureDetector` takes events and returns actions (`events`). In each protocol period it probes one
peer of a shuffled ring, through other peers if that one does not answer (`probing`), and piggybacks
membership changes on the datagrams that it sends anyway (`dissemination`; Das, Gupta, Motivala: "SWIM",
2002).

From "Lifeguard" (Dadgar, Phillips, Currey, 2018): a node that is slow itself waits longer (`local_health`); a
suspicion ends sooner the more peers confirm it (`suspicion`, "dogpile"); a peer that is written to is told
first what is claimed against it ("buddy system"). `benchmarks/failure_detection.py` measures each.

Beyond the papers: the rest of each datagram is filled with other members, so that an update that was lost
everywhere is sent again; each period one failed peer or unheard seed is contacted, so that partitions heal
(`member_walk`); a failure gossiped of a peer that was heard just now begins a suspicion only; a node that
stalled fails nobody before it has heard others again; two nodes with one name are detected and one of them
yields (`own_node`).

What is held of a name is the greatest record by (incarnation, state, address), see `member_records`: merging
is a maximum, so the order, duplication and delay of datagrams do not matter, and a failed incarnation stays
failed until a greater one is seen. The cost of a period is a constant number of datagrams, records and heap
operations, however many peers there are.
"""
