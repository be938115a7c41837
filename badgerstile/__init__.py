"""Decision module of a signalling controller: which calls are set up, and over which route."""
