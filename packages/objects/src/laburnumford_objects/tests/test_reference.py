"""Tests of the reference pages."""

from laburnumford_objects import reference


def test_committed_pages_match_the_models(examples):
    """Guards against pages that name fields, ranges or defaults the models do not have."""
    folder = examples.parent / "docs" / "reference"
    committed = {path.name: path.read_text(encoding="utf-8") for path in folder.glob("*.md")}
    assert {name: committed.get(name) for name in reference.pages()} == reference.pages()


def test_pages_have_no_empty_cells():
    """Guards against fields without type, default or description."""
    rows = [line for text in reference.pages().values() for line in text.splitlines()]
    fields = [line.split(" | ") for line in rows if line.startswith("| `")]
    assert len(fields) > 50
    for name, kind, _, default, _, description in fields:
        assert name
        assert kind != "any"
        assert default
        assert len(description) > 3
