"""Root of the exception tree."""


class LaburnumfordError(Exception):
    """Base class of every error that laburnumford raises on purpose.

    Each package derives its own errors from this class and converts errors of
    the layers below it.
    """


class ParameterError(LaburnumfordError, ValueError):
    """A parameter is unknown, has a wrong type or lies outside its range."""


class RegistryError(LaburnumfordError, KeyError):
    """A name is missing from a registry, or registered twice."""

    def __str__(self) -> str:
        """Returns the message without the quotes that KeyError adds."""
        return str(self.args[0])
