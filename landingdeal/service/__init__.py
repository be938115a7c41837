"""The program as a service: connects its fronts to the core and handles signals."""
