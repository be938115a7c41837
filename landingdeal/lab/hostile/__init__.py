"""Hostile clients beside sound callers, against one process that is started as the platform does."""
