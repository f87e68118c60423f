"""The laburnumford node, laburnumfordd."""
