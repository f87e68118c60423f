"""Registry of choosers."""

from laburnumford_objects import registry
from laburnumford_policy.choice import chooser

choosers: registry.Registry[chooser.Chooser] = registry.Registry("chooser")
