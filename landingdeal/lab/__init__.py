"""Emulated peers of the program for the demonstration, tests and measurements."""
