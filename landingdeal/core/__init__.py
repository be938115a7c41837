"""The core: calls, deadlines and the five rules, independent of the protocols of the fronts."""
