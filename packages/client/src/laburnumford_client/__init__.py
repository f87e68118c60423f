"""The operators' command-line client, laburnumford."""
