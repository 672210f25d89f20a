"""The records a node keeps of backends, attempts, classes and requests. Nothing here decides anything."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from dillport import interface as api


@dataclass(slots=True, eq=False)
class Backend:
    """What this node knows of one backend; made when it is first listed."""

    entry: api.Entry
    estimate: int = 0  # the paper's upper bound: own sends since it last showed idle
    out: int = 0  # own attempts still out
    slow: float = 1.0  # mean time of its answers over the usual time of their class
    fails: int = 0
    until: float = 0.0  # ejected until then
    full: float = 0.0  # share of attempts that it turned away of late
    busy: float = 0.0  # turned a request or a connection away: left alone until then, even in panic
    waiting: list[Request] | None = None  # requests waiting for a probe of it; None: no probe is out


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request."""

    backend: Backend
    sent: float
    fair: bool  # its time and fate tell of the backend: it showed idle, or nobody looked
    status: api.Status | None = None
    cut: bool = False  # given less time than would still be useful, as answers get lost


@dataclass(slots=True, eq=False)
class Class:
    """A class with what this node has learned of it."""

    cfg: api.RequestClass
    usual: float  # expected time to serve
    dev: float = 0.0  # and its mean deviation
    strain: float = 0.0  # mean log of late times over what the limit steers for: tames heavy tails
    heard: float = -math.inf  # when an answer of it last steered the limit
    allowance: float = 0.0  # the time clients give a first try, by majority vote
    votes: int = 0


@dataclass(slots=True, eq=False)
class Request:
    """A request from its landing to its last outcome."""

    id: str
    cls: Class
    hint: float | None
    deadline: float
    useful: float  # an answer after this is worth nothing
    dense: bool  # worth far more for its time than the mean
    attempts: list[Attempt] = field(default_factory=list)
    out: int = 0
    over: bool = False
    stream: bool = False
    pending: set[str] = field(default_factory=set)  # probes it waits for
    found: list[Backend] = field(default_factory=list)  # backends that answered one
    rounds: int = 0
    looks: int = 0
    cold_ok: bool = True  # only a first draw may bring cold backends
