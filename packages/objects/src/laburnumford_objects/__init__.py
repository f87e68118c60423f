"""Published objects, settings and checks of laburnumford."""
