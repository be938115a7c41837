"""Stand-ins for whoever the program speaks with: for the demonstration, tests and measurements."""
