"""What crosses what in a node: every order of a request's few events, and some hundred of more of them.

`benchmarks/shutdown_races.py` plays new ones, with more requests at once.
"""

from __future__ import annotations

import random

import pytest

from tests.system.shutdown_races import (
    ANSWERS,
    CLASSES,
    LEAVES,
    Order,
    draw,
    every,
    found,
)

GAPS = ((0,), (1,), (2, 0), (-1,))


def in_order(orders: list[Order], loop: str) -> None:
    """Nothing is wrong with any of them."""
    wrong = found(orders, loop)
    lines = [f"{order}\n    " + "\n    ".join(faults) for order, faults in wrong]
    assert not wrong, f"{len(wrong)} of {len(orders)} orders:\n" + "\n".join(lines[:10])


def flags(rng: random.Random) -> tuple[bool, bool, bool, int]:
    """What else holds for an order: whose turn is first, how servers read, how it ends, the seed."""
    return rng.random() < 0.5, rng.random() < 0.2, rng.random() < 0.5, rng.getrandbits(16)


@pytest.mark.parametrize("loop", ["asyncio", "uvloop"])
@pytest.mark.parametrize("may_cancel", [True, False])
def test_a_client_that_leaves_in_every_order(loop: str, may_cancel: bool) -> None:
    rng, orders = random.Random(1), list[Order]()
    for how in LEAVES:
        for steps in every(("ask", how, "up", "wait"), GAPS):
            orders.append(Order(steps, (rng.choice(CLASSES).name,), may_cancel, *flags(rng)))
    in_order(orders, loop)


@pytest.mark.parametrize("loop", ["asyncio", "uvloop"])
def test_what_is_dropped_while_its_connection_comes_up_is_closed_once(loop: str) -> None:
    """Turn by turn, as the loop takes some from a connection that is up to one that is handed on."""
    orders = []
    for turns in range(8):
        for what in ("rst", "fin", "time", "over"):
            for early in (True, False):
                steps = (("ask", 0, -1), ("up", 0, turns), (what, 0, 0), ("ask", 1, 0), ("up", 1, -1))
                orders.append(Order(steps, ("once", "read"), True, early))
    in_order(orders, loop)


@pytest.mark.parametrize("loop", ["asyncio", "uvloop"])
def test_an_answer_that_crosses_something_in_every_order(loop: str) -> None:
    rng, orders = random.Random(2), list[Order]()
    for answer in ANSWERS:
        for what in ("rst", "fin", "time", "over", "drain", "gone", "stop"):
            for steps in every(("ask", "up", answer, what), (rng.choice(((-1, -1, 0, 0), (-1, 0, 1, 0))),)):
                orders.append(Order(steps, (rng.choice(CLASSES).name,), rng.random() < 0.5, *flags(rng)))
    in_order(orders, loop)


@pytest.mark.parametrize("loop", ["asyncio", "uvloop"])
def test_a_last_answer_that_crosses_its_client_in_every_order(loop: str) -> None:
    """A node that is to end closes behind its answer: the client may have gone by then."""
    rng, orders = random.Random(3), list[Order]()
    for how, answer in (("fin", "ok"), ("rst", "ok"), ("half", "ok"), ("fin", "full"), ("fin", "reset")):
        for steps in every(("ask", "up", "term", answer, how), ((-1, -1, 0, 0, 0),)):
            orders.append(Order(steps, (rng.choice(CLASSES).name,), rng.random() < 0.5, *flags(rng)))
    in_order(orders, loop)


@pytest.mark.parametrize("loop", ["asyncio", "uvloop"])
@pytest.mark.parametrize("cls", ["brief", "pay"])
def test_a_repeat_whose_connection_comes_up_past_the_memory_of_its_key(loop: str, cls: str) -> None:
    what = ("ask", "up", "reset", "wait", "up")
    in_order([Order(tuple((step, 0, -1) for step in what), (cls,), cancel) for cancel in (True, False)], loop)


@pytest.mark.parametrize("loop", ["asyncio", "uvloop"])
@pytest.mark.parametrize("requests", [1, 3])
def test_drawn_orders(loop: str, requests: int) -> None:
    rng = random.Random(f"{loop} {requests}")
    in_order([draw(rng, requests) for _ in range(200 if requests == 1 else 100)], loop)
