"""Tests of the time spent waiting for nested calls."""

from laburnumford_node import nested_wait


class Clock:
    """A clock that a test sets."""

    now = 0.0

    def __call__(self):
        """Returns the time."""
        return self.now


def test_wait_for_nested_calls_is_shared_by_running_requests():
    """Fails if the wait for another server counts as time of this one."""
    clock = Clock()
    subject = nested_wait.NestedWait(clock=clock)
    first = subject.run_started()
    clock.now = 1.0
    second = subject.run_started()
    subject.call_started()
    clock.now = 3.0
    subject.call_ended()
    clock.now = 4.0
    assert subject.run_ended(first) == 1.0
    assert subject.run_ended(second) == 1.0


def test_calls_without_a_running_request_count_nothing():
    """Fails if calls of a server that runs nothing count as its wait."""
    clock = Clock()
    subject = nested_wait.NestedWait(clock=clock)
    subject.call_started()
    clock.now = 5.0
    mark = subject.run_started()
    clock.now = 6.0
    subject.call_started()
    clock.now = 7.0
    assert subject.run_ended(mark) == 2.0
