"""Property-based tests of what answers of a server prove."""

import hypothesis
from hypothesis import strategies

from laburnumford_mesh import answer_outcome
from laburnumford_mesh.tests import conftest

_Outcome = answer_outcome.Outcome
_CALLERS_TAKE_AS_NOT_RUN = {408, 421, 429, 503}
_NAMES = conftest.NAMES

_FIELD = strategies.sampled_from(
    [
        (_NAMES.not_run, b"1"),
        (_NAMES.signature, b"s"),
        (_NAMES.retry_after, b"1"),
        (_NAMES.request_id, b"1"),
        (b"x-not-run-yet", b"1"),
    ]
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=2000)
@hypothesis.given(status=strategies.integers(100, 999), head=strategies.lists(_FIELD, max_size=5))
def test_answer_proves_that_a_request_has_not_run_only_by_its_mark(status, head):
    """Guards against a status that callers take as "has not run" for a request that has run."""
    found = answer_outcome.classify(status, head, _NAMES)
    marked = _NAMES.not_run in dict(head) or status == 421
    assert found.proves_not_run == marked
    if found is _Outcome.ANSWERED:
        assert status not in _CALLERS_TAKE_AS_NOT_RUN
        assert status >= 300 or _NAMES.signature in dict(head)


def test_each_outcome_is_reached():
    """Guards against an outcome that no answer has."""
    sealed = [(_NAMES.signature, b"s")]
    marked = [(_NAMES.not_run, b"1")]
    found = [
        answer_outcome.classify(status, head, _NAMES)
        for status, head in (
            (200, sealed),
            (500, []),
            (504, sealed),
            (200, []),
            (503, sealed),
            (408, []),
            (429, marked),
            (500, marked),
            (421, sealed),
        )
    ]
    assert found == [
        _Outcome.ANSWERED,
        _Outcome.ANSWERED,
        _Outcome.ANSWERED,
        _Outcome.UNSIGNED,
        _Outcome.UNPROVED,
        _Outcome.UNPROVED,
        _Outcome.NOT_RUN,
        _Outcome.NOT_RUN,
        _Outcome.MISDIRECTED,
    ]
