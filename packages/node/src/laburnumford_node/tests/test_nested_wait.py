"""Tests of the estimated wait for nested calls."""

from laburnumford_node import nested_wait


class Clock:
    """Clock with a time that the test sets."""

    now = 0.0

    def __call__(self):
        """Returns the set time in seconds."""
        return self.now


def test_wait_for_nested_calls_is_shared_by_running_requests():
    """Guards against counting the wait for another server as service time of this one."""
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


def test_nested_calls_without_a_running_request_add_no_wait():
    """Guards against a wait that grows while the server runs no request."""
    clock = Clock()
    subject = nested_wait.NestedWait(clock=clock)
    subject.call_started()
    clock.now = 5.0
    wait_at_start_s = subject.run_started()
    clock.now = 6.0
    subject.call_started()
    clock.now = 7.0
    assert subject.run_ended(wait_at_start_s) == 2.0
