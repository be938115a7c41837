"""The core: knows calls, deadlines and the five rules, and no wire."""
