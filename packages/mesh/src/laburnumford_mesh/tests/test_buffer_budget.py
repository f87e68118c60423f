"""Tests of the limit on the bodies that a process holds."""

from laburnumford_mesh.http import buffer_budget

MEMORY_BYTES = 200 * 1024 * 1024
LARGEST_BODY_BYTES = 64 * 1024 * 1024


def test_largest_published_body_fits_on_the_smallest_vm():
    """Guards against a budget in which a body within the published limits never fits."""
    assert buffer_budget.of_process(MEMORY_BYTES).reserve(LARGEST_BODY_BYTES)


def test_large_bodies_leave_space_for_answers_and_small_bodies():
    """Guards against ordinary requests that are refused because uploads fill the memory."""
    budget = buffer_budget.of_process(MEMORY_BYTES)
    while budget.reserve(1_000_000):
        pass
    while budget.reserve(1_000_000, answer=True):
        pass
    assert budget.reserve(buffer_budget.SMALL_BODY_BYTES)
    assert budget.reserved_bytes < budget.max_bytes


def test_parts_of_a_large_body_do_not_use_the_space_of_small_ones():
    """Guards against a large body that is received in small parts and counts as a small one."""
    budget = buffer_budget.BufferBudget(max_bytes=300_000, large_request_bytes=200_000)
    for size in range(20_000, 220_000, 20_000):
        fits = budget.reserve(20_000, body_bytes=size)
    assert fits
    assert not budget.reserve(20_000, body_bytes=220_000)


def test_released_bytes_can_be_reserved_again():
    """Guards against a budget that shrinks with use, and against an overdraft that stays."""
    budget = buffer_budget.BufferBudget(max_bytes=100)
    budget.take(150)
    assert not budget.reserve(1)
    budget.release(150)
    assert budget.reserve(100)
    assert budget.refusal_count == 1
