"""Configuration spread and membership of laburnumford."""
