"""The inherited property tests draw the same examples every time: a verdict must not change by itself."""

from hypothesis import settings

settings.register_profile("same", derandomize=True, database=None)
settings.load_profile("same")
