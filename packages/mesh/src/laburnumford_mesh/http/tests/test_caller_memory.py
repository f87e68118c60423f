"""Tests of the reservations of a listener, and of the choice of readers that are closed."""

import dataclasses

import pytest

from laburnumford_mesh.http import buffer_budget, caller_memory


@dataclasses.dataclass(eq=False)
class FakeReader:
    """Reader with a given stall that releases its bytes when it is closed."""

    budget: buffer_budget.BufferBudget
    held_answer_bytes: int
    stall_s: float = 0.0
    closed: bool = False

    def stalled_s(self, _):
        """Returns the given stall."""
        return self.stall_s

    def close_slow_reader(self):
        """Releases the held bytes."""
        self.closed = True
        self.budget.release(self.held_answer_bytes)
        self.held_answer_bytes = 0
        self.stall_s = 0.0


class Setup:
    """A memory of 1,000 bytes with readers."""

    def __init__(self, log):
        self.budget = buffer_budget.BufferBudget(max_bytes=1000)
        self.readers: list[FakeReader] = []
        self.memory = caller_memory.CallerMemory(
            budget=self.budget, readers=self.readers, address="a", log=log
        )

    def add(self, held_bytes, stall_s=0.0):
        """Adds a reader that holds bytes."""
        assert self.budget.reserve(held_bytes)
        reader = FakeReader(self.budget, held_bytes, stall_s)
        self.readers.append(reader)
        return reader


@pytest.fixture
def setup(log):
    """Returns a memory without readers."""
    return Setup(log)


def test_reader_that_is_stalled_longest_is_closed_first(setup):
    """Guards against closing a reader that has just begun to wait."""
    short, long = setup.add(400, stall_s=2.0), setup.add(400, stall_s=5.0)
    assert setup.memory.reserve_answer(300) == 300
    assert (short.closed, long.closed) == (False, True)
    assert setup.budget.reserved_bytes == 700


def test_request_closes_no_reader_that_makes_progress(setup):
    """Guards against an answer that is cut for a request that could be refused."""
    reader = setup.add(900)
    assert not setup.memory.reserve_request(200)
    assert not reader.closed
    reader.stall_s = 2.0
    assert setup.memory.reserve_request(200)
    assert reader.closed


def test_small_answer_takes_space_from_the_largest_holder(setup):
    """Guards against ordinary callers that lose their answers to callers that hold much."""
    large, small = setup.add(900), setup.add(100)
    assert setup.memory.reserve_answer(50) == 50
    assert (large.closed, small.closed) == (True, False)


def test_large_answer_closes_no_smaller_holder(setup):
    """Guards against one long answer that ends many other ones."""
    readers = [setup.add(200) for _ in range(5)]
    assert setup.memory.reserve_answer(600) is None
    assert not any(reader.closed for reader in readers)
    assert setup.memory.dropped_answer_count == 1


def test_answer_above_the_budget_is_admitted_without_overload(setup):
    """Guards against an answer that no caller could ever get."""
    setup.add(20)
    assert setup.memory.reserve_answer(5000) == 875


def test_reader_without_any_progress_is_closed(setup):
    """Guards against connections that hold answers for ever while memory is not short."""
    stalled, slow = setup.add(10, stall_s=6.5), setup.add(10, stall_s=5.0)
    setup.memory.close_expired(100.0)
    assert (stalled.closed, slow.closed) == (True, False)
    assert setup.memory.closed_reader_count == 1
